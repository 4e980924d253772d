//! The hybrid logical clock that stamps events.
//!
//! Hosts' clocks may be seconds apart, so wall time alone can't order their events. A hybrid
//! logical clock stays near wall time, always moves forward, and passes every stamp that it has
//! seen: each message between hosts carries its sender's stamp, the receiver calls
//! [`Clock::observe`], and whatever the receiver does next is stamped later than what the sender did
//! before. The price is that one host with a fast clock drags the stamps of all others ahead of
//! wall time; a host more than [`LARGEST_LEAD`] ahead is therefore not followed.
//!
//! The clock itself is `uhlc`'s. Its identifiers are not used: a record names its host.

use std::{
    fmt,
    sync::Arc,
    time::{Duration, SystemTime},
};

use serde::{Deserialize, Serialize};
use uhlc::{HLC, HLCBuilder, NTP64, Timestamp};

/// Furthest that a stamp may lie ahead of this host's wall time and still be followed.
pub const LARGEST_LEAD: Duration = Duration::from_secs(24 * 3600);

/// A moment of a hybrid logical clock: seconds since 1970 in the upper 32 bits, parts of a second
/// and a counter in the lower.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Stamp(pub u64);

impl Stamp {
    /// The stamp of a wall time; times before 1970 give the first stamp.
    pub fn from_wall(time: SystemTime) -> Stamp {
        let since = time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Stamp(NTP64::from(since).as_u64())
    }

    /// Reads a stamp from RFC 3339 text, or none if the text is something else.
    pub fn parse(text: &str) -> Option<Stamp> {
        NTP64::parse_rfc3339(text).ok().map(|time| Stamp(time.as_u64()))
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&NTP64(self.0).to_string_rfc3339_lossy())
    }
}

/// A hybrid logical clock, shared by everything in one process.
#[derive(Clone)]
pub struct Clock {
    hlc: Arc<HLC>,
}

impl Clock {
    /// A clock over the system's wall time.
    pub fn system() -> Clock {
        Clock::with_wall_time(uhlc::system_time_clock)
    }

    /// A clock over another wall time.
    pub fn with_wall_time(wall: fn() -> NTP64) -> Clock {
        let hlc = HLCBuilder::new().with_clock(wall).with_max_delta(LARGEST_LEAD).build();
        Clock { hlc: Arc::new(hlc) }
    }

    /// A stamp later than all that this clock gave or saw before.
    pub fn stamp(&self) -> Stamp {
        Stamp(self.hlc.new_timestamp().get_time().as_u64())
    }

    /// Takes note of a stamp that came with a message, so that later stamps here are greater.
    ///
    /// # Errors
    ///
    /// The stamp lies more than [`LARGEST_LEAD`] ahead of wall time; the clock is left as it was.
    pub fn observe(&self, stamp: Stamp) -> Result<(), Lead> {
        let remote = Timestamp::new(NTP64(stamp.0), *self.hlc.get_id());
        self.hlc.update_with_timestamp(&remote).map_err(|_| Lead { stamp })
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::system()
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock").finish_non_exhaustive()
    }
}

/// A stamp too far ahead of wall time to follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("stamp {stamp} lies more than {LARGEST_LEAD:?} ahead of this host's wall time")]
pub struct Lead {
    /// The stamp.
    pub stamp: Stamp,
}
