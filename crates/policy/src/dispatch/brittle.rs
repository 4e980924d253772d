//! Servers that fall over when they reject too many requests for want of room.
//!
//! Such a server states how many rejections a second it tolerates, over all hosts. What another
//! host is about to send is unknown, so the slots of each server are divided among the hosts by
//! rendezvous hashing. Hosts that keep to their parts never send more than the slots together,
//! whatever they know of each other, also to a server that has just started. Beyond its part, a host
//! uses only slots that are known to be free by a margin, and at each server only a few hosts do so:
//! at most half as many as the rejections that it tolerates.

use types::prelude::*;

use super::{Dispatcher, server::Server};
use crate::member::rendezvous;

/// Time for which a host keeps to its part after a server rejected its request, and after a server
/// was registered.
const CAUTION_TIME: Duration = Duration::from_secs(1);

/// Share of the slots in use up to which a host exceeds its part.
const MAX_SHARED_FILL: f64 = 0.75;

/// Time without a statement of any server of a service after which an answer without one ends it.
const STATEMENT_LIFE: Duration = Duration::from_secs(1);

/// What the servers of a service state about rejections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tolerance {
    stated: Option<(u32, Moment)>,
}

impl Tolerance {
    /// Rejections a second that each server tolerates; `None` if the servers are not brittle.
    pub fn rejections(self) -> Option<u32> {
        self.stated.map(|(rejections, _)| rejections)
    }

    /// Applies what an answer states, and returns whether the tolerance changed.
    fn observe(&mut self, stated: Option<u32>, now: Moment) -> bool {
        let before = self.rejections();
        match (stated, self.stated) {
            (Some(rejections), _) => self.stated = Some((rejections, now)),
            (None, Some((_, at))) if at + STATEMENT_LIFE <= now => self.stated = None,
            (None, _) => {}
        }
        before != self.rejections()
    }
}

impl Dispatcher {
    /// Applies how many rejections a second a server's answer states to tolerate; `None` if it
    /// states nothing. Returns the service and its new tolerance if that changed.
    pub fn tolerance_stated(
        &mut self,
        id: &backend::Id,
        rejections: Option<u32>,
        now: Moment,
    ) -> Option<(service::Id, Option<u32>)> {
        let service = self.registry.get(self.registry.index(id)?)?.service;
        let service = &mut self.registry.services[service as usize];
        let has_changed = service.tolerance.observe(rejections, now);
        let change = (service.id.clone(), service.tolerance.rejections());
        if has_changed {
            self.update_ranks();
        }
        has_changed.then_some(change)
    }

    /// Computes the ranks of this host anew, after the live hosts have changed.
    pub(super) fn reset_ranks(&mut self) {
        self.registry.servers_mut().for_each(|server| server.rank = None);
        self.update_ranks();
    }

    /// Computes the rank of this host at each brittle server whose rank is not known.
    pub(super) fn update_ranks(&mut self) {
        let brittle = |service: &super::registry::Service| service.tolerance.rejections().is_some();
        let is_brittle: Vec<bool> = self.registry.services.iter().map(brittle).collect();
        let (own, live) = (self.quotas.own(), self.quotas.live());
        let servers = self.registry.servers_mut();
        let unranked = servers.filter(|server| is_brittle[server.service as usize]);
        for server in unranked.filter(|server| server.rank.is_none()) {
            let rank = rendezvous::rank(server.id.as_bytes(), own, live.iter());
            server.rank = Some(rank as u32);
        }
    }

    /// Whether this host may send one more request to a server, of which `in_flight` are known to be
    /// there.
    pub(super) fn has_tolerated_place(&self, server: &Server, in_flight: f64, now: Moment) -> bool {
        let tolerance = self.registry.services[server.service as usize].tolerance;
        let Some(rejections) = tolerance.rejections() else { return true };
        let hosts = (self.quotas.live().len() as u32).max(1);
        let rank = server.rank.unwrap_or(hosts);
        let part = server.slots / hosts + u32::from(rank < server.slots % hosts);
        let slots = f64::from(server.slots);
        if slots < in_flight + 1.0 {
            return false;
        }
        let is_calm = server.registered_at + CAUTION_TIME <= now
            && server.rejected_at.is_none_or(|at| at + CAUTION_TIME <= now);
        let may_exceed =
            is_calm && rank < rejections / 2 && in_flight + 1.0 <= slots * MAX_SHARED_FILL;
        server.load.own() < part || may_exceed
    }
}
