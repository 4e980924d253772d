//! The listener for operators.
//!
//! Whether the host is live and ready is told to anyone, since balancers show no token. All else
//! needs the token.

mod config;
mod watch;

use std::sync::Arc;

use axum::{
    Json, Router, extract::State, http::StatusCode, middleware::from_fn_with_state, routing::get,
};
use serde_json::{Value, json};
use types::host::List;

use crate::{
    context::Context,
    guard::{self, Gate, Guard},
};

/// Routes for operators.
pub fn router(context: Arc<Context>, guard: Guard) -> Router {
    let gate = Gate { guard, context: context.clone() };
    Router::new()
        .route("/status", get(status))
        .route("/hosts", get(hosts))
        .route("/metrics", get(watch::metrics))
        .route("/timeline", get(watch::timeline))
        .merge(config::router())
        .layer(from_fn_with_state(gate, guard::filter))
        .route("/live", get(async || StatusCode::OK))
        .route("/ready", get(ready))
        .with_state(context)
}

async fn ready(State(context): State<Arc<Context>>) -> StatusCode {
    match context.is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn hosts(State(context): State<Arc<Context>>) -> Json<Arc<List>> {
    Json(context.fleet.list())
}

async fn status(State(context): State<Arc<Context>>) -> Json<Value> {
    Json(json!({
        "host": context.host(),
        "incarnation": context.incarnation,
        "ready": context.is_ready(),
        "draining": context.is_draining(),
        "configuration": context.config().number,
        "heard": context.declared.heard(),
        "servers": context.fleet.list().servers.len(),
        "reporting": context.fleet.readings().len(),
        "watching": context.peers.gossip().is_watching(context.now()),
        "hosts": context.peers.standings(),
    }))
}
