//! Limits how often the same message is logged.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use types::prelude::*;

/// Minimum time between two messages.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Time of the last message.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter(Mutex<Option<Moment>>);

impl LogLimiter {
    /// Returns whether a message is due, and if so counts it as written.
    pub(crate) fn is_due(&self, now: Moment) -> bool {
        let mut last = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_due = last.is_none_or(|last| last + LOG_INTERVAL <= now);
        if is_due {
            *last = Some(now);
        }
        is_due
    }
}
