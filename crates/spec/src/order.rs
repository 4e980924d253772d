//! Models of orders to a server that checks no fencing tokens, and to one that counts the orders
//! that it accepts.
//!
//! - [`holder`] checks the lease of `policy::term`: orders of two hosts reach a server at least one
//!   turn (`Settings::turn`) apart, and the fencing tokens that reach it never decrease and are
//!   never shared by two hosts. Time is modelled; the store may be slow, lose calls or be
//!   unreachable.
//! - [`memory`] checks that a server's memory is never overcommitted if each order names the
//!   instance and the sequence number of the report that it is based on, although the store holds
//!   no ledger. Time is not modelled, planners need no lease, and a late order may be carried out
//!   at any later moment.

pub mod holder;
pub mod memory;
