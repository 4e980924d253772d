//! Operators' routes to read the configuration in force, and to check and apply patches.

use std::sync::Arc;

use axum::{
    Json, Router,
    extract::{DefaultBodyLimit, State},
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::{get, post},
};
use policy::config::{Outcome, Patch};
use types::config::NumberedConfig;

use crate::{context::Context, declared::patch};

/// Largest accepted patch: a complete configuration at several times the planned size.
const MAX_PATCH_BYTES: usize = 8 * 1024 * 1024;

/// Returns the routes of the declared configuration.
pub(super) fn router() -> Router<Arc<Context>> {
    Router::new()
        .route("/config", get(in_force))
        .route("/config/patches", post(apply))
        .route("/config/check", post(check))
        .layer(DefaultBodyLimit::max(MAX_PATCH_BYTES))
}

async fn in_force(State(context): State<Arc<Context>>) -> Json<Arc<NumberedConfig>> {
    Json(context.config())
}

async fn apply(State(context): State<Arc<Context>>, Json(patch): Json<Patch>) -> Response {
    // Once started, the patch is carried out even if the operator disconnects.
    let applying = tokio::spawn(async move { patch::apply(&context, &patch).await });
    answer(match applying.await {
        Ok(outcome) => outcome,
        Err(error) => Outcome::Unavailable { cause: error.to_string() },
    })
}

async fn check(State(context): State<Arc<Context>>, Json(patch): Json<Patch>) -> Response {
    answer(patch::check(&context, &patch).await)
}

fn answer(outcome: Outcome) -> Response {
    let status = match &outcome {
        Outcome::Accepted { .. } | Outcome::Repeated { .. } | Outcome::Unchanged { .. } => {
            StatusCode::OK
        }
        Outcome::Stale(_) | Outcome::Reused => StatusCode::CONFLICT,
        Outcome::Invalid { .. } | Outcome::Short { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        Outcome::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, Json(outcome)).into_response()
}
