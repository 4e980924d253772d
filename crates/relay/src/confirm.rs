//! Whether what this host knows of the store is recent enough to act on.
//!
//! A host may lag behind the store without noticing, for example when its link or processor has a
//! backlog. It goes on serving by the declaration in force. But before it refuses a request for good
//! by a declaration that may be outdated, or sends one to a server that may have left long ago, it
//! asks the store. If the store doesn't answer in time, the request is refused as not run, so that the
//! caller may retry.

use std::{
    collections::BTreeMap,
    sync::{Arc, MutexGuard, PoisonError, atomic::Ordering},
    time::Duration,
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use policy::follow::{Knowledge, MAX_KNOWN_AGE_SHARE, SHORTEST_WAIT};
use tokio::time::timeout;
use types::time::Moment;

use crate::{
    edge::{ObjectKind, Revision, StoreCall, StoreReply, WatchBatch},
    host::Shared,
    watch,
};

/// Timeout of a confirmation, for which requests wait.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of hosts that are asked for the servers at the same time.
const MAX_ASKED_PEERS: usize = 8;

/// Timeout of these calls.
const PEER_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which their answers count, as a share of the deadline for changes of the servers.
const PEER_VIEW_SHARE: f64 = 0.3;

/// What other hosts know of the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerView {
    /// The store has answered one of them recently.
    Recent,
    /// Most of them responded, and the store has answered none of these recently.
    Outdated,
    /// Too few of them responded.
    Unclear,
}

/// What the store last said of the declaration.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Confirmation {
    /// Revision of the store up to which all changes are known.
    revision: Revision,
    /// Time up to which all changes are known.
    at: Moment,
}

impl Shared {
    /// Records that all changes of the declaration up to a revision and a time are known.
    pub(crate) fn confirm_declaration(&self, revision: Revision, at: Moment) {
        let mut confirmed =
            self.declaration_confirmed.lock().unwrap_or_else(PoisonError::into_inner);
        confirmed.revision = confirmed.revision.max(revision);
        confirmed.at = confirmed.at.max(at);
    }

    /// Returns the time up to which all changes of the declaration are known.
    pub(crate) fn declaration_confirmed_at(&self) -> Moment {
        self.declaration_confirmation().at
    }

    fn declaration_confirmation(&self) -> Confirmation {
        *self.declaration_confirmed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether each declaration is known that must be in force for a request received at
    /// this time.
    fn is_declaration_known(&self, received: Moment) -> bool {
        received <= self.declaration_confirmed_at() + self.routed.apply
    }

    /// Returns whether each declaration is known that must be in force for a request received at
    /// this time. Asks the store if this host can't tell; a later declaration is in force after
    /// that.
    pub(crate) async fn confirm_for(&self, received: Moment) -> bool {
        if !self.is_declaration_known(received) {
            // Without an answer in time, the declaration stays unconfirmed.
            let _ = timeout(CONFIRMATION_TIMEOUT, self.ask_store(received)).await;
        }
        self.is_declaration_known(received)
    }

    /// Fetches changes of the declaration from the store, unless another request has done so by the
    /// time that it is this one's turn.
    async fn ask_store(&self, received: Moment) {
        let _turn = self.confirming.lock().await;
        if self.is_declaration_known(received) {
            return;
        }
        let since = self.declaration_confirmation().revision;
        if let Some((batch, began)) = self.missed_changes(ObjectKind::Declaration, since).await {
            watch::apply_declarations(self, &batch, began);
        }
    }

    /// Fetches the store's changes since a revision, without waiting for further ones. Returns them
    /// with the start of the call; `None` if the store does not answer.
    async fn missed_changes(
        &self,
        kind: ObjectKind,
        since: Revision,
    ) -> Option<(WatchBatch, Moment)> {
        let began = self.now();
        let call = StoreCall::Watch { kind, since, wait: SHORTEST_WAIT };
        match self.store.call(&call).await {
            StoreReply::Seen(batch) => Some((batch, began)),
            _ => None,
        }
    }

    /// Locks what this host can tell of the age of its knowledge of the servers. No other lock may be
    /// taken meanwhile.
    pub(crate) fn servers_known(&self) -> MutexGuard<'_, Knowledge> {
        self.servers_known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the store answered a watch of the servers, which it evaluated at this time or
    /// later. Returns the time up to which all changes are known.
    pub(crate) fn servers_watch_answered(&self, evaluated: Moment) -> Moment {
        let mut known = self.servers_known();
        known.watch_answered(evaluated);
        known.confirmed_at()
    }

    /// Returns whether a server may have left so long ago that it must be left alone by now, and this
    /// host would not know it.
    ///
    /// During an outage of the store no departure is confirmed, and the servers that are known stay
    /// in use.
    pub(crate) fn are_servers_outdated(&self) -> bool {
        let is_outdated = self.servers_known().is_outdated(self.now());
        is_outdated && !self.is_store_out()
    }

    /// Fetches changes of the servers if this host's knowledge is outdated. Returns whether it still
    /// is.
    pub(crate) async fn confirm_servers(self: &Arc<Self>) -> bool {
        if self.are_servers_outdated() {
            // Without an answer in time, the servers stay unconfirmed.
            let _ = timeout(CONFIRMATION_TIMEOUT, self.ask_for_servers()).await;
        }
        self.are_servers_outdated()
    }

    /// Fetches changes of the servers from the store, or from a host that reaches the store if this
    /// one does not, unless another request has done so by the time that it is this one's turn.
    async fn ask_for_servers(self: &Arc<Self>) {
        let _turn = self.confirming_servers.lock().await;
        if !self.are_servers_outdated() {
            return;
        }
        if self.store.is_degraded() {
            match self.ask_peers_for_servers().await {
                PeerView::Recent => return,
                PeerView::Outdated => {
                    *self.peers_outdated_at.lock().unwrap_or_else(PoisonError::into_inner) =
                        Some(self.now());
                    return;
                }
                PeerView::Unclear => {}
            }
        }
        let changes = self.missed_changes(ObjectKind::Server, self.revision()).await;
        if let Some((batch, began)) = changes {
            batch.changes.iter().for_each(|change| self.change_server(change));
            self.servers_known().confirm(began);
        }
    }

    /// Fetches the servers from a host that reaches the store: one that says so, or a relay.
    async fn ask_peers_for_servers(self: &Arc<Self>) -> PeerView {
        let Some(exchange) = self.exchange() else { return PeerView::Unclear };
        let snapshot = exchange.fleet();
        let reaching = snapshot.reaching_store().map(|status| status.member.clone());
        let peers: BTreeMap<_, _> = reaching
            .chain(exchange.other_relays())
            .take(MAX_ASKED_PEERS)
            .map(|peer| (peer.id, peer.address))
            .collect();
        let (asked, requested_at, above) = (peers.len(), self.now(), self.revision());
        let call = async |(id, address)| {
            let list = timeout(PEER_TIMEOUT, exchange.follow(address, above)).await;
            Some((id, list.ok()?.ok()??))
        };
        let mut calls: FuturesUnordered<_> = peers.into_iter().map(call).collect();
        let max_age = self.routed.drain.mul_f64(MAX_KNOWN_AGE_SHARE);
        let mut outdated = 0;
        while let Some(answer) = calls.next().await {
            let Some((id, list)) = answer else { continue };
            let list_age = list.age;
            self.servers_known().confirm(requested_at.saturating_sub(list_age));
            self.apply_peer_servers(list, &id);
            if !self.servers_known().is_outdated(self.now()) {
                return PeerView::Recent;
            }
            // A recent list that this host read late shows nothing of the store.
            outdated += usize::from(max_age < list_age);
        }
        if asked < 2 * outdated { PeerView::Outdated } else { PeerView::Unclear }
    }

    /// Returns whether the store is out for all hosts, so that entries of healthy servers may have
    /// expired. Failures of this host's own calls alone may be due to its own link or processor.
    ///
    /// What a host has published may be out of date, for example if it is frozen, so the responses of
    /// peers that were asked directly take precedence.
    pub(crate) fn is_store_out(&self) -> bool {
        self.store.is_degraded()
            && (!self.is_store_reached_by_others.load(Ordering::Relaxed)
                || self.are_peers_outdated())
    }

    /// Returns whether most of the peers that this host has just asked had no recent answer of the
    /// store either.
    fn are_peers_outdated(&self) -> bool {
        let peers_outdated_at =
            *self.peers_outdated_at.lock().unwrap_or_else(PoisonError::into_inner);
        peers_outdated_at
            .is_some_and(|at| self.now() < at + self.routed.drain.mul_f64(PEER_VIEW_SHARE))
    }

    /// Returns how long ago the store last confirmed the known servers.
    pub(crate) fn servers_age(&self) -> Duration {
        self.now().saturating_sub(self.servers_known().confirmed_at())
    }
}
