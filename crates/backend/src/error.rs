//! Errors of calls to backend servers.

use std::net::SocketAddr;

/// Failure of a call to a backend server.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed; no byte of the request can have been sent.
    #[error("backend server at {address} can't be reached: {cause}")]
    Unreachable {
        /// Address of the server.
        address: SocketAddr,
        /// Error and its sources, as text.
        cause: String,
    },
    /// The exchange failed after the request may have been sent.
    #[error("exchange with backend server at {address} failed: {cause}")]
    Broken {
        /// Address of the server.
        address: SocketAddr,
        /// Error and its sources, as text.
        cause: String,
    },
    /// The request can't be built or the response can't be parsed.
    #[error("malformed exchange with backend server at {address}: {cause}")]
    Malformed {
        /// Address of the server.
        address: SocketAddr,
        /// Error and its sources, as text.
        cause: String,
    },
    /// The server answered with an error status.
    #[error("backend server at {address} answered {status}")]
    Status {
        /// Address of the server.
        address: SocketAddr,
        /// Status of the response.
        status: http::StatusCode,
        /// Start of the response's body, 300 bytes at most.
        detail: String,
    },
}

impl Error {
    /// Whether no byte of the request can have reached the server.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Error::Unreachable { .. })
    }
}
