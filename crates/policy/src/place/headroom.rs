//! What a plan could work with: the servers that took model orders, and the replicas that could
//! have made way.
//!
//! A wish says that a model found no room; the headroom tells the reasons apart, over all servers.

use super::{
    draft::{Draft, Target},
    eviction::{self, Keep},
    server_view::CurrentOrder,
};

/// Numbers of servers and replicas when a plan was finished.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Headroom {
    /// Servers that could take a model order.
    pub open: usize,
    /// Servers that were carrying out a model order, or had one on its way.
    pub occupied: usize,
    /// Servers that answer no host.
    pub unresponsive: usize,
    /// Servers in an unknown state, or that orders pause for.
    pub unsettled: usize,
    /// Replicas that could have made way for others.
    pub evictable: usize,
    /// Replicas without another one that is certain to stay.
    pub last: usize,
    /// Replicas whose work the others of their model can't take.
    pub needed: usize,
    /// Replicas that were loaded a moment ago.
    pub new: usize,
    /// Models with work.
    pub busy_models: usize,
    /// Models without a replica.
    pub missing_models: usize,
}

impl Headroom {
    /// Adds the numbers of a finished plan for one service.
    pub(super) fn add(&mut self, draft: &Draft) {
        for (index, target) in draft.targets.iter().enumerate() {
            *self.servers(target) += 1;
            for held in target.view.held.keys() {
                *self.replicas(eviction::keep(draft, held, index)) += 1;
            }
        }
        let models = draft.replicas.iter().zip(&draft.work);
        for (replicas, work) in models {
            self.busy_models += usize::from(0.0 < *work);
            self.missing_models += usize::from(replicas.is_empty());
        }
    }

    fn servers(&mut self, target: &Target) -> &mut usize {
        let view = target.view;
        let has_model_order = view.current.as_ref().is_some_and(|at| *at != CurrentOrder::Foreign)
            || view.in_flight_order.is_some();
        match () {
            () if target.accepts_model_order() => &mut self.open,
            () if view.is_unresponsive => &mut self.unresponsive,
            () if has_model_order => &mut self.occupied,
            () => &mut self.unsettled,
        }
    }

    fn replicas(&mut self, keep: Option<Keep>) -> &mut usize {
        match keep {
            None => &mut self.evictable,
            Some(Keep::Last) => &mut self.last,
            Some(Keep::Needed) => &mut self.needed,
            Some(Keep::New) => &mut self.new,
        }
    }
}
