//! Pins the configuration in force to a call, so that a change doesn't affect a call under way.

use std::sync::Arc;

use axum::{
    extract::{Request, State},
    middleware::Next,
    response::{IntoResponse, Response},
};

use crate::{
    context::Context,
    problem::{Kind, Problem},
};

/// Adds the configuration in force to the request, or rejects it if there is none yet.
pub async fn filter(
    State(context): State<Arc<Context>>,
    mut request: Request,
    next: Next,
) -> Response {
    let numbered = context.config();
    if numbered.number == 0 {
        let detail = "no configuration is in force on this host yet";
        let wait = context.settings.intervals.list;
        return Problem::new(Kind::NotReady, detail).retry_after(wait).into_response();
    }
    request.extensions_mut().insert(numbered);
    next.run(request).await
}
