//! Checks before each write to a socket whether the bytes may still be sent.
//!
//! A request is handed to the task that drives its connection, and the process may be frozen before
//! that task runs. So a permission that expires is checked in the write itself, after which only
//! the system call follows: no wait, no lock and no other task. A process that is frozen between
//! the two still sends the bytes once it continues; no check in the process can prevent that.

use std::{
    fmt, io,
    sync::atomic::{AtomicBool, Ordering},
};

/// Permission to write a request. Once it has been refused, it stays refused.
pub(crate) struct WriteGuard {
    is_permitted: Box<dyn Fn() -> bool + Send + Sync>,
    has_permitted: AtomicBool,
    has_refused: AtomicBool,
}

impl WriteGuard {
    /// Creates a guard that calls `is_permitted` before each write.
    pub(crate) fn new(is_permitted: impl Fn() -> bool + Send + Sync + 'static) -> WriteGuard {
        WriteGuard {
            is_permitted: Box::new(is_permitted),
            has_permitted: AtomicBool::new(false),
            has_refused: AtomicBool::new(false),
        }
    }

    /// Returns whether the first write was refused, so that no byte was sent.
    pub(crate) fn is_unsent(&self) -> bool {
        self.has_refused.load(Ordering::Acquire) && !self.has_permitted.load(Ordering::Acquire)
    }

    /// Checks the permission for a write that follows at once.
    ///
    /// # Errors
    ///
    /// The write is not permitted, or an earlier one was not.
    pub(super) fn check(&self) -> io::Result<()> {
        if !self.has_refused.load(Ordering::Acquire) && (self.is_permitted)() {
            self.has_permitted.store(true, Ordering::Release);
            return Ok(());
        }
        self.has_refused.store(true, Ordering::Release);
        Err(io::Error::new(io::ErrorKind::PermissionDenied, "the request may no longer be sent"))
    }
}

impl fmt::Debug for WriteGuard {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("WriteGuard")
            .field("has_permitted", &self.has_permitted)
            .field("has_refused", &self.has_refused)
            .finish_non_exhaustive()
    }
}
