//! Stand-ins for the systems that hosts talk to, for tests, examples and benchmarks. Not shipped.
//!
//! Each stand-in of a server listens on a loopback port that the system picks, counts the calls
//! that it receives and what it did with them, and injects faults on request. Tests check these
//! counts rather than the reports of the system under test.

pub mod engine;
pub mod fault;
pub mod net;
pub mod objects;
pub mod page;
pub mod plain;
pub mod routed;
pub mod weights;
