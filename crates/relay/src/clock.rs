//! The process's clock.
//!
//! Time is counted from the start of the process by a clock that includes the time for which the
//! machine was suspended, so that leases and deadlines that expired meanwhile count as expired.
//! Nothing depends on the time of day.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use types::prelude::*;

/// Clock that counts from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    read: fn() -> Duration,
    origin: Duration,
}

impl Clock {
    /// Starts a clock that reads the boot time.
    pub fn start() -> Clock {
        Clock::from_fn(boot_time)
    }

    /// Starts a clock that reads the time from `read`, whose origin may be any.
    pub fn from_fn(read: fn() -> Duration) -> Clock {
        Clock { read, origin: read() }
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> Moment {
        (self.read)().saturating_sub(self.origin)
    }
}

/// Returns the time since the machine was booted, suspensions included.
pub fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}
