//! Figures of the quotas on one host, for metrics and the log.

use types::customer;

/// Totals since this process started.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Requests that were admitted.
    pub granted: u64,
    /// Requests that were denied because the quota was used up.
    pub denied: u64,
    /// Requests that were refused because no coordinator answered.
    pub unanswered: u64,
    /// Tokens that this host transferred to other coordinators.
    pub transferred: f64,
}

/// State of the quotas at a moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// Totals since this process started.
    pub counts: Counts,
    /// Tokens in the balances of this host as the coordinator.
    pub balance: f64,
    /// Customers whose requests this host denied within the last seconds.
    pub over: usize,
    /// Tokens a second that this host admits, by customer; the largest first.
    pub customers: Vec<(customer::Id, f64)>,
}
