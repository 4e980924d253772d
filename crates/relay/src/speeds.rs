//! Estimates of the servers' speed: passes the sums behind them to the other hosts, and the estimates
//! to the log and the metrics.

use std::collections::BTreeMap;

use exchange::{Exchange, fleet::Publication};
use observe::story::Belief;
use types::prelude::*;

use crate::host::Shared;

/// Minimum time between two log lines on a service.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Change of a factor, as a part of it, from which on the factors of a service are logged again.
const NOTABLE_CHANGE: f64 = 0.2;

/// Factors of the fastest and of the slowest server of a service.
type Range = (f64, f64);

/// The factors of servers that are equally fast.
const EQUAL: Range = (1.0, 1.0);

/// What was last published and logged.
#[derive(Debug, Default)]
pub(crate) struct Speeds {
    is_published: bool,
    logged: BTreeMap<service::Id, (Range, Moment)>,
}

impl Speeds {
    /// Publishes the sums over this host's response times, if servers differ notably in speed.
    pub(crate) fn publish(&mut self, shared: &Shared, exchange: &Exchange) {
        let sums = shared.dispatcher().speed_sums(shared.now());
        let was_published = std::mem::replace(&mut self.is_published, !sums.is_empty());
        if was_published || !sums.is_empty() {
            exchange.publish(Publication::Speeds(sums));
        }
    }

    /// Logs the factors of services whose servers differ, when these have changed notably.
    pub(crate) fn report(&mut self, shared: &Shared) {
        let now = shared.now();
        let ranges = shared.dispatcher().speed_ranges();
        for (service, range) in ranges {
            if self.is_due(&service, range, now) {
                self.logged.insert(service.clone(), (range, now));
                shared.logger.belief(Belief::Speeds { service, least: range.0, most: range.1 });
            }
        }
    }

    fn is_due(&self, service: &service::Id, range: Range, now: Moment) -> bool {
        let is_changed = |old: f64, new: f64| NOTABLE_CHANGE < (new / old).ln().abs();
        let Some((logged, at)) = self.logged.get(service) else { return range != EQUAL };
        *at + LOG_INTERVAL <= now
            && (is_changed(logged.0, range.0) || is_changed(logged.1, range.1))
    }
}

impl Shared {
    /// Updates the metrics of the servers' speed.
    pub(crate) fn update_speed_metrics(&self) {
        let ranges = self.dispatcher().speed_ranges();
        for (service, (least, most)) in ranges {
            self.meters.server_speed(&service, least, most);
        }
    }
}
