//! Calls between hosts, as JSON-RPC over HTTP.
//!
//! The protocol itself is in `policy::member`; this crate has its calls ([`Api`]), the listener
//! ([`listen`]) and the client of all peers ([`Client`]). Hosts authenticate to each other with a
//! token; every byte received or sent is counted on a [`meter::Meter`].

mod api;
mod client;
mod listener;
mod token;

pub use crate::{
    api::{Api, Content, Failure, Outcome},
    client::{Builder, Client, Error},
    listener::{ListenerSettings, listen},
    token::Token,
};
