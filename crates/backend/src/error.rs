//! What can go wrong between a host and a backend server.

use std::net::SocketAddr;

/// Failure of a call to a backend server.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection; no byte of the request can have left.
    #[error("backend server at {address} can't be reached: {cause}")]
    Unreachable {
        /// Where the server listens.
        address: SocketAddr,
        /// Why.
        cause: String,
    },
    /// The exchange broke after the request may have left.
    #[error("backend server at {address} broke the exchange: {cause}")]
    Broken {
        /// Where the server listens.
        address: SocketAddr,
        /// Why.
        cause: String,
    },
    /// The answer can't be understood.
    #[error("backend server at {address} answered nonsense: {cause}")]
    Malformed {
        /// Where the server listens.
        address: SocketAddr,
        /// Why.
        cause: String,
    },
    /// The server answered with an error status.
    #[error("backend server at {address} answered {status}")]
    Status {
        /// Where the server listens.
        address: SocketAddr,
        /// The status.
        status: http::StatusCode,
        /// Start of the body.
        detail: String,
    },
}

impl Error {
    /// Whether no byte of the request can have reached the server.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Error::Unreachable { .. })
    }
}
