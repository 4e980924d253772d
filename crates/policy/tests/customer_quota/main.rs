//! Quotas of customers, shared by all hosts.

mod bound;
mod decisions;
mod net;
mod usable;
