//! Quotas: limits that servers name, shared by all hosts.

mod limits;
mod permits;
mod play;
mod shared;
