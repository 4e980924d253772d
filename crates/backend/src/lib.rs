//! Backend servers as a host meets them.
//!
//! One client for engines and plain servers. What matters to the decisions is kept apart from the
//! transport: whether a failure came before any byte of the request can have left
//! ([`Error::is_unsent`]), and where in its stream each token stands ([`frame::Frame`]).

mod client;
mod error;
pub mod frame;
pub mod reports;
pub mod wire;

pub use crate::{
    client::{Body, BodyError, Client, Streamed, empty, whole},
    error::Error,
};
