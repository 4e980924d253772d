//! Data types that all packages share.
//!
//! Plain data with serde formats, and no behavior beyond what these formats need: ids, hosts,
//! zones, backend servers, the declared configuration, orders and load reports. Ids are type
//! aliases for strings that are cheap to clone; the module gives the kind of id (`model::Id`).

pub mod adapter;
pub mod availability;
pub mod backend;
pub mod config;
pub mod customer;
pub mod error;
pub mod host;
pub mod memory;
pub mod model;
pub mod order;
pub mod prelude;
pub mod priority;
pub mod report;
pub mod request;
pub mod resident;
pub mod routed;
pub mod service;
pub mod status;
pub mod target;
pub mod time;
