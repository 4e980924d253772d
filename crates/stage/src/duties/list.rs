//! Reads the platform's list of hosts and backend servers.
//!
//! The list is one source of the membership state, from which routing is updated. The interval
//! grows with the number of hosts, so that all hosts together read at a fixed rate; in between,
//! peers advertise changes.

use std::sync::Arc;

use policy::member::{backoff::Backoff, rendezvous, watch};
use types::prelude::*;

use super::gossip;
use crate::{context::Context, peers};

/// Maximum delay after a failed read.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Reads the list forever.
pub(super) async fn run(context: Arc<Context>) {
    let min_interval = context.settings.intervals.list;
    let seed = rendezvous::score(b"list", &context.host().id) ^ context.incarnation;
    let mut backoff = Backoff::new(min_interval, MAX_BACKOFF, seed);
    loop {
        let wait = match context.store.hosts().await {
            Ok(list) => {
                let actions = context.peers.gossip().apply_list(context.now(), &list);
                peers::perform(&context, actions);
                gossip::apply(&context);
                backoff.succeed();
                watch::list_interval(min_interval, list.hosts.len())
            }
            Err(error) => {
                log::warn!("host list not read: {error}");
                backoff.fail()
            }
        };
        tokio::time::sleep(wait).await;
    }
}
