//! What a plan can work with: the servers that accept model orders, and the replicas that may be
//! evicted.
//!
//! An unplaced model names one obstacle. If that is a lack of room, the headroom shows the reasons
//! over all servers.

use super::{
    draft::{Draft, Target},
    eviction::{self, Keep},
    server_view::CurrentOrder,
};

/// Numbers of servers and replicas by what a plan can do with them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Headroom {
    /// Servers that accept a model order.
    pub open: usize,
    /// Servers that are carrying out a model order, or were sent an order that has no answer yet.
    pub occupied: usize,
    /// Servers that answer no host.
    pub unresponsive: usize,
    /// Servers in an unknown state, and servers to which orders are paused.
    pub unsettled: usize,
    /// Replicas that any model may take the room of.
    pub evictable: usize,
    /// Replicas without another one that is certain to stay.
    pub last: usize,
    /// Replicas whose work the others of their model can't take.
    pub needed: usize,
    /// Replicas that are too new to be evicted.
    pub new: usize,
    /// Models with work.
    pub busy_models: usize,
    /// Models without a replica.
    pub missing_models: usize,
}

impl Headroom {
    /// Adds the numbers of one service, whose plan has no orders yet.
    pub(super) fn add(&mut self, draft: &Draft) {
        for (index, target) in draft.targets.iter().enumerate() {
            *self.servers(target) += 1;
            for held in &target.held {
                *self.replicas(eviction::keep(draft, held, index)) += 1;
            }
        }
        self.busy_models += draft.work.iter().filter(|work| 0.0 < **work).count();
        self.missing_models += draft.replicas.iter().filter(|replicas| replicas.is_empty()).count();
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
