//! At most one run of each non-idempotent request, over all hosts.
//!
//! A keyed request is claimed before it is dispatched: its key is written into the object of its
//! range, `once/<range>`, by a conditional write. That write alone decides; who holds a range, who
//! is alive and what time it is only save work. Claims that wait for the same object go into one
//! write.
//!
//! A claim is never taken back but by the host that made it, before it dispatched. So a key whose
//! claimant is gone is answered "may have run", though it may have died before the dispatch: from
//! the outside the two cannot be told apart, and the other answer could run a request twice.
//!
//! A request without a key cannot be recognised when it is sent again. It needs no claim: its host
//! dispatches it at most once and never retries it after a byte of it may have left.
//!
//! Time. Entries are kept for [`Settings::kept`]. A key that carries its time (a version 7 UUID) is
//! accepted only while its time is near, see [`Settings::check`], so that it is refused before its
//! entry can have been forgotten, whatever the caller's clock says. A key without a time is
//! recognised for that long and no longer.
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

/// Wall clock, in milliseconds since 1970; hosts agree on it within [`Settings::clock_error`].
pub type UnixMillis = u64;

/// Number of a range of keys.
pub type Number = u16;

/// Both clocks, read wall first, so that a pause between the two only makes a grant end sooner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Now {
    /// Wall clock.
    pub wall: UnixMillis,
    /// Time since the process's origin.
    pub moment: Moment,
}

/// What a host does with claims while the object API is down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// Refuses them as not run.
    #[default]
    Refuse,
    /// Grants keys that carry a recent time from memory, while it holds the range.
    ///
    /// The hold was written before the outage, and a successor must write over it. It then records
    /// a [`Gap`]: unknown keys whose time lies in it are answered "may have run", so whatever the
    /// former holder granted, or still grants while it is cut off or paused, never runs again.
    /// Only useful where other hosts pass claims to the holder instead of writing themselves.
    Hold,
}

/// Times and bounds; the same on every host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// How many ranges the keys are split into; fixed for the life of a deployment.
    pub ranges: Number,
    /// How long after its time a key is accepted; milliseconds in JSON.
    #[serde(rename = "accept_ms", with = "types::time::millis")]
    pub accept: Duration,
    /// How far ahead of a host's clock a key's time may lie; milliseconds in JSON.
    #[serde(rename = "ahead_ms", with = "types::time::millis")]
    pub ahead: Duration,
    /// Most that two hosts' wall clocks differ; milliseconds in JSON.
    #[serde(rename = "clock_error_ms", with = "types::time::millis")]
    pub clock_error: Duration,
    /// How long a claim waits for the object API; milliseconds in JSON.
    #[serde(rename = "patience_ms", with = "types::time::millis")]
    pub claim_timeout: Duration,
    /// How long after it was asked for a grant may be used; milliseconds in JSON.
    #[serde(rename = "grant_ms", with = "types::time::millis")]
    pub grant: Duration,
    /// Least time between two writes of a range's object; milliseconds in JSON.
    #[serde(rename = "window_ms", with = "types::time::millis")]
    pub window: Duration,
    /// How long an outcome may wait for a claim to share its write; milliseconds in JSON.
    #[serde(rename = "settle_ms", with = "types::time::millis")]
    pub settle: Duration,
    /// Largest object of a range, in bytes.
    pub bytes: usize,
    /// What to do in an outage.
    pub outage: Outage,
    /// How long after its last write a holder grants from memory; milliseconds in JSON.
    #[serde(rename = "hold_ms", with = "types::time::millis")]
    pub hold: Duration,
    /// How old a key's time may be for a grant from memory; milliseconds in JSON.
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
    /// How long an entry is kept.
    ///
    /// A key is first accepted at `t` with a time of at most `t + ahead`, and again no later than
    /// `accept` after that time, each by a clock within `clock_error` of the other. A grant is used
    /// no later than `grant` after it was asked for.
    pub fn kept(&self) -> Duration {
        self.accept + self.ahead + 2 * self.clock_error + self.grant
    }

    /// Refuses a key by its time, if it carries one.
    pub fn check(&self, wall: UnixMillis, stamp: Option<UnixMillis>) -> Result<(), Refusal> {
        match stamp {
            Some(stamp) if wall + millis(self.ahead) < stamp => Err(Refusal::Ahead),
            Some(stamp) if stamp + millis(self.accept) < wall => Err(Refusal::Old),
            Some(_) | None => Ok(()),
        }
    }

    /// Whether a key's time allows a grant from memory.
    fn is_recent(&self, wall: UnixMillis, stamp: UnixMillis) -> bool {
        stamp <= wall + millis(self.ahead) && wall <= stamp + millis(self.recent)
    }

    /// Times of keys that a former holder may have granted from memory: its last write was at
    /// `wrote`, it is followed at `wall`, and it is known to be gone or not.
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
    /// It ended for good: a later run was seen, or it left the list for longer than the list lags.
    Gone,
    /// It may run, be paused or be cut off.
    Unknown,
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
