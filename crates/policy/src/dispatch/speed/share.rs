//! Exchange of the samples of response times with other hosts.
//!
//! A host sends its sums only of services whose servers differ notably, and a server's sum only when
//! the sum has changed notably, so that equal servers cost nothing and known ones little.

use std::collections::BTreeMap;

use types::prelude::*;

use super::{Sum, long_term::NOTABLE_SPREAD};
use crate::dispatch::{Dispatcher, server::Server};

/// Change of the mean, as a part of the spread that counts as notable, from which on a sum is sent
/// again; and the factor of the count.
const MEAN_CHANGE: f64 = 0.5;
const COUNT_CHANGE: f64 = 2.0;

/// Time between two sets of sums, and the largest number of changed sums in a set. They bound what
/// the sums cost while many servers are new; those that this host knows best come first.
const SEND_INTERVAL: Duration = Duration::from_secs(10);
const MAX_SENT: usize = 8;

/// Least count of samples that is sent.
const MIN_COUNT: f64 = 1.0;

impl Dispatcher {
    /// Sums over this host's samples by server, for other hosts. A sum is the last one returned for
    /// the server until it has changed notably and its turn has come.
    pub fn speed_sums(&mut self, now: Moment) -> Vec<(backend::Id, Sum)> {
        let services = &self.registry.services;
        let is_sent: Vec<bool> = services.iter().map(|s| s.spread.is_notable()).collect();
        let is_sent = |server: &Server| is_sent[server.service as usize];
        if self.speeds_sent_at.is_none_or(|at| at + SEND_INTERVAL <= now) {
            let servers = self.registry.servers_mut();
            let mut unsent: Vec<_> =
                servers.filter(|s| is_sent(s) && s.speed.is_unsent()).collect();
            unsent.sort_by(|a, b| {
                let by_count = b.speed.own_count().total_cmp(&a.speed.own_count());
                a.speed.sent_at().cmp(&b.speed.sent_at()).then(by_count)
            });
            for server in unsent.into_iter().take(MAX_SENT) {
                server.speed.send(now);
                self.speeds_sent_at = Some(now);
            }
        }
        let servers = self.registry.servers().filter(|server| is_sent(server));
        let sums = servers.map(|server| (server.id.clone(), server.speed.sent()));
        sums.filter(|(_, sum)| MIN_COUNT <= sum.count).collect()
    }

    /// Replaces the sums over other hosts' samples.
    pub fn set_speed_sums(&mut self, sums: &BTreeMap<backend::Id, Sum>) {
        for server in self.registry.servers_mut() {
            server.speed.set_others(sums.get(&server.id).copied().unwrap_or_default());
        }
    }

    /// Lowest and highest long-term factor of the servers of each service.
    pub fn speed_ranges(&self) -> Vec<(service::Id, (f64, f64))> {
        let services = self.registry.services.iter().filter(|s| !s.list.all().is_empty());
        let range = |list: &[u32]| {
            let servers = list.iter().filter_map(|at| self.registry.get(*at));
            let factors = servers.map(|server| server.speed.long_term());
            factors.fold((f64::INFINITY, 0.0), |(least, most): (f64, f64), factor| {
                (least.min(factor), most.max(factor))
            })
        };
        services.map(|service| (service.id.clone(), range(service.list.all()))).collect()
    }

    /// Long-term factors of the servers that are not 1.
    pub fn speed_factors(&self) -> BTreeMap<backend::Id, f64> {
        let servers = self.registry.servers();
        let factors = servers.map(|server| (server.id.clone(), server.speed.long_term()));
        factors.filter(|(_, factor)| *factor != 1.0).collect()
    }
}

/// Whether a sum differs so much from the one that was sent that it is sent again.
pub(super) fn is_changed(sent: Sum, sum: Sum) -> bool {
    let mean = MEAN_CHANGE * NOTABLE_SPREAD < (sent.mean() - sum.mean()).abs();
    let (least, most) = (sent.count.min(sum.count), sent.count.max(sum.count));
    mean || least * COUNT_CHANGE < most
}
