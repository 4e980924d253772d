//! Measures how state, messages and processor time grow, and reads the fits at the target's size.
//!
//! Each row has at least three sizes and a line fitted to them by least squares. What grows
//! faster than the line shows by its fit; the figure at the target is then measured, not read off,
//! wherever the target's size is among the sizes. Memory is what the
//! allocator counts before and after several copies were made; bytes are those of the JSON that goes over the wire.

#![allow(clippy::print_stdout, reason = "a measurement talks to its user")]

#[path = "slopes/control.rs"]
mod control;
#[path = "slopes/fit.rs"]
mod fit;
#[path = "slopes/fleet.rs"]
mod fleet;
#[path = "slopes/keys.rs"]
mod keys;
#[path = "slopes/route.rs"]
mod route;

use std::error::Error;

use tabled::{Table, settings::Style};

fn main() -> Result<(), Box<dyn Error>> {
    let mut rows = Vec::new();
    rows.extend(route::rows());
    rows.extend(fleet::plan_rows());
    rows.extend(control::rows()?);
    rows.extend(keys::rows()?);
    println!("{}", Table::new(rows).with(Style::markdown()));
    Ok(())
}
