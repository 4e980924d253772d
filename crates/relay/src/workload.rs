//! Exchange of the work that hosts have in flight at servers.
//!
//! Hosts choose servers by the work that all hosts have sent to them. A host knows of the work of
//! another only once the other has published it, so several hosts may send prompts to the same
//! server at the same time. A server processes each prompt between two tokens of its streams, so
//! that together these prompts pause the streams for longer than any of the hosts would have
//! allowed. Work in flight is therefore published far more often than everything else
//! ([`peers`](crate::peers)): every [`CHECK_INTERVAL`], if it has changed.

use std::sync::Arc;

use exchange::{
    Exchange,
    fleet::{Load, Publication},
};
use policy::dispatch::Work;
use tokio::time::sleep;
use types::prelude::*;

use crate::host::Shared;

/// Interval at which work in flight is checked for changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Like `CHECK_INTERVAL`, above 16 hosts, where digests wait for a budget; also the maximum
/// interval at which received work is passed to the dispatcher, whether or not it has changed. The
/// dispatcher estimates in these rounds how many hosts turn to a server at once.
const GROUPED_CHECK_INTERVAL: Duration = Duration::from_millis(60);

/// The id under which the work of all peers is recorded: it is received as one sum.
pub(crate) const PEERS_ID: &str = "peers";

/// Publishes this host's work and records that of the others, until the process ends.
pub(crate) async fn run(shared: Arc<Shared>, exchange: Arc<Exchange>) {
    let (mut own, mut others) = (Vec::new(), Vec::new());
    let mut refreshed_at = Duration::ZERO;
    loop {
        let work = shared.dispatcher().work();
        if work != own {
            exchange.publish(Publication::InFlight(work.iter().map(load).collect()));
            own = work;
        }
        let (now, received) = (shared.now(), exchange.in_flight());
        if received != others || refreshed_at + GROUPED_CHECK_INTERVAL <= now {
            let work: Vec<Work> = received.iter().map(work_of).collect();
            shared.dispatcher().peer(&PEERS_ID.into(), &work, now);
            (others, refreshed_at) = (received, now);
        }
        sleep(if exchange.is_grouped() { GROUPED_CHECK_INTERVAL } else { CHECK_INTERVAL }).await;
    }
}

fn load((server, model, requests, tokens): &Work) -> Load {
    Load { server: server.clone(), model: model.clone(), requests: *requests, tokens: *tokens }
}

fn work_of(load: &Load) -> Work {
    (load.server.clone(), load.model.clone(), load.requests, load.tokens)
}
