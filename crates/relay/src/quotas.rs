//! Rate limits that servers state, and the permits that hosts share under them: passes both between
//! the dispatcher, the other hosts, the log and the metrics.

use exchange::fleet::{Notice, Snapshot};
use observe::{
    metrics::routed::Permits,
    story::{Belief, Source},
};
use policy::{
    fleet::Liveness,
    quota::{self, Change, Message},
};
use types::{prelude::*, routed::Rate};

use crate::{edge::Stated, host::Shared};

impl Shared {
    /// Applies the limit that a server's response states, for a request that was sent at `sent`.
    pub(crate) fn observe_limit(&self, server: &backend::Id, limit: Stated<Rate>, sent: Moment) {
        let limit = match limit {
            Stated::Absent => None,
            Stated::Value(rate) => Some(rate),
            Stated::Unreadable => return self.report_unreadable_limit(server),
        };
        let change = self.dispatcher().limit_named(server, limit, sent, self.now());
        if let Some(change) = change {
            self.report_limit(server, change, Source::Itself);
            self.notify(Notice::LimitChanged { server: server.clone(), limit: change.current });
        }
    }

    /// Applies how many rejections a second a server's response states to tolerate.
    pub(crate) fn observe_tolerance(&self, server: &backend::Id, tolerance: Stated<u32>) {
        let rejections = match tolerance {
            Stated::Absent => None,
            Stated::Value(rejections) => Some(rejections),
            Stated::Unreadable => return self.report_unreadable_limit(server),
        };
        let change = self.dispatcher().tolerance_stated(server, rejections, self.now());
        if let Some((service, rejections)) = change {
            self.logger.belief(Belief::Tolerance { service, rejections });
        }
    }

    /// Applies a server's limit as another host reports it.
    pub(crate) fn receive_limit(&self, server: &backend::Id, limit: quota::Limit, from: &host::Id) {
        let change = self.dispatcher().limit_received(server, limit, self.now());
        if let Some(change) = change {
            self.report_limit(server, change, Source::Peer(from.clone()));
        }
    }

    /// Applies another host's request for permits, or its grant of them.
    pub(crate) fn quota_received(&self, from: &host::Id, message: &Message) {
        let changes = self.dispatcher().quota_received(from, message, self.now());
        for (server, change) in changes {
            self.report_limit(&server, change, Source::Peer(from.clone()));
        }
        self.dispatch_wakeup.notify_one();
    }

    /// Passes the other hosts, and the limits that they report, to the dispatcher.
    pub(crate) fn quota_hosts(&self, snapshot: &Snapshot) {
        let is_reachable = |liveness| liveness != Liveness::Silent;
        let known =
            snapshot.hosts.iter().map(|peer| (&peer.member.id, is_reachable(peer.liveness)));
        let others = snapshot.hosts.iter().filter(|peer| peer.liveness == Liveness::Live);
        let own = (!self.is_leaving()).then(|| self.host.id.clone());
        let live: Vec<host::Id> = others.map(|peer| peer.member.id.clone()).chain(own).collect();
        self.customer_quota_hosts(known.clone(), Vec::clone(&live));
        self.dispatcher().share_among(known, live, self.now());
        for (server, limit) in &snapshot.limits {
            self.receive_limit(server, *limit, &crate::workload::PEERS_ID.into());
        }
    }

    /// Sends requests for permits, and grants of them.
    pub(crate) fn send_quotas(&self, messages: Vec<(host::Id, Message)>) {
        self.send_once(messages.into_iter().map(|(to, message)| (to, Notice::Quota(message))));
    }

    /// Updates the metrics of shared limits.
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

    /// Counts and logs a limit that can't be parsed. The known limit stays.
    fn report_unreadable_limit(&self, server: &backend::Id) {
        self.meters.unreadable_limit();
        if self.unreadable_limits_log.is_due(self.now()) {
            log::error!(server = &**server; "the limit in a server's answer can't be read");
        }
    }

    fn report_limit(&self, server: &backend::Id, change: Change, from: Source) {
        self.logger.belief(Belief::Limit {
            server: server.clone(),
            before: change.previous.map(Rate::as_f64),
            now: change.current.rate.map(Rate::as_f64),
            from,
        });
        self.dispatch_wakeup.notify_one();
    }
}
