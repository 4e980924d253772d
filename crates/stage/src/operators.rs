//! The operators' listener.
//!
//! Liveness and readiness need no token, since balancers send none. All other paths need it.

mod config;
mod members;
mod moves;
mod watch;

use std::sync::Arc;

use axum::{
    Json, Router,
    extract::State,
    http::StatusCode,
    middleware::from_fn_with_state,
    routing::{get, post},
};
use types::{
    backend,
    host::List,
    status::{self, Status},
};

use crate::{
    context::Context,
    guard::{self, Gate, Guard},
};

/// Returns the router for operators.
pub fn router(context: Arc<Context>, guard: Guard) -> Router {
    let gate = Gate { guard, context: context.clone() };
    Router::new()
        .route("/status", get(status))
        .route("/hosts", get(hosts))
        .route("/members", get(members::members))
        .route("/servers", get(servers))
        .route("/drain", post(drain))
        .route("/metrics", get(watch::metrics))
        .merge(moves::router())
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

async fn status(State(context): State<Arc<Context>>) -> Json<Status> {
    Json(Status {
        host: context.host().clone(),
        incarnation: context.incarnation,
        ready: context.is_ready(),
        draining: context.is_draining(),
        configuration: context.config().number,
        newest_number: context.declared.newest_number(),
        servers: context.fleet.list().servers.len(),
        reporting: context.fleet.reporting(),
    })
}

async fn servers(State(context): State<Arc<Context>>) -> Json<Vec<status::Server>> {
    let to_status = |entry: &backend::Entry| status::Server {
        entry: entry.clone(),
        load: context.fleet.reading(&entry.server.id).map(|reading| reading.load.clone()),
    };
    Json(context.fleet.list().servers.iter().map(to_status).collect())
}

/// Starts a planned stop, like SIGTERM.
async fn drain(State(context): State<Arc<Context>>) -> StatusCode {
    log::info!(host = &*context.host().id; "operator requested a planned stop");
    context.stop_requested.cancel();
    StatusCode::ACCEPTED
}
