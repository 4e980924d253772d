//! Observability of a host: its log, its metrics and its events.
//!
//! The log explains failures: as messages, and as the [`story`] of each request with the state that
//! its decisions were based on. The metrics give rates and quantities. The events give the order of
//! what happened over all hosts, for one request, one order or one server. None of them may slow
//! down or block a request, so all three are bounded in memory, and what is dropped is counted.

pub mod clock;
pub mod event;
pub mod log;
pub mod merge;
pub mod metrics;
pub mod page;
pub mod ring;
pub mod story;

pub use crate::{clock::Clock, event::Event, metrics::Metrics, ring::Ring};
