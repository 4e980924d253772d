//! Slots of servers that one host each grants to all.

mod effort;
mod grants;
mod net;
mod requests;
