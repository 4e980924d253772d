//! The listener for callers: routes, and the row of filters that every call goes through.

use std::sync::Arc;

use axum::{
    Router,
    middleware::from_fn_with_state,
    routing::{any, get, post},
};

use crate::{
    context::Context,
    filters::{self, attempt, identify},
    problem::{Kind, Problem},
};

/// Routes for callers.
pub fn router(context: Arc<Context>) -> Router {
    let models = Router::new()
        .route("/v1/chat/completions", post(attempt::model))
        .route("/v1/completions", post(attempt::model));
    let models =
        filters::row(models, &context).layer(from_fn_with_state(context.clone(), identify::model));
    let plain = Router::new()
        .route("/services/{service}", any(attempt::plain))
        .route("/services/{service}/{*path}", any(attempt::plain));
    let plain =
        filters::row(plain, &context).layer(from_fn_with_state(context.clone(), identify::plain));
    models
        .merge(plain)
        .layer(from_fn_with_state(context.clone(), filters::in_force::filter))
        .route("/v1/models", get(identify::models))
        .fallback(async || Problem::new(Kind::UnknownPath, "no such path"))
        .layer(from_fn_with_state(context.clone(), filters::account::filter))
        .with_state(context)
}
