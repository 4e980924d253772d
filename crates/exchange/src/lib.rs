//! Exchange of state between the hosts of a routed deployment.
//!
//! [`policy::fleet`] decides which messages are sent; this crate connects it to sockets. Digests
//! and notices are sent as datagrams; large messages and requests that need a response are calls
//! over TCP, at the same port. A host starts an [`Exchange`], publishes its state and reads the
//! state that the others have published.

mod calls;
mod client;
mod clock;
mod exchange;
mod inbox;
mod listener;
mod run;
mod tunnel;

pub use policy::fleet;

pub use crate::{
    calls::{Entry, ServerListing, Source, Suspect},
    client::Error as CallError,
    clock::{Clock, steady},
    exchange::{Config, Error, Exchange},
    tunnel::{Error as TunnelError, Refusal},
};
