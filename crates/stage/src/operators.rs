//! The listener for operators.

mod moves;
mod watch;

use std::sync::Arc;

use axum::{Json, Router, extract::State, http::StatusCode, routing::get};
use serde_json::{Value, json};

use crate::context::Context;

/// Routes for operators.
pub fn router(context: Arc<Context>) -> Router {
    Router::new()
        .route("/live", get(async || StatusCode::OK))
        .route("/ready", get(ready))
        .route("/status", get(status))
        .route("/metrics", get(watch::metrics))
        .merge(moves::router())
        .route("/timeline", get(watch::timeline))
        .with_state(context)
}

async fn ready(State(context): State<Arc<Context>>) -> StatusCode {
    match context.is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn status(State(context): State<Arc<Context>>) -> Json<Value> {
    Json(json!({
        "host": context.host(),
        "incarnation": context.incarnation,
        "ready": context.is_ready(),
        "draining": context.is_draining(),
        "configuration": context.config().number,
        "servers": context.fleet.list().servers.len(),
        "reporting": context.fleet.readings().len(),
    }))
}
