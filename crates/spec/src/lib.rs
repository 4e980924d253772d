//! Models of the protocols, and a model checker that explores them exhaustively.
//!
//! Each module models one protocol as a transition system. Faults are steps of their own. Every
//! decision is made by `policy`, so the checked code is the code in production. [`explore`] visits
//! every reachable state. Each guard of a protocol can be disabled; the exploration must then find
//! a counterexample, which shows that the model can reach the failure that the guard prevents.

pub mod config;
pub mod explore;
pub mod ledger;
pub mod once;
pub mod order;
pub mod quota;
pub mod replica;
pub mod stream;
