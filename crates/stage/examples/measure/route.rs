//! Chooses the address of a request: a host, or an engine chosen by a baseline's router.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicUsize, Ordering},
    },
};

use types::{prelude::*, resident::State as Progress};

use crate::{Strategy, demand::Arrival, site::Site};

/// Chooses hosts in turn, or an engine by the baseline's rule.
pub(crate) struct Router {
    site: Arc<Site>,
    strategy: Strategy,
    next: AtomicUsize,
    in_flight: Vec<Arc<AtomicU32>>,
}

/// The address chosen for a request, which counts as in flight at its engine until dropped.
pub(crate) struct Route {
    pub(crate) address: SocketAddr,
    in_flight: Option<Arc<AtomicU32>>,
}

impl Drop for Route {
    fn drop(&mut self) {
        if let Some(count) = &self.in_flight {
            count.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Router {
    pub(crate) fn new(site: &Arc<Site>, strategy: Strategy) -> Router {
        let in_flight = site.engines.iter().map(|_| Arc::default()).collect();
        Router { site: site.clone(), strategy, next: AtomicUsize::new(0), in_flight }
    }

    /// Chooses the address for a request; none if the strategy has no hosts and no engine has the
    /// model ready.
    pub(crate) fn choose(&self, arrival: &Arrival) -> Option<Route> {
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        if self.strategy.has_hosts() {
            let callers = &self.site.callers;
            return Some(Route { address: callers[next % callers.len()], in_flight: None });
        }
        let ready: Vec<usize> =
            (0..self.site.engines.len()).filter(|n| self.is_ready(*n, arrival)).collect();
        let load = |n: &&usize| self.in_flight[**n].load(Ordering::Relaxed);
        let chosen = match self.strategy {
            Strategy::LastMinute => ready.iter().min_by_key(load),
            Strategy::Ours | Strategy::Hosts | Strategy::Static => {
                ready.get(next % ready.len().max(1))
            }
        };
        let count = self.in_flight[*chosen?].clone();
        count.fetch_add(1, Ordering::Relaxed);
        Some(Route { address: self.site.servers[*chosen?].address, in_flight: Some(count) })
    }

    fn is_ready(&self, engine: usize, arrival: &Arrival) -> bool {
        self.site.engines[engine].residents().iter().any(|resident| {
            let is_match = match (&resident.unit, &arrival.adapter) {
                (Unit::Model { model, .. }, None) => *model == arrival.model,
                (Unit::Adapter { model, adapter, .. }, Some(wanted)) => {
                    *model == arrival.model && adapter == wanted
                }
                _ => false,
            };
            is_match && resident.state == Progress::Ready
        })
    }
}
