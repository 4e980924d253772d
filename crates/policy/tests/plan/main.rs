//! Placement, played out by a tiny executor of moves.

mod demand;
mod executor;
mod gap;
mod residency;
