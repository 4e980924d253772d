//! The hybrid logical clock that stamps events.
//!
//! Hosts' clocks may be seconds apart, so wall time alone can't order their events. A hybrid
//! logical clock stays close to wall time, is strictly increasing, and advances past every stamp
//! that it observes: each message between hosts carries its sender's stamp, the receiver calls
//! [`Clock::observe`], and all later stamps of the receiver are greater than the sender's. One
//! host with a fast clock therefore advances the stamps of all others ahead of wall time, so stamps
//! more than [`MAX_LEAD`] ahead are rejected.
//!
//! The implementation is that of `uhlc`. Its clock identifiers are not used, since each record
//! names its host.

use std::{
    fmt,
    sync::Arc,
    time::{Duration, SystemTime},
};

use serde::{Deserialize, Serialize};
use uhlc::{HLC, HLCBuilder, NTP64, Timestamp};

/// Maximum lead of an observed stamp over wall time; a stamp further ahead is rejected.
pub const MAX_LEAD: Duration = Duration::from_secs(24 * 3600);

/// A timestamp of a hybrid logical clock: seconds since 1970 in the upper 32 bits, and fractions of
/// a second with a counter in the lower 32 bits.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Stamp(pub u64);

impl Stamp {
    /// Returns the stamp of a wall time; times before 1970 give the lowest stamp.
    pub fn from_wall(time: SystemTime) -> Stamp {
        let since = time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Stamp(NTP64::from(since).as_u64())
    }

    /// Parses a stamp from RFC 3339 text; `None` if the text has another format.
    pub fn parse(text: &str) -> Option<Stamp> {
        NTP64::parse_rfc3339(text).ok().map(|time| Stamp(time.as_u64()))
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&NTP64(self.0).to_string_rfc3339_lossy())
    }
}

/// A hybrid logical clock; clones share its state.
#[derive(Clone)]
pub struct Clock {
    hlc: Arc<HLC>,
}

impl Clock {
    /// Returns a clock based on the system's wall time.
    pub fn system() -> Clock {
        Clock::with_wall_time(uhlc::system_time_clock)
    }

    /// Returns a clock based on another source of wall time.
    pub fn with_wall_time(wall: fn() -> NTP64) -> Clock {
        let hlc = HLCBuilder::new().with_clock(wall).with_max_delta(MAX_LEAD).build();
        Clock { hlc: Arc::new(hlc) }
    }

    /// Returns a stamp greater than all that this clock has issued or observed.
    pub fn stamp(&self) -> Stamp {
        Stamp(self.hlc.new_timestamp().get_time().as_u64())
    }

    /// Advances the clock past a stamp received with a message: all later stamps are greater.
    ///
    /// # Errors
    ///
    /// The stamp is more than [`MAX_LEAD`] ahead of wall time; the clock is not changed.
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

/// Error for a stamp that is too far ahead of wall time to be observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("stamp {stamp} is more than {MAX_LEAD:?} ahead of this host's wall time")]
pub struct Lead {
    /// The rejected stamp.
    pub stamp: Stamp,
}
