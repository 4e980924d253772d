//! Serves this host's view of the other hosts to operators.

use std::{collections::BTreeMap, sync::Arc};

use axum::{Json, extract::State};
use policy::member::Standing;
use serde::Serialize;
use types::host;

use crate::context::Context;

/// This host's view of the others.
#[derive(Debug, Serialize)]
pub(super) struct Members {
    /// Whether this host watches the object API.
    watching: bool,
    /// Standing of each other host.
    hosts: BTreeMap<host::Id, Standing>,
}

/// Returns this host's view of the others.
pub(super) async fn members(State(context): State<Arc<Context>>) -> Json<Members> {
    let watching = context.peers.gossip().is_watching(context.now());
    Json(Members { watching, hosts: context.peers.standings() })
}
