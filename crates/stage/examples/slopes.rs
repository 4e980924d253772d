//! Measures how state, messages and processor time grow with size, and their values at the target
//! size.
//!
//! Each row has at least three sizes and a line fitted to them by least squares. The R² of the fit
//! shows what grows faster than linearly. If the target size is among the sizes, its value is the
//! measured one, otherwise that of the line. Memory is the difference of the allocator's count
//! before and after several copies are made; bytes are those of the JSON sent over the network.

#![allow(clippy::print_stdout, reason = "prints its results")]

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
