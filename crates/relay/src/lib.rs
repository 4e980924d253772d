//! The path of a routed request: from a caller through an entry host to one of the service's
//! servers, and back.
//!
//! [`edge`] defines the protocols with callers, servers and the store, which a deployment's
//! [`edge::Dialect`] implements. The other modules do I/O and timing; the decisions are made in
//! `policy`.

pub mod clock;
pub mod directory;
pub mod edge;
pub mod host;

mod announced;
mod attempt;
mod body;
mod call;
mod caller;
mod callers;
mod confirm;
mod connect;
mod control;
mod customers;
mod deadline;
mod demand;
mod fields;
mod lateness;
mod lease;
mod log_limiter;
mod path;
mod paths;
mod peers;
mod planning;
mod pool;
mod prefer;
mod quarantine;
mod quotas;
mod race;
mod ready;
mod registration;
mod retries;
mod run;
mod servers;
mod slots;
mod speeds;
mod store;
mod stream;
mod streams;
mod task;
mod timer;
mod trace;
mod unplaced;
mod versions;
mod wakeup;
mod watch;
mod workload;

pub use run::{Error, Running, log_reload, start, start_with_clock};
