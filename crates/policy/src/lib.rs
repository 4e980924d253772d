//! All decisions of the serving system, without I/O, clock or randomness of their own.
//!
//! Events and the time go in, actions come out. The same code runs in a host's process, in tests
//! under virtual time and in the exhaustive checks of `crates/spec`. A decision that needs a socket
//! to be tested belongs elsewhere.

pub mod admit;
pub mod attempt_timeout;
pub mod config;
pub mod customer;
pub mod defer;
pub mod demand;
pub mod dispatch;
pub mod event;
pub mod fleet;
pub mod follow;
pub mod lease;
pub mod ledger;
pub mod limit;
pub mod member;
pub mod once;
pub mod paths;
pub mod place;
pub mod plan;
pub mod quarantine;
pub mod quota;
pub mod retry;
pub mod route;
pub mod share;
pub mod slots;
pub mod stream;
pub mod streams;
pub mod term;
pub mod traffic;
