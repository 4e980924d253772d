//! Client of backend servers, for engines and plain servers alike.
//!
//! Errors and frames carry what decisions about retries depend on, independently of the transport:
//! whether a failure occurred before any byte of the request can have been sent
//! ([`Error::is_unsent`]), and the position of each token in its stream ([`frame::Frame`]).

mod client;
mod error;
pub mod frame;
pub mod reports;
pub mod wire;

pub use crate::{
    client::{Body, BodyError, Client, StreamingResponse, empty_body, full_body},
    error::Error,
};
