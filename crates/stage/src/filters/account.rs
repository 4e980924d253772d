//! Counts what became of each call.

use std::sync::Arc;

use axum::{
    extract::{Request, State},
    middleware::Next,
    response::Response,
};

use crate::{context::Context, problem::Problem};

/// Logs each call's outcome.
pub async fn filter(State(context): State<Arc<Context>>, request: Request, next: Next) -> Response {
    let began = context.now();
    let path = request.uri().path().to_owned();
    let response = next.run(request).await;
    let took = context.now() - began;
    match response.extensions().get::<Problem>() {
        Some(problem) => log::info!(
            path = path.as_str(), status = response.status().as_u16(),
            problem = problem.kind.name(), detail = problem.detail.as_str(),
            took_ms = took.as_millis(); "call refused"
        ),
        None => log::debug!(
            path = path.as_str(), status = response.status().as_u16(),
            head_ms = took.as_millis(); "call answered"
        ),
    }
    response
}
