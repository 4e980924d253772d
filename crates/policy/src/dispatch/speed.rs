//! How long work takes at a server now, relative to the median of its service.
//!
//! The estimate is the product of two factors. The long-term factor is learnt from response times
//! over all hosts and hardly changes. The momentary factor is what the server states in its
//! responses; it changes many times a second and fades to 1 accordingly.
//!
//! Response times are divided by the estimate before they count towards the statistics of a model,
//! towards the [`Pace`](super::pace::Pace) of the server, and, by the momentary factor only, towards
//! the long-term factor. So the pace holds what the estimate doesn't explain: a fault, or a change
//! that is too recent for the long-term factor.
//!
//! A host without data, or without the sums of other hosts, has factors of 1 until its own samples
//! differ by server. A server whose statements don't explain its response times is not believed. A
//! wrong sum changes an estimate only within [`MIN_FACTOR`] and [`MAX_FACTOR`], and the pace corrects
//! the rest.

mod long_term;
mod momentary;
mod share;

use types::prelude::*;

use super::request::Ticket;

pub use self::long_term::Sum;
pub(super) use self::long_term::{Samples, Spread};
use self::momentary::Momentary;

/// Lower bound of each factor and of their product.
pub const MIN_FACTOR: f64 = 0.25;
/// Upper bound, see [`MIN_FACTOR`].
pub const MAX_FACTOR: f64 = 8.0;

/// Least count of samples that show how fast a server usually is.
const USUAL_COUNT: f64 = 3.0;

/// Logarithm of the time relative to the median from which on a server is slow: one and a half times.
const SLOW: f64 = 0.4;

/// Estimated speed of one server.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    momentary: Momentary,
    /// Response times of this host's requests.
    own: Samples,
    /// Sum over the response times of other hosts' requests.
    others: Sum,
    /// The sum that other hosts know of this one.
    sent: Sum,
    sent_at: Option<Moment>,
    long_term: f64,
    /// The request in flight whose response time will be a sample.
    probe: Option<Ticket>,
}

impl Default for Speed {
    fn default() -> Speed {
        let (momentary, own, others, sent, sent_at) = Default::default();
        Speed { momentary, own, others, sent, sent_at, long_term: 1.0, probe: None }
    }
}

impl Speed {
    /// Applies the momentary factor that the server states.
    pub fn report(&mut self, slowdown: f64, now: Moment) {
        self.momentary.report(slowdown, now);
    }

    /// The momentary factor; 2 is twice as slow as usual.
    pub fn momentary(&self, now: Moment) -> f64 {
        self.momentary.factor(now)
    }

    /// The long-term factor; 2 is twice as slow as the median.
    pub fn long_term(&self) -> f64 {
        self.long_term
    }

    /// Time that work takes now, relative to the median; 2 is twice as slow.
    pub fn scale(&self, now: Moment) -> f64 {
        (self.long_term * self.momentary(now)).clamp(MIN_FACTOR, MAX_FACTOR)
    }

    /// Records that a request is sent. One request at a time is a sample: those in flight together
    /// are slow for the same reasons.
    pub fn start(&mut self, ticket: Ticket) {
        self.probe.get_or_insert(ticket);
    }

    /// Records that a request has ended.
    pub fn end(&mut self, ticket: Ticket) {
        self.probe = self.probe.filter(|probe| *probe != ticket);
    }

    /// Records that the response to a request took `ratio` times what is expected at a median
    /// server, while the momentary factor was `momentary`.
    pub fn record(&mut self, ticket: Ticket, ratio: f64, momentary: f64, now: Moment) {
        self.momentary.explain(ratio / self.long_term, now);
        if self.probe == Some(ticket) {
            self.probe = None;
            self.own.record((ratio / momentary).max(f64::MIN_POSITIVE).ln(), now);
        }
    }

    /// Logarithm of what the server's usual response times exceed the expected ones by; `None` if
    /// it isn't known to be slow.
    pub fn usual_excess(&self, spread: &Spread) -> Option<f64> {
        let joint = self.joint();
        let excess = spread.excess(joint);
        (USUAL_COUNT <= joint.count && SLOW < excess).then(|| excess - self.long_term.ln())
    }

    /// Replaces the sum over other hosts' samples.
    pub fn set_others(&mut self, others: Sum) {
        self.others = others;
    }

    /// The sum over this host's samples, as it was last sent to other hosts.
    pub(super) fn sent(&self) -> Sum {
        self.sent
    }

    /// Whether the sum has changed notably since it was sent.
    pub(super) fn is_unsent(&self) -> bool {
        share::is_changed(self.sent, self.own.sum())
    }

    /// Number of this host's samples.
    pub(super) fn own_count(&self) -> f64 {
        self.own.sum().count
    }

    /// When the sum was last sent.
    pub(super) fn sent_at(&self) -> Option<Moment> {
        self.sent_at
    }

    /// Records that the sum is sent now.
    pub(super) fn send(&mut self, now: Moment) {
        (self.sent, self.sent_at) = (self.own.sum(), Some(now));
    }

    /// The samples of this host, for the variance among them.
    pub(super) fn own(&self) -> &Samples {
        &self.own
    }

    /// Sum over all hosts' samples.
    pub(super) fn joint(&self) -> Sum {
        self.own.sum().plus(self.others)
    }

    /// Recomputes the long-term factor, and returns the logarithm of its change.
    pub(super) fn update(&mut self, spread: &Spread) -> f64 {
        let before = self.long_term;
        self.long_term = spread.factor(self.joint());
        (self.long_term / before).ln()
    }
}
