//! How long rounds of planning take, and how late they are.

use std::time::Duration;

use observe::metrics::routed::PlanTime;
use types::prelude::*;

use crate::host::Shared;

/// Interval at which the times of rounds are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Times of the rounds since this host began to plan.
#[derive(Debug, Default)]
pub(super) struct Rounds {
    /// End of the last round.
    ended: Option<Moment>,
    /// Start of the period of `times`.
    since: Option<Moment>,
    times: Times,
}

/// Times of the rounds of a period.
#[derive(Debug, Default)]
struct Times {
    rounds: u32,
    total: Duration,
    longest: Duration,
    longest_interval: Duration,
    longest_delay: Duration,
}

impl Rounds {
    /// Records a round. `requested` is the time of the first request that the round took up.
    pub(super) fn record(
        &mut self,
        shared: &Shared,
        requested: Option<Moment>,
        began: Moment,
        now: Moment,
    ) {
        let took = now.saturating_sub(began);
        shared.meters.plan_round(PlanTime::Round, took);
        let times = &mut self.times;
        times.rounds += 1;
        times.total += took;
        times.longest = times.longest.max(took);
        if let Some(ended) = self.ended.replace(now) {
            let interval = now.saturating_sub(ended);
            shared.meters.plan_round(PlanTime::Interval, interval);
            times.longest_interval = times.longest_interval.max(interval);
        }
        if let Some(requested) = requested {
            let delay = now.saturating_sub(requested);
            shared.meters.plan_round(PlanTime::Delay, delay);
            times.longest_delay = times.longest_delay.max(delay);
        }
        let since = *self.since.get_or_insert(began);
        if since + LOG_INTERVAL <= now {
            std::mem::take(&mut self.times).log(now.saturating_sub(since));
            self.since = Some(now);
        }
    }
}

impl Times {
    fn log(&self, period: Duration) {
        let ms = |time: Duration| time.as_secs_f64() * 1e3;
        log::info!(
            rounds = self.rounds, period_ms = ms(period), total_ms = ms(self.total),
            longest_ms = ms(self.longest), longest_interval_ms = ms(self.longest_interval),
            longest_delay_ms = ms(self.longest_delay);
            "rounds of planning"
        );
    }
}
