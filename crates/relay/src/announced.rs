//! Fetches of declarations that other hosts have in force.
//!
//! All hosts watch the store, so a host that is notified of a version usually receives it from the
//! store a moment later. If it were fetched from a peer at once, it would cross this host's link
//! twice, and the relay that forwards notices would send it to its whole group.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use exchange::Exchange;
use observe::story;
use tokio::{sync::watch, time::sleep};
use types::{host, routed::Version};

use crate::host::Shared;

/// Time in which the store's own answer is expected, as a share of the time within which a
/// declaration must be in force.
const STORE_SHARE: f64 = 0.1;

/// Hosts that are asked for a version, besides the one that announced it.
const MAX_OTHERS: usize = 2;

/// A version that another host has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Announcement {
    version: Version,
    /// Address of the host that sent or forwarded the announcement.
    from: SocketAddr,
}

/// The latest announcement of the highest version.
#[derive(Debug, Default)]
pub(crate) struct Announced(watch::Sender<Option<Announcement>>);

impl Announced {
    /// Records that a host has a version in force.
    pub(crate) fn record(&self, version: Version, from: SocketAddr) {
        self.0.send_if_modified(|newest| {
            let is_latest = newest.is_none_or(|newest| newest.version <= version);
            if is_latest {
                *newest = Some(Announcement { version, from });
            }
            is_latest
        });
    }
}

/// Fetches announced versions that the store does not deliver in time, until the process ends.
pub(crate) async fn fetch(shared: Arc<Shared>, exchange: Arc<Exchange>) {
    let mut announced = shared.announced.0.subscribe();
    loop {
        let newest = *announced.borrow_and_update();
        if let Some(newest) = newest.filter(|newest| shared.version() < newest.version) {
            let is_degraded = shared.store.is_degraded();
            let wait = shared.routed.apply.mul_f64(STORE_SHARE);
            sleep(if is_degraded { Duration::ZERO } else { wait }).await;
            fetch_from_any(&shared, &exchange, newest).await;
        }
        // Never fails, as the sender lives as long as this host.
        let _ = announced.changed().await;
    }
}

/// Asks hosts for a version, one after the other, until it or a later one is in force.
async fn fetch_from_any(shared: &Shared, exchange: &Exchange, newest: Announcement) {
    let snapshot = exchange.fleet();
    let ahead = snapshot.ahead(&shared.host.zone, shared.version());
    let others = ahead.iter().map(|status| status.member.address);
    let others = others.filter(|address| *address != newest.from).take(MAX_OTHERS);
    for from in std::iter::once(newest.from).chain(others) {
        if newest.version <= shared.version() {
            return;
        }
        match exchange.fetch_declaration(from, shared.version()).await {
            Ok(Some(declaration)) => {
                let peer = peer_at(exchange, from);
                shared.declare((*declaration).clone(), story::Source::Peer(peer));
            }
            Ok(None) => {}
            Err(error) => log::debug!(from:% = from; "a declaration can't be fetched: {error}"),
        }
    }
}

/// Returns the id of the host that listens at an address, or the address itself while the host is
/// unknown.
fn peer_at(exchange: &Exchange, address: SocketAddr) -> host::Id {
    let snapshot = exchange.fleet();
    let known = snapshot.hosts.iter().find(|status| status.member.address == address);
    known.map_or_else(|| address.to_string().into(), |status| status.member.id.clone())
}

impl Shared {
    /// Returns the version of the declaration in force; 0 if there is none.
    pub(crate) fn version(&self) -> Version {
        self.declaration().map_or(0, |declaration| declaration.version)
    }
}
