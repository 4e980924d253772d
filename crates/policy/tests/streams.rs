//! Tests of the records of streams and of the queries to other hosts.

use std::time::Duration;

use policy::streams::{
    Began, Lookup, Message, Origin, Peer, RECORD_LIFE, StreamId, Streams, records::Records,
    software_id, stream_id,
};
use rstest::rstest;
use types::{host, time::Moment};

const V1: u64 = 11;
const V2: u64 = 22;

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn peers(hosts: std::ops::Range<usize>, zones: usize) -> Vec<Peer> {
    let peer = |n: usize| Peer {
        id: format!("host-{n}").into(),
        incarnation: 1,
        zone: format!("zone-{}", n % zones).into(),
        is_live: true,
    };
    hosts.map(peer).collect()
}

fn among(hosts: usize) -> Streams {
    let mut streams = Streams::default();
    streams.set_peers(peers(1..hosts, 3), at(0));
    streams
}

fn receivers(messages: &[(host::Id, Message)]) -> Vec<host::Id> {
    messages.iter().map(|(host, _)| host.clone()).collect()
}

fn found(streams: &mut Streams, stream: StreamId, now: Moment) -> Lookup {
    let found = streams.look_up(stream, now);
    streams.outgoing();
    found
}

#[rstest]
fn ids_differ_by_service_and_by_name() {
    let ids = [
        stream_id(&"a".into(), "r1"),
        stream_id(&"b".into(), "r1"),
        stream_id(&"a".into(), "r2"),
        software_id(&"a".into(), "r1"),
        software_id(&"b".into(), "r1"),
    ];
    let distinct: std::collections::BTreeSet<_> = ids.iter().collect();
    assert_eq!(distinct.len(), ids.len());
}

#[rstest]
fn a_record_expires_after_its_last_use() {
    let mut records = Records::new(10, RECORD_LIFE);
    records.insert(1, V1, at(0));
    records.insert(2, V1, at(0));
    assert_eq!(records.get(1, at(59_000)), Some(Origin::Software(V1)));
    assert_eq!(records.get(2, at(60_000)), None);
    assert_eq!(records.get(1, at(118_000)), Some(Origin::Software(V1)));
    assert_eq!(records.get(1, at(178_000)), None);
    assert!(records.is_empty());
}

#[rstest]
fn an_id_of_two_versions_is_ambiguous_for_good() {
    let mut records = Records::new(10, RECORD_LIFE);
    records.insert(1, V1, at(0));
    records.insert(1, V1, at(1));
    assert_eq!(records.get(1, at(1)), Some(Origin::Software(V1)));
    records.insert(1, V2, at(2));
    records.insert(1, V1, at(3));
    assert_eq!(records.get(1, at(4)), Some(Origin::Ambiguous));
}

#[rstest]
fn many_records_of_one_version_drive_out_only_its_own() {
    let mut records = Records::new(100, RECORD_LIFE);
    (0..10).for_each(|stream| records.insert(stream, V1, at(stream)));
    (1_000..11_000).for_each(|stream| records.insert(stream, V2, at(stream)));
    assert_eq!(records.len(), 100);
    assert!((0..10).all(|stream| records.get(stream, at(11_000)).is_some()));
    assert_eq!(records.get(1_000, at(11_000)), None);
    assert!(records.get(10_999, at(11_000)).is_some());
}

#[rstest]
#[case::alone(1, 0)]
#[case::two_hosts(2, 1)]
#[case::eight_hosts(8, 3)]
#[case::many_hosts(350, 2)]
fn a_record_goes_to_a_few_hosts_of_different_zones(#[case] hosts: usize, #[case] copies: usize) {
    let mut streams = among(hosts);
    for stream in 0..100 {
        streams.announce(stream, V1, at(0));
        let to = receivers(&streams.outgoing());
        let all = peers(1..hosts, 3);
        let zone_of = |host: &host::Id| all.iter().find(|peer| peer.id == *host).map(|p| &p.zone);
        let zones: std::collections::BTreeSet<_> = to.iter().map(zone_of).collect();
        assert_eq!((to.len(), zones.len()), (copies, copies));
    }
}

#[rstest]
fn records_to_one_host_travel_together() {
    let mut streams = among(2);
    (0..100).for_each(|stream| streams.announce(stream, V1, at(0)));
    let sizes = streams.outgoing().into_iter().map(|(_, message)| match message {
        Message::Began(streams) => streams.len(),
        Message::Query(_) | Message::Reply { .. } => 0,
    });
    assert_eq!(sizes.collect::<Vec<_>>(), [48, 48, 4]);
}

#[rstest]
fn a_host_that_is_about_to_stop_gets_no_records() {
    let mut streams = Streams::default();
    let mut two = peers(1..3, 3);
    two[0].is_live = false;
    streams.set_peers(two, at(0));
    streams.announce(1, V1, at(0));
    assert_eq!(receivers(&streams.outgoing()), ["host-2".into()]);
}

#[rstest]
fn a_lookup_asks_the_hosts_that_got_the_record() {
    let mut began = among(8);
    began.announce(7, V1, at(0));
    let holders = receivers(&began.outgoing());
    assert_eq!(holders.len(), 3);
    let mut streams = Streams::default();
    // The host that asks knows the one where the stream began, too.
    streams.set_peers(peers(1..8, 3), at(0));
    assert_eq!(streams.look_up(7, at(100)), Lookup::Pending(at(115)));
    let mut asked = receivers(&streams.outgoing());
    asked.sort_unstable();
    assert_eq!(asked, holders);
    let reply = Message::Reply { stream: 7, origin: Some(Origin::Software(V1)) };
    streams.receive(&holders[1], reply, at(101));
    assert_eq!(found(&mut streams, 7, at(101)), Lookup::Found(V1, Some(holders[1].clone())));
    assert_eq!(found(&mut streams, 7, at(5_000)), Lookup::Found(V1, None));
}

#[rstest]
fn a_host_answers_what_it_knows_and_keeps_nothing_of_a_query() {
    let mut streams = among(8);
    let from: host::Id = "host-1".into();
    let known = Began { stream: 1, software: V1 };
    streams.receive(&from, Message::Began(vec![known]), at(0));
    for stream in 1..1_000 {
        streams.receive(&from, Message::Query(stream), at(1));
        let origin = (stream == 1).then_some(Origin::Software(V1));
        assert_eq!(streams.outgoing(), [(from.clone(), Message::Reply { stream, origin })]);
    }
    assert_eq!(streams.records(), 1);
}

#[rstest]
fn a_reply_that_nobody_asked_for_is_ignored() {
    let mut streams = among(8);
    let reply = |stream| Message::Reply { stream, origin: Some(Origin::Software(V1)) };
    streams.receive(&"host-1".into(), reply(1), at(0));
    streams.look_up(2, at(0));
    streams.receive(&"stranger".into(), reply(2), at(0));
    assert_eq!(streams.records(), 0);
}

#[rstest]
fn a_lookup_ends_when_all_hosts_have_no_record() {
    let mut streams = among(8);
    let mut asked = 0;
    let mut now = at(0);
    while let Lookup::Pending(_) = streams.look_up(1, now) {
        for (host, _) in streams.outgoing() {
            asked += 1;
            streams.receive(&host, Message::Reply { stream: 1, origin: None }, now);
        }
        now += at(1);
    }
    assert_eq!(found(&mut among(1), 1, now), Lookup::Unknown);
    assert_eq!((asked, now < at(5)), (7, true));
}

#[rstest]
fn a_lookup_that_nobody_answers_is_given_up_in_time() {
    let mut streams = among(8);
    let mut now = at(0);
    while let Lookup::Pending(next) = streams.look_up(1, now) {
        assert!(now < next);
        now = next;
    }
    assert_eq!(now, at(150));
    assert!(!streams.outgoing().is_empty());
}

#[rstest]
fn two_versions_in_the_replies_are_ambiguous() {
    let mut streams = among(8);
    streams.look_up(1, at(0));
    let asked = receivers(&streams.outgoing());
    for (host, software) in asked.iter().zip([V1, V2]) {
        let origin = Some(Origin::Software(software));
        streams.receive(host, Message::Reply { stream: 1, origin }, at(1));
    }
    assert_eq!(found(&mut streams, 1, at(2)), Lookup::Ambiguous);
}
