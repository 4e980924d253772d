//! Routes of the callers' listener, with the stack of filters that every call passes through.

use std::sync::Arc;

use axum::{
    Router,
    extract::{Request, State},
    http::{HeaderValue, Version, header},
    middleware::{Next, from_fn_with_state},
    response::Response,
    routing::{any, get, post},
};

use crate::{
    context::Context,
    filters::{self, attempt, identify},
    problem::{Kind, Problem},
};

/// Returns the router for callers.
pub fn router(context: Arc<Context>) -> Router {
    let models = Router::new()
        .route("/v1/chat/completions", post(attempt::model))
        .route("/v1/completions", post(attempt::model));
    let models = filters::stack(models, &context)
        .layer(from_fn_with_state(context.clone(), identify::model));
    let plain = Router::new()
        .route("/services/{service}", any(attempt::plain))
        .route("/services/{service}/{*path}", any(attempt::plain));
    let plain =
        filters::stack(plain, &context).layer(from_fn_with_state(context.clone(), identify::plain));
    models
        .merge(plain)
        .layer(from_fn_with_state(context.clone(), filters::in_force::filter))
        .route("/v1/models", get(identify::models))
        .fallback(async || Problem::new(Kind::UnknownPath, "no such path"))
        .layer(from_fn_with_state(context.clone(), filters::account::filter))
        .layer(from_fn_with_state(context.clone(), close_when_draining))
        .with_state(context)
}

/// Asks HTTP/1 callers to close their connections during a planned stop, so that none has a request
/// under way when this host closes its listener.
async fn close_when_draining(
    State(context): State<Arc<Context>>,
    request: Request,
    next: Next,
) -> Response {
    let version = request.version();
    let mut response = next.run(request).await;
    if context.is_draining() && version < Version::HTTP_2 {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
