//! What operators see of the quarantine, and how they lift an entry.

use std::sync::Arc;

use axum::{
    Json, Router,
    extract::{Path, State},
    http::StatusCode,
    routing::{delete, get},
};
use policy::quarantine::{Document, Fingerprint};

use crate::context::Context;

/// Routes of the quarantine.
pub(super) fn router() -> Router<Arc<Context>> {
    Router::new().route("/quarantine", get(list)).route("/quarantine/{fingerprint}", delete(lift))
}

async fn list(State(context): State<Arc<Context>>) -> Json<Document> {
    Json(context.suspects.document())
}

async fn lift(State(context): State<Arc<Context>>, Path(text): Path<String>) -> StatusCode {
    let Some(fingerprint) = Fingerprint::parse(&text) else { return StatusCode::BAD_REQUEST };
    match context.suspects.lift(&*context.store, fingerprint).await {
        Ok(true) => StatusCode::NO_CONTENT,
        Ok(false) => StatusCode::NOT_FOUND,
        Err(error) => {
            log::error!("quarantine entry can't be lifted: {error}");
            StatusCode::SERVICE_UNAVAILABLE
        }
    }
}
