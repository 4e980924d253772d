//! Messages between hosts, over jsonrpsee.
//!
//! The protocol itself is in `policy::member`; here are its calls on the wire ([`Api`]), the
//! listener ([`listen`]) and the client of all peers ([`Client`]). Hosts show each other a token;
//! every byte in and out is counted on a [`meter::Meter`].

mod api;
mod client;
mod listener;
mod token;

pub use crate::{
    api::{Api, Content, Failure, Outcome},
    client::{Builder, Client, Error},
    listener::{Listener, listen},
    token::Token,
};
