//! Bounds how often the log says the same.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use types::prelude::*;

/// Least time between two lines.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// When a line was last written.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter(Mutex<Option<Moment>>);

impl LogLimiter {
    /// Whether a line is due; it counts as written then.
    pub(crate) fn is_due(&self, now: Moment) -> bool {
        let mut last = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_due = last.is_none_or(|last| last + LOG_INTERVAL <= now);
        if is_due {
            *last = Some(now);
        }
        is_due
    }
}
