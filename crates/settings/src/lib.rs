//! Process settings and declared configuration, read from JSON with every finding in its place.
//!
//! A reader that stops at the first fault makes its user start it once for each fault. Here the
//! text is first parsed into a [`node::Node`] tree that knows its lines, then the types' own serde
//! shapes are tried against it again and again, each time with the places found faulty so far
//! replaced by placeholders ([`shape`]). So the shapes are declared once, in the types, and all
//! findings are still reported together. What no shape can say (names that dangle, zero shares) is
//! checked on the typed value and looked up in the tree for its place.

pub mod config;
pub mod finding;
pub mod node;
pub mod process;
pub mod shape;

pub use config::{read_config, write_config};
pub use finding::{Finding, Findings};
pub use process::read_process;
