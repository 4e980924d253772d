//! Access to the platform's services: the object API and the host list.
//!
//! All state that hosts agree on or that must persist is behind [`Store`]. A write whose response
//! is lost may have taken effect; [`Error::is_ambiguous`] is true for such errors, and a writer
//! must read the object back before acting on one.

mod client;
mod error;
mod store;

pub use crate::{
    client::{Builder, Client},
    error::Error,
    store::{Change, Changes, Listing, Object, Revision, Store, Version},
};
