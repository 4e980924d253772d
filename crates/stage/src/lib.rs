//! The program of a host: filters stacked in order, three listeners, and background tasks.
//!
//! The crate makes no decisions of its own; `policy` does. The program is also a library, so that
//! tests and examples can run hosts within their own process.

pub mod answer;
pub mod callers;
pub mod claims;
pub mod context;
mod counted;
pub mod declared;
pub mod duties;
pub mod filters;
pub mod flags;
pub mod fleet;
pub mod guard;
pub mod idle;
mod kv;
mod listener;
pub mod moves;
pub mod operators;
pub mod peers;
pub mod problem;
pub mod routed;
mod serve;
pub mod traffic;

pub use crate::serve::{Error, Running, start};
