//! Serves loads and unloads to operators: open orders, what would settle each, and servers' memory.

use std::sync::Arc;

use axum::{Json, Router, extract::State, routing::get};
use policy::ledger::Ledger;

use crate::{context::Context, moves::Status};

const PREFIX: &str = "ledger/";

/// Returns the routes for loads and unloads.
pub(super) fn router() -> Router<Arc<Context>> {
    Router::new().route("/status/moves", get(moves))
}

/// Returns the moves of all servers. Any host can serve this, since it reads all ledgers first; if
/// that fails it uses the last known ones.
async fn moves(State(context): State<Arc<Context>>) -> Json<Status> {
    let listing = context.store.list(PREFIX).await;
    let now = context.now();
    let current = match listing {
        Ok(listing) => {
            let objects = listing.objects.iter();
            let ledgers: Vec<Ledger> =
                objects.filter_map(|object| serde_json::from_slice(&object.value).ok()).collect();
            context.moves.set_ledgers(now, &ledgers);
            true
        }
        Err(error) => {
            log::warn!("ledgers not read for an operator: {error}");
            false
        }
    };
    Json(context.moves.status(now, current))
}
