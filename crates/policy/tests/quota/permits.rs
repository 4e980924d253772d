//! Permits: how long one may be used, and how many an owner grants.

use std::time::Duration;

use policy::{
    member::rendezvous,
    quota::{
        Quotas,
        client::{Client, Demand},
        message::{Content, Entry, IDLE, Message, Request},
        owner::Owner,
    },
};
use types::{backend, host, routed::Rate};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn id(name: &str) -> host::Id {
    name.into()
}

/// Permit request of the only host, with its share.
fn request(wanted: u32, urgency: u8) -> Request {
    Request { wanted, urgency, lease_ms: 5_000, hosts: 1, sent_before: 0 }
}

fn limit() -> Rate {
    Rate::per_second(20.0).expect("a rate")
}

/// Returns a host that ranks before host `a` as owner of a server's quota.
fn first_owner(server: &backend::Id) -> String {
    let rank = |name: &str| rendezvous::score(server.as_bytes(), name);
    let mut names = (0..).map(|number| format!("host-{number}"));
    names.find(|name| rank("a") < rank(name)).expect("a name")
}

#[test]
fn a_permit_lapses() {
    let mut client = Client::default();
    assert_eq!(client.on_grant(2, ms(1_000), ms(1_100)), 0);
    assert!(client.has_permit(ms(2_000)));
    assert!(!client.has_permit(ms(2_600)), "a permit is expired 1.6 s after its request");
    assert_eq!(client.expire(ms(2_600)), 2);
    assert!(!client.use_permit(ms(2_600)));
    assert_eq!(
        client.on_grant(3, ms(1_000), ms(2_600)),
        3,
        "permits that arrive 1.6 s after their request are expired"
    );
}

#[test]
fn permits_at_hand_are_not_requested_again() {
    let mut client = Client::default();
    client.set_demand(Demand { permits: 3, urgency: 2 });
    client.on_grant(2, ms(0), ms(0));
    assert_eq!(client.unmet_demand(ms(10)), Demand { permits: 1, urgency: 2 });
    assert_eq!(client.unmet_demand(ms(1_600)), Demand { permits: 3, urgency: 2 });
}

#[test]
fn permits_on_their_way_are_not_granted_again() {
    let (mut owner, host) = (Owner::default(), id("a"));
    owner.on_request(&host, &request(2, 1), ms(0), limit(), ms(0));
    owner.grant(limit(), 1, ms(0));
    let granted = owner.grant(limit(), 1, ms(200));
    assert_eq!(granted, [(host.clone(), 2)]);
    // This request was sent before the host received the permits.
    owner.on_request(&host, &request(2, 1), ms(100), limit(), ms(210));
    assert_eq!(owner.grant(limit(), 1, ms(500)), []);
    // This request was sent after the host received the permits.
    owner.on_request(&host, &request(2, 1), ms(200), limit(), ms(510));
    assert_eq!(owner.grant(limit(), 1, ms(520)), [(host, 2)]);
}

#[test]
fn a_request_that_is_not_repeated_expires() {
    let (mut owner, host) = (Owner::default(), id("a"));
    owner.on_request(&host, &request(5, 1), ms(0), limit(), ms(0));
    assert_eq!(owner.grant(limit(), 1, ms(0)), []);
    assert_eq!(owner.grant(limit(), 1, ms(1_100)), []);
}

#[test]
fn what_nobody_waits_for_comes_last() {
    let mut owner = Owner::default();
    owner.on_request(&id("a"), &request(9, IDLE), ms(0), limit(), ms(0));
    owner.on_request(&id("b"), &request(1, 7), ms(0), limit(), ms(0));
    owner.grant(limit(), 2, ms(0));
    assert_eq!(owner.grant(limit(), 2, ms(60)), [(id("b"), 1)]);
    assert_eq!(owner.waiting(ms(60)), 0);
}

#[test]
fn an_owner_without_shares_grants_nothing() {
    let (mut owner, host) = (Owner::default(), id("a"));
    let request = Request { lease_ms: 0, ..request(5, 1) };
    for now in (0..5_000).step_by(100) {
        owner.on_request(&host, &request, ms(now), limit(), ms(now));
        assert_eq!(owner.grant(limit(), 9, ms(now)), []);
    }
}

/// A message that is received twice, or after a later one, counts once.
#[test]
fn a_message_that_comes_twice_grants_once() {
    let server: backend::Id = "lm-1".into();
    let mut quotas = Quotas::new(id("a"), 1);
    let change = quotas.observe_limit(&server, Some(limit()), ms(10), ms(20)).expect("a change");
    quotas.limit_changed(&server, change, 0, ms(20));
    let grant = |clock| {
        let content = Content::Grant { permits: 1, waiting: 0 };
        let entry = Entry { server: server.clone(), limit: change.current, content };
        Message { from: 2, to: Some(1), clock, echo: 900_000, entries: vec![entry] }
    };
    for clock in [7_000_000, 6_000_000, 7_000_000, 6_000_000] {
        quotas.receive(&id("b"), &grant(clock), ms(1_000));
    }
    for _ in 0..2 {
        assert!(quotas.has_permit("lm-1", ms(1_000)));
        quotas.use_permit("lm-1", ms(1_000));
    }
    assert!(!quotas.has_permit("lm-1", ms(1_000)));
}

/// An owner that is regarded as live but does not answer is replaced after a time-out.
#[test]
fn an_owner_that_answers_nobody_is_passed_over() {
    let server: backend::Id = "lm-1".into();
    let owner = first_owner(&server);
    let mut quotas = Quotas::new(id("a"), 1);
    quotas.update_hosts([(&id(&owner), true)].into_iter(), vec![id("a"), id(&owner)], ms(9_000));
    let change =
        quotas.observe_limit(&server, Some(limit()), ms(9_990), ms(10_000)).expect("a change");
    quotas.limit_changed(&server, change, 0, ms(10_000));
    let mut shares = |now| {
        quotas.tick(ms(now));
        quotas.shares(ms(now))
    };
    assert_eq!(
        (10_000..11_400).step_by(20).map(&mut shares).max(),
        Some(0),
        "the share is offered to the owner first"
    );
    assert_eq!((11_400..12_000).step_by(20).map(&mut shares).max(), Some(1));
}

/// If a server is forgotten and comes back while a share of its quota is lent, the borrower may
/// still grant from that share, so the lender must not use it before the lease has expired.
#[test]
fn a_share_that_is_lent_stays_so_while_its_server_is_gone() {
    let server: backend::Id = "lm-1".into();
    let first = first_owner(&server);
    let mut quotas = Quotas::new(id("a"), 1);
    quotas.update_hosts([(&id(&first), true)].into_iter(), vec![id("a"), id(&first)], ms(9_000));
    let name = |quotas: &mut Quotas, now| {
        let change =
            quotas.observe_limit(&server, Some(limit()), ms(now - 1), ms(now)).expect("a change");
        quotas.limit_changed(&server, change, 0, ms(now));
        quotas.tick(ms(now));
    };
    name(&mut quotas, 10_000);
    let clock = Message { from: 2, to: Some(1), clock: 7, echo: 0, entries: Vec::new() };
    quotas.receive(&id(&first), &clock, ms(10_010));
    quotas.tick(ms(10_200));
    let lent = quotas.outgoing().into_iter().flat_map(|(_, message)| message.entries);
    assert!(
        lent.into_iter().any(
            |entry| matches!(entry.content, Content::Request(request) if 0 < request.lease_ms)
        )
    );

    quotas.forget("lm-1");
    quotas.tick(ms(10_300));
    // The other host is no longer live, so this host becomes the owner.
    quotas.update_hosts([(&id(&first), false)].into_iter(), vec![id("a")], ms(10_400));
    name(&mut quotas, 10_500);
    assert_eq!(quotas.shares(ms(10_500)), 0, "the other host may still hold the lease");
    quotas.tick(ms(13_000));
    assert_eq!(quotas.shares(ms(13_000)), 1);
}

/// An earlier run of a host may have lent its share for up to 5.5 s.
#[test]
fn only_the_first_run_of_a_host_lends_its_share_at_once() {
    let server: backend::Id = "s1".into();
    let shares = |calls: &[bool], now: Duration| {
        let mut quotas = Quotas::new(id("a"), 1);
        calls.iter().for_each(|is_first| quotas.registered(*is_first));
        let change = quotas.observe_limit(&server, Some(limit()), ms(0), ms(10)).expect("a limit");
        quotas.limit_changed(&server, change, 0, ms(10));
        quotas.tick(now);
        quotas.shares(now)
    };
    assert_eq!(shares(&[], ms(20)), 0, "it isn't known whether there was an earlier run");
    assert_eq!(shares(&[false], ms(20)), 0);
    assert_eq!(shares(&[false, true], ms(20)), 0, "only the first registration tells");
    assert_eq!(shares(&[true], ms(20)), 1);
    assert_eq!(shares(&[true, false], ms(20)), 1, "the run finds its own entry");
    assert_eq!(shares(&[false], ms(5_600)), 1);
}

/// The limit may be known before the run is registered.
#[test]
fn a_share_can_be_lent_once_the_first_run_is_registered() {
    let server: backend::Id = "s1".into();
    let mut quotas = Quotas::new(id("a"), 1);
    let change = quotas.observe_limit(&server, Some(limit()), ms(0), ms(10)).expect("a limit");
    quotas.limit_changed(&server, change, 0, ms(10));
    quotas.tick(ms(20));
    assert_eq!(quotas.shares(ms(20)), 0);
    quotas.registered(true);
    quotas.tick(ms(30));
    assert_eq!(quotas.shares(ms(30)), 1);
}
