//! The commands, one module for each.

pub(crate) mod apply;
mod base;
pub(crate) mod check;
pub(crate) mod diff;
pub(crate) mod drain;
pub(crate) mod explain;
pub(crate) mod get;
pub(crate) mod moves;
pub(crate) mod residents;
pub(crate) mod status;
pub(crate) mod timeline;
