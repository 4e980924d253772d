//! Reports the models and adapters that the planner wants to place but for which it can't send
//! orders.

use std::time::Duration;

use observe::story::{Belief, Text};
use policy::place::{Headroom, Obstacle, Order, ReportLimiter, Survey};
use types::prelude::*;

use crate::{host::Shared, planning};

/// Minimum interval at which plans are surveyed.
const SURVEY_INTERVAL: Duration = Duration::from_millis(500);

/// Interval from a survey to the next in units of its time, so that surveys take a small part of the
/// host's time.
const INTERVAL_PER_SURVEY: u32 = 32;

/// Interval at which the headroom of plans is logged.
const HEADROOM_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Reports the unplaced entries of this host's plans.
#[derive(Debug, Default)]
pub(crate) struct UnplacedReporter {
    /// When plans are to be surveyed next.
    survey_at: Moment,
    /// When the headroom was last logged.
    headroom_logged_at: Option<Moment>,
    limiter: ReportLimiter,
    /// Whether the metrics hold counts of this host's plans.
    has_metrics: bool,
}

impl UnplacedReporter {
    /// Surveys plans if that is due, counts the unplaced entries, and reports those that are due.
    pub(crate) fn report(&mut self, shared: &Shared, now: Moment) {
        if now < self.survey_at {
            return;
        }
        let Survey { headroom, unplaced, .. } = shared.planner().survey(now);
        let took = shared.now().saturating_sub(now);
        self.survey_at = now + SURVEY_INTERVAL.max(took.min(SURVEY_INTERVAL) * INTERVAL_PER_SURVEY);
        for obstacle in Obstacle::ALL {
            let waiting = unplaced.iter().filter(|entry| entry.obstacle == obstacle).count();
            shared.meters.wishes(obstacle.label(), waiting);
        }
        self.has_metrics = true;
        self.report_headroom(shared, &headroom, now);
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

    fn report_headroom(&mut self, shared: &Shared, headroom: &Headroom, now: Moment) {
        replicas(headroom).for_each(|(label, count)| shared.meters.replicas(label, count));
        if self.headroom_logged_at.is_some_and(|at| now < at + HEADROOM_LOG_INTERVAL) {
            return;
        }
        self.headroom_logged_at = Some(now);
        log::info!(
            open = headroom.open, occupied = headroom.occupied,
            unresponsive = headroom.unresponsive, unsettled = headroom.unsettled,
            evictable = headroom.evictable, last = headroom.last, needed = headroom.needed,
            new = headroom.new, busy_models = headroom.busy_models,
            missing_models = headroom.missing_models;
            "headroom of plans"
        );
    }

    /// Resets the metrics when this host no longer plans.
    pub(crate) fn end(&mut self, shared: &Shared) {
        if !std::mem::take(&mut self.has_metrics) {
            return;
        }
        self.limiter = ReportLimiter::default();
        Obstacle::ALL.iter().for_each(|obstacle| shared.meters.wishes(obstacle.label(), 0));
        replicas(&Headroom::default()).for_each(|(label, _)| shared.meters.replicas(label, 0));
    }
}

/// Replicas by whether they may make way, with the labels of the metric.
fn replicas(headroom: &Headroom) -> impl Iterator<Item = (&'static str, usize)> {
    let counts = [
        ("evictable", headroom.evictable),
        ("last", headroom.last),
        ("needed", headroom.needed),
        ("new", headroom.new),
    ];
    counts.into_iter()
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
