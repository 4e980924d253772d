//! The listener for operators.

mod moves;

use std::sync::Arc;

use axum::{
    Json, Router,
    extract::State,
    http::{StatusCode, header},
    response::{IntoResponse, Response},
    routing::get,
};
use observe::metrics::CONTENT_TYPE;
use serde_json::{Value, json};

use crate::context::Context;

/// Routes for operators.
pub fn router(context: Arc<Context>) -> Router {
    Router::new()
        .route("/live", get(async || StatusCode::OK))
        .route("/ready", get(ready))
        .route("/status", get(status))
        .route("/metrics", get(metrics))
        .merge(moves::router())
        .with_state(context)
}

async fn ready(State(context): State<Arc<Context>>) -> StatusCode {
    match context.is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn metrics(State(context): State<Arc<Context>>) -> Response {
    context.traffic.show(&context.metrics);
    match context.metrics.text() {
        Ok(text) => ([(header::CONTENT_TYPE, CONTENT_TYPE)], text).into_response(),
        Err(error) => {
            log::error!("metrics: {error}");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
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
