//! The path of a routed request: from a caller, over one of the service's servers, and back.
//!
//! [`edge`] names what callers, servers and the store speak; an adapter implements it. The rest
//! moves bytes and keeps time; what is decided stands in `policy`.

pub mod clock;
pub mod directory;
pub mod edge;
pub mod host;

mod attempt;
mod call;
mod callers;
mod connect;
mod control;
mod deadline;
mod demand;
mod fields;
mod lease;
mod log_limiter;
mod path;
mod peers;
mod planning;
mod pool;
mod quarantine;
mod quotas;
mod ready;
mod registration;
mod retries;
mod run;
mod servers;
mod store;
mod stream;
mod trace;
mod unplaced;
mod watch;
mod workload;

pub use run::{Error, Running, reloaded, start, start_by};
