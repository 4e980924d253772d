//! Tests of placement through the ledger, with a simple executor of moves.

mod demand;
mod executor;
mod gap;
mod residency;
