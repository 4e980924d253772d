//! At most one run of each non-idempotent request, over all hosts.
//!
//! A request with an idempotency key is claimed before it is dispatched: its key is written into
//! the object of its range, `once/<range>`, by a conditional write. That write alone decides;
//! knowledge of who holds a range, which hosts are alive and what time it is only saves work.
//! Claims that wait for the same object share one write.
//!
//! A claim is withdrawn only by the host that made it, and only before that host dispatched the
//! request. So a key whose claimant is gone is answered "may have run", although the claimant may
//! have died before the dispatch: from outside the two cases can't be told apart, and the other
//! answer could run a request twice.
//!
//! A request without a key can't be recognised when it is sent again, so it needs no claim: its
//! host dispatches it at most once and never retries it after a byte of it may have left.
//!
//! Retention: entries are kept for [`Settings::retention`]. A key that carries a time (a version 7
//! UUID) is accepted only while that time is near, see [`Settings::check`], so that the key is
//! refused before its entry can have been forgotten, whatever the caller's clock says. A key
//! without a time is recognised during the retention and no longer.
//!
//! Outages of the object API: see [`Outage`].

pub mod claim;
pub mod document;
pub mod key;
pub mod range;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use types::time::Moment;

pub use self::{
    claim::{Answer, Change, Claim, End, Refusal, Verdict},
    document::{Body, Document, Entry, Gap, Hold, HostRun, Outcome, State},
    key::{Key, TimedKey},
    range::{Call, Range, Read, Step, Written},
};

/// Wall clock in milliseconds since 1970; the clocks of hosts agree within
/// [`Settings::clock_error`].
pub type UnixMillis = u64;

/// Number of a range of keys.
pub type Number = u16;

/// Both clocks of a host. The wall clock is read first, so that a pause between the two readings
/// only makes a grant end sooner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Now {
    /// Wall clock.
    pub wall: UnixMillis,
    /// Monotonic time since the process's origin.
    pub moment: Moment,
}

/// Handling of claims while the object API is down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// Refuses claims as not run.
    #[default]
    Refuse,
    /// Grants keys that carry a recent time from memory, while the host holds the range.
    ///
    /// The hold was written before the outage, and a successor must overwrite it. The successor
    /// then records a [`Gap`]: unknown keys whose time lies in the gap are answered "may have run",
    /// so whatever the former holder granted, or still grants while it is cut off or paused, never
    /// runs again. Only useful where other hosts pass claims on to the holder instead of writing
    /// themselves.
    Hold,
}

/// Times and bounds; must be the same on every host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Number of ranges that the keys are split into; fixed for the life of a deployment.
    pub ranges: Number,
    /// Time for which a key is accepted after the time that it carries; milliseconds in JSON.
    #[serde(rename = "accept_ms", with = "types::time::millis")]
    pub accept: Duration,
    /// Time by which a key's time may lie ahead of a host's clock; milliseconds in JSON.
    #[serde(rename = "ahead_ms", with = "types::time::millis")]
    pub ahead: Duration,
    /// Largest difference between the wall clocks of two hosts; milliseconds in JSON.
    #[serde(rename = "clock_error_ms", with = "types::time::millis")]
    pub clock_error: Duration,
    /// Time for which a claim waits for the object API; milliseconds in JSON.
    #[serde(rename = "patience_ms", with = "types::time::millis")]
    pub claim_timeout: Duration,
    /// Time for which a grant may be used after the claim was made; milliseconds in JSON.
    #[serde(rename = "grant_ms", with = "types::time::millis")]
    pub grant: Duration,
    /// Shortest interval between two writes of a range's object; milliseconds in JSON.
    #[serde(rename = "window_ms", with = "types::time::millis")]
    pub window: Duration,
    /// Time for which an outcome may wait for a claim to share its write; milliseconds in JSON.
    #[serde(rename = "settle_ms", with = "types::time::millis")]
    pub settle: Duration,
    /// Largest size of a range's object, in bytes of JSON.
    pub bytes: usize,
    /// Handling of claims during an outage of the object API.
    pub outage: Outage,
    /// Time after its last write for which a holder grants from memory; milliseconds in JSON.
    #[serde(rename = "hold_ms", with = "types::time::millis")]
    pub hold: Duration,
    /// Largest age of a key's time for a grant from memory; milliseconds in JSON.
    #[serde(rename = "recent_ms", with = "types::time::millis")]
    pub recent: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            ranges: 256,
            accept: Duration::from_secs(3600),
            ahead: Duration::from_secs(5),
            clock_error: Duration::from_secs(10),
            claim_timeout: Duration::from_secs(2),
            grant: Duration::from_secs(30),
            window: Duration::from_millis(50),
            settle: Duration::from_millis(500),
            bytes: 900_000,
            outage: Outage::Refuse,
            hold: Duration::from_secs(900),
            recent: Duration::from_secs(60),
        }
    }
}

impl Settings {
    /// Time for which an entry is kept.
    ///
    /// A key is first accepted at `t` with a time of at most `t + ahead`, and again no later than
    /// `accept` after that time, each by a clock within `clock_error` of the other. A grant is used
    /// no later than `grant` after the claim was made.
    pub fn retention(&self) -> Duration {
        self.accept + self.ahead + 2 * self.clock_error + self.grant
    }

    /// Refuses a key by the time that it carries, if any.
    pub fn check(&self, wall: UnixMillis, stamp: Option<UnixMillis>) -> Result<(), Refusal> {
        match stamp {
            Some(stamp) if wall + millis(self.ahead) < stamp => Err(Refusal::Ahead),
            Some(stamp) if stamp + millis(self.accept) < wall => Err(Refusal::Old),
            Some(_) | None => Ok(()),
        }
    }

    /// Whether a key's time is recent enough for a grant from memory.
    fn is_recent(&self, wall: UnixMillis, stamp: UnixMillis) -> bool {
        stamp <= wall + millis(self.ahead) && wall <= stamp + millis(self.recent)
    }

    /// Returns the times of keys that a former holder may have granted from memory. Its last write
    /// was at `wrote`, and its successor writes at `wall`.
    fn gap(&self, wrote: UnixMillis, wall: UnixMillis, holder: Presence) -> Gap {
        let last_grant = match holder {
            Presence::Gone => wall,
            Presence::Unknown => wall + millis(self.hold),
        };
        Gap {
            from: wrote.saturating_sub(millis(self.recent + self.clock_error)),
            until: last_grant + millis(self.ahead + self.clock_error),
        }
    }
}

/// What is known of another run of a host's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Presence {
    /// The run ended for good: a later run was seen, or the host has been missing from the list for
    /// longer than the list lags.
    Gone,
    /// The run may go on, be paused or be cut off.
    Unknown,
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
