//! Servers that are silent.

use policy::{
    dispatch::{Dispatcher, Ticket},
    paths::Path,
};
use types::{prelude::*, routed::Kind};

use crate::fixture::{at, plain, request, sent};

/// Sends a request directly.
fn send(host: &mut Dispatcher, ticket: Ticket, kind: Kind, now: Moment) -> backend::Id {
    let server = sent(host.arrive(request(ticket, kind, now), now));
    host.sent(ticket, Path::Direct, now);
    server
}

#[test]
fn servers_that_send_nothing_are_silent() {
    let mut host = plain(&["s1", "s2"]);
    let server = send(&mut host, 1, Kind::Idempotent, at(0));
    assert!(host.silent_servers(at(250)).is_empty());
    assert_eq!(host.silent_servers(at(400)), [server]);
    host.first_byte(1, at(400));
    assert!(host.silent_servers(at(650)).is_empty());
}
