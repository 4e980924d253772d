//! What the hosts of a routed deployment tell each other.
//!
//! What is told is decided in [`policy::fleet`]; here it meets sockets. Digests and notices go as
//! datagrams; what is large or must be answered goes as calls over TCP, at the same port. A host
//! starts an [`Exchange`], publishes its part, and reads what the others told.

mod calls;
mod client;
mod clock;
mod exchange;
mod listener;
mod run;

pub use policy::fleet;

pub use crate::{
    calls::{Entry, Registered, Source, Suspect},
    client::Error as CallError,
    clock::{Clock, steady},
    exchange::{Config, Error, Exchange},
};
