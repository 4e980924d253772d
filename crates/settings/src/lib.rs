//! Process settings and declared configuration, read from JSON with every finding in its place.

pub mod process;
