//! Requests on connections that a partition between the host and a server has broken.

use policy::{
    dispatch::{Dispatcher, Ticket, Verdict},
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

fn in_flight(host: &Dispatcher) -> u32 {
    host.work().iter().map(|(_, _, requests, _)| *requests).sum()
}

#[test]
fn requests_on_broken_connections_are_not_reported_as_work() {
    let mut host = plain(&["s1", "s2"]);
    let server = send(&mut host, 1, Kind::NonIdempotent, at(0));
    host.path_lost(&server);
    host.pump(at(290));
    assert_eq!(in_flight(&host), 1);
    host.pump(at(330));
    assert_eq!(in_flight(&host), 0);
}

#[test]
fn a_request_that_is_answered_after_all_is_work_again() {
    let mut host = plain(&["s1"]);
    let server = send(&mut host, 1, Kind::NonIdempotent, at(0));
    host.path_lost(&server);
    host.pump(at(330));
    host.response_started(1, at(340));
    assert_eq!(in_flight(&host), 1);
}

#[test]
fn requests_on_sound_connections_stay_work() {
    let mut host = plain(&["s1", "s2"]);
    let server = send(&mut host, 1, Kind::NonIdempotent, at(0));
    let other = sent(host.arrive(request(2, Kind::NonIdempotent, at(0)), at(0)));
    host.sent(2, Path::Relayed, at(0));
    assert_ne!(server, other);
    host.path_lost(&other);
    host.pump(at(2_000));
    assert_eq!(in_flight(&host), 2);
}

#[test]
fn a_repeatable_request_on_a_broken_connection_is_hedged() {
    let mut host = plain(&["s1", "s2"]);
    let server = send(&mut host, 1, Kind::Idempotent, at(0));
    host.path_lost(&server);
    let changes = host.pump(at(330));
    assert!(changes.iter().any(|change| change.verdict == Verdict::Hedge), "{changes:?}");
}

#[test]
fn a_request_that_runs_once_stays_at_its_server() {
    let mut host = plain(&["s1", "s2"]);
    let server = send(&mut host, 1, Kind::NonIdempotent, at(0));
    host.path_lost(&server);
    assert!(host.pump(at(330)).is_empty());
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
