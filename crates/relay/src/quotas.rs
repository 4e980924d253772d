//! Limits that servers name, and the quotas that hosts share: between the dispatcher and the other hosts,
//! the log and the metrics.

use exchange::fleet::{FleetSnapshot, Notice};
use observe::{
    metrics::routed::Permits,
    story::{Belief, Heard},
};
use policy::{
    fleet::Liveness,
    quota::{Change, Message, VersionedLimit},
};
use types::{prelude::*, routed::Rate};

use crate::{edge::Limit, host::Shared};

impl Shared {
    /// Takes in what an answer of a server names whose request left at `sent`.
    pub(crate) fn observe_limit(&self, server: &backend::Id, limit: Limit, sent: Moment) {
        let limit = match limit {
            Limit::Unnamed => None,
            Limit::Named(rate) => Some(rate),
            Limit::Unreadable => return self.reject_limit(server),
        };
        let change = self.dispatcher().limit_named(server, limit, sent, self.now());
        if let Some(change) = change {
            self.report_limit(server, change, Heard::Itself);
            self.notify(Notice::LimitChanged { server: server.clone(), news: change.current });
        }
    }

    /// Takes in what another host believes of a server's limit.
    pub(crate) fn receive_limit(
        &self,
        server: &backend::Id,
        limit: VersionedLimit,
        from: &host::Id,
    ) {
        let change = self.dispatcher().limit_received(server, limit, self.now());
        if let Some(change) = change {
            self.report_limit(server, change, Heard::Peer(from.clone()));
        }
    }

    /// Takes in another host's asks and grants.
    pub(crate) fn quota_received(&self, from: &host::Id, message: &Message) {
        let changes = self.dispatcher().quota_received(from, message, self.now());
        for (server, change) in changes {
            self.report_limit(&server, change, Heard::Peer(from.clone()));
        }
        self.dispatch_wakeup.notify_one();
    }

    /// Takes in who the other hosts are, and the limits that they believe in.
    pub(crate) fn quota_hosts(&self, snapshot: &FleetSnapshot) {
        let is_reachable = |liveness| liveness != Liveness::Silent;
        let known =
            snapshot.hosts.iter().map(|peer| (&peer.member.id, is_reachable(peer.liveness)));
        let others = snapshot.hosts.iter().filter(|peer| peer.liveness == Liveness::Live);
        let own = (!self.is_leaving()).then(|| self.host.id.clone());
        let live = others.map(|peer| peer.member.id.clone()).chain(own).collect();
        self.dispatcher().share_among(known, live, self.now());
        for (server, limit) in &snapshot.limits {
            self.receive_limit(server, *limit, &crate::workload::PEERS_ID.into());
        }
    }

    /// Sends asks and grants.
    pub(crate) fn send_quotas(&self, messages: Vec<(host::Id, Message)>) {
        self.send_once(messages.into_iter().map(|(to, message)| (to, Notice::Quota(message))));
    }

    /// Shows how limits are shared.
    pub(crate) fn update_quota_metrics(&self) {
        let (now, dispatcher) = (self.now(), self.dispatcher());
        let quotas = dispatcher.quotas();
        let (shares, counts) = (quotas.shares(now), quotas.counts());
        let limited = quotas.limited().count();
        drop(dispatcher);
        self.meters.limited(limited, shares);
        self.meters.permits(Permits::Granted, counts.granted);
        self.meters.permits(Permits::Used, counts.used);
        self.meters.permits(Permits::Lapsed, counts.lapsed);
    }

    /// An answer whose limit can't be read changes no belief.
    fn reject_limit(&self, server: &backend::Id) {
        self.meters.unreadable_limit();
        if self.unreadable_limits_log.is_due(self.now()) {
            log::error!(server = &**server; "the limit in a server's answer can't be read");
        }
    }

    fn report_limit(&self, server: &backend::Id, change: Change, from: Heard) {
        self.teller.belief(Belief::Limit {
            server: server.clone(),
            before: change.previous.map(Rate::as_f64),
            now: change.current.rate.map(Rate::as_f64),
            from,
        });
        self.dispatch_wakeup.notify_one();
    }
}
