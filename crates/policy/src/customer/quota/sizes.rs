//! Bounds and intervals of one customer's quota.
//!
//! All tokens that exist at a moment are at most the burst, [`STORED_SECONDS`] of the rate and
//! [`STORED_TOKENS`], divided between the hosts and the coordinator, and besides [`EXTRA_SECONDS`] that hosts may hold
//! in advance and [`UNCONFIRMED_SECONDS`] at coordinators that have just taken over.

use std::time::Duration;

use types::customer::{Quota, Unit};

/// Seconds of the rate, and tokens (none if requests are counted), that may be stored in addition to
/// the burst. The tokens are within
/// the slack of a quota's bound, of which a request beyond the balance uses the rest.
const STORED_SECONDS: f64 = 0.3;
const STORED_TOKENS: f64 = 3_000.0;

/// Seconds of a host's admitted rate that it may hold in advance.
pub(super) const EXTRA_SECONDS: f64 = 0.05;

/// Seconds of the rate that a coordinator may store for hosts that reported to another one
/// recently.
const UNCONFIRMED_SECONDS: f64 = 0.25;

/// Interval between two transfers, for each host that shares the quota; clamped to [`MIN_INTERVAL`]
/// and [`MAX_INTERVAL`].
const INTERVAL_PER_HOST: f64 = 0.008;
const MIN_INTERVAL: f64 = 0.1;
const MAX_INTERVAL: f64 = 3.0;

/// Fraction of the storable tokens that may gather at hosts in a transfer interval, and fraction
/// that hosts may hold in all.
const INTERVAL_FRACTION: f64 = 0.25;
const HOSTS_FRACTION: f64 = 0.6;

/// Time in which a lost transfer is repeated, in seconds; hosts hold what they refill meanwhile.
const REPEAT_SECONDS: f64 = 0.15;

/// Time for which a coordinator counts a host after its report: this at least, and three transfer
/// intervals.
const MIN_WINDOW: Duration = Duration::from_secs(2);
const WINDOW_INTERVALS: u32 = 3;

/// Bounds and intervals of a quota among a number of hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Sizes {
    /// Tokens a second, over all hosts.
    pub(super) rate: f64,
    /// Number of hosts that share the quota.
    pub(super) hosts: f64,
    /// Interval between two transfers.
    pub(super) interval: Duration,
    /// Time for which a coordinator counts a host after its report.
    pub(super) window: Duration,
    /// Most tokens that a host holds, with those transferred but not acknowledged.
    pub(super) host_cap: f64,
    /// Most tokens that a coordinator holds for all hosts.
    pub(super) coordinator_cap: f64,
    /// Most tokens that a coordinator holds while all hosts have reported to another one recently.
    pub(super) unconfirmed_cap: f64,
}

impl Sizes {
    pub(super) fn new(quota: &Quota, hosts: u32) -> Sizes {
        let rate = quota.rate.as_f64().max(f64::MIN_POSITIVE);
        let hosts = f64::from(hosts.max(1));
        let tokens = match quota.unit {
            Unit::Tokens { .. } => STORED_TOKENS,
            Unit::Requests => 0.0,
        };
        let stored = (quota.burst + tokens) / rate + STORED_SECONDS;
        let most = (INTERVAL_FRACTION * stored).clamp(MIN_INTERVAL, MAX_INTERVAL);
        let interval = (INTERVAL_PER_HOST * hosts).clamp(MIN_INTERVAL, most);
        let held = (interval + REPEAT_SECONDS).min(HOSTS_FRACTION * stored);
        let interval = Duration::from_secs_f64(interval);
        Sizes {
            rate,
            hosts,
            interval,
            window: MIN_WINDOW.max(interval * WINDOW_INTERVALS),
            host_cap: held * rate / hosts,
            coordinator_cap: (stored - held) * rate,
            unconfirmed_cap: UNCONFIRMED_SECONDS * rate,
        }
    }
}
