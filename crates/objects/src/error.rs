//! Errors of calls to the platform.

use std::time::Duration;

/// Failure of a call to the platform.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The object's version is not the expected one, or the object to be created exists already.
    #[error("object {key}: version conflict")]
    Conflict {
        /// Key of the object.
        key: String,
    },
    /// The platform no longer stores the changes since the revision from which the watch was to
    /// start; the objects must be listed again.
    #[error("watch from revision {from}: the history is no longer stored")]
    Compacted {
        /// Revision from which the watch was to start.
        from: u64,
    },
    /// The value exceeds the platform's size limit.
    #[error("object {key}: value of {size} bytes exceeds the size limit")]
    TooLarge {
        /// Key of the object.
        key: String,
        /// Size of the value, in bytes.
        size: usize,
    },
    /// The platform's rate limit is exceeded; nothing was done.
    #[error("platform's rate limit is exceeded, retry after {retry_after:?}")]
    Limited {
        /// Time to wait before a retry, as stated by the platform; 1 s if it states none.
        retry_after: Duration,
    },
    /// The connection failed or the platform answered with status 503; nothing was done.
    #[error("platform at {address} is unavailable: {cause}")]
    Unavailable {
        /// Address of the platform.
        address: String,
        /// Cause, as text.
        cause: String,
    },
    /// The call may have been sent and no complete response arrived; a write may have taken effect.
    #[error("no response from platform at {address}: {cause}")]
    Unanswered {
        /// Address of the platform.
        address: String,
        /// Cause, as text.
        cause: String,
    },
    /// The request can't be built, or the response can't be parsed or has an unexpected status.
    #[error("malformed exchange with platform at {address}: {cause}")]
    Malformed {
        /// Address of the platform.
        address: String,
        /// Cause, as text.
        cause: String,
    },
}

impl Error {
    /// Whether a write that failed with this error may have taken effect.
    pub fn is_ambiguous(&self) -> bool {
        matches!(self, Error::Unanswered { .. } | Error::Malformed { .. })
    }

    /// Whether the write failed because the object has another version or exists already.
    pub fn is_conflict(&self) -> bool {
        matches!(self, Error::Conflict { .. })
    }
}
