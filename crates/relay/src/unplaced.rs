//! Reports the models and adapters that the planner wants to place but for which it can't send
//! orders.

use std::time::Duration;

use observe::story::{Belief, Text};
use policy::place::{Obstacle, Order, ReportLimiter};
use types::prelude::*;

use crate::{host::Shared, planning};

/// Reports the unplaced entries of this host's plans.
#[derive(Debug, Default)]
pub(crate) struct UnplacedReporter {
    limiter: ReportLimiter,
    /// Whether the metrics hold counts of this host's plans.
    has_metrics: bool,
}

impl UnplacedReporter {
    /// Counts the unplaced entries of the last plan, and reports those that are due.
    pub(crate) fn report(&mut self, shared: &Shared, now: Moment) {
        let unplaced = shared.planner().unplaced().to_vec();
        for obstacle in Obstacle::ALL {
            let waiting = unplaced.iter().filter(|entry| entry.obstacle == obstacle).count();
            shared.meters.wishes(obstacle.label(), waiting);
        }
        self.has_metrics = true;
        for (entry, lasted) in self.limiter.due(&unplaced, now) {
            shared.logger.belief(Belief::Wish {
                model: entry.model,
                adapter: entry.adapter,
                replicas: u32::try_from(entry.replicas).unwrap_or(u32::MAX),
                since: lasted,
                why: Text::Borrowed(entry.obstacle.label()),
            });
        }
    }

    /// Resets the metrics when this host no longer plans.
    pub(crate) fn end(&mut self, shared: &Shared) {
        if !std::mem::take(&mut self.has_metrics) {
            return;
        }
        self.limiter = ReportLimiter::default();
        Obstacle::ALL.iter().for_each(|obstacle| shared.meters.wishes(obstacle.label(), 0));
    }
}

/// Reports an order that was decided but not sent.
pub(crate) fn report_unsent(shared: &Shared, order: &Order, why: &'static str) {
    shared.logger.belief(Belief::Wish {
        model: order.model.clone(),
        adapter: order.adapter.clone(),
        replicas: planning::replicas(shared, &order.model),
        since: Duration::ZERO,
        why: Text::Borrowed(why),
    });
}
