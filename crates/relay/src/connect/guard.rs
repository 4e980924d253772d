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

/// Which writes of a request need the permission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    EachWrite,
    /// Writes up to the first one that sends a byte. The server may run the request after that, so
    /// that a refusal would only break it off.
    FirstByte,
}

/// Permission to write a request. Once it has been refused, it stays refused.
pub(crate) struct WriteGuard {
    is_permitted: Box<dyn Fn() -> bool + Send + Sync>,
    scope: Scope,
    has_written: AtomicBool,
    has_refused: AtomicBool,
}

impl WriteGuard {
    /// Creates a guard that calls `is_permitted` before each write.
    pub(crate) fn new(is_permitted: impl Fn() -> bool + Send + Sync + 'static) -> WriteGuard {
        WriteGuard {
            is_permitted: Box::new(is_permitted),
            scope: Scope::EachWrite,
            has_written: AtomicBool::new(false),
            has_refused: AtomicBool::new(false),
        }
    }

    /// Creates a guard that calls `is_permitted` before each write until a byte was sent.
    pub(crate) fn before_first_byte(
        is_permitted: impl Fn() -> bool + Send + Sync + 'static,
    ) -> WriteGuard {
        WriteGuard { scope: Scope::FirstByte, ..WriteGuard::new(is_permitted) }
    }

    /// Returns whether a write was refused before a byte was sent.
    pub(crate) fn is_unsent(&self) -> bool {
        self.has_refused.load(Ordering::Acquire) && !self.has_written.load(Ordering::Acquire)
    }

    /// Checks the permission for a write that follows at once.
    ///
    /// # Errors
    ///
    /// The write is not permitted, or an earlier one was not.
    pub(super) fn check(&self) -> io::Result<()> {
        let is_over = self.scope == Scope::FirstByte && self.has_written.load(Ordering::Acquire);
        if is_over || (!self.has_refused.load(Ordering::Acquire) && (self.is_permitted)()) {
            return Ok(());
        }
        self.has_refused.store(true, Ordering::Release);
        Err(io::Error::new(io::ErrorKind::PermissionDenied, "the request may no longer be sent"))
    }

    /// Records that a write has sent bytes.
    pub(super) fn written(&self) {
        self.has_written.store(true, Ordering::Release);
    }
}

impl fmt::Debug for WriteGuard {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("WriteGuard")
            .field("scope", &self.scope)
            .field("has_written", &self.has_written)
            .field("has_refused", &self.has_refused)
            .finish_non_exhaustive()
    }
}
