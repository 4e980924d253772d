//! Notices: delivered at once, only once, and given up after a few attempts.

mod fleet_net;

use std::time::Duration;

use fleet_net::{Faults, Net, address, member};
use policy::fleet::{Content, Departure, Notice, Origin, Recipients, UnknownHost};
use rstest::rstest;

fn leaving(server: usize) -> Notice {
    let server = format!("i-{server}").into();
    Notice::ServerLeaving { server, departure: Departure::Leaving, revision: 1 }
}

fn received(net: &Net, host: usize) -> Vec<&Notice> {
    net.hosts[&host].received.iter().map(|received| &received.notice).collect()
}

#[test]
fn a_notice_to_all_reaches_each_host_at_once() {
    let mut net = Net::settled(6, 1);
    net.notify_all(2, leaving(1));
    net.run_for(Duration::from_millis(5));
    for host in [0, 1, 3, 4, 5] {
        let [received] = &net.hosts[&host].received[..] else {
            panic!("host {host} did not receive exactly one notice")
        };
        assert_eq!(received.notice, leaving(1));
        assert_eq!(received.origin, Some(member(2, 0).id));
        assert_eq!(received.via, address(2));
    }
    assert!(received(&net, 2).is_empty());
}

#[test]
fn a_notice_to_one_host_reaches_only_that_one() {
    let mut net = Net::settled(6, 1);
    let now = net.now;
    let wanted = Notice::LoadRequested {
        service: "chat".into(),
        model: "sage".into(),
        adapter: Some("a3".into()),
    };
    net.fleet(2)
        .send(now, Recipients::Host(member(4, 0).id), wanted.clone())
        .expect("the host is known");
    net.run_for(Duration::from_secs(1));
    assert_eq!(received(&net, 4), [&wanted]);
    assert!([0, 1, 3, 5].iter().all(|&host| received(&net, host).is_empty()));
    let result = net.fleet(2).send(now, Recipients::Host("nobody".into()), wanted);
    assert_eq!(result, Err(UnknownHost("nobody".into())));
}

#[rstest]
fn a_lossy_network_delivers_each_notice_once(#[values(1, 2, 3)] seed: u64) {
    let mut net = Net::settled(4, seed);
    net.faults = Faults { loss: 0.1, repeat: 0.3, jitter: Duration::from_millis(100) };
    for server in 0..100 {
        net.notify_all(1, leaving(server));
        net.run_for(Duration::from_millis(30));
    }
    net.run_for(Duration::from_secs(3));
    for host in [0, 2, 3] {
        let mut distinct: Vec<_> = received(&net, host).into_iter().cloned().collect();
        let count = distinct.len();
        distinct.sort_by_key(|notice| format!("{notice:?}"));
        distinct.dedup();
        assert_eq!(distinct.len(), count, "a notice was received twice");
        // With one datagram in ten lost, all five sendings of a notice are lost once in 100,000
        // notices.
        assert_eq!(count, 100);
    }
    assert_eq!(net.fleet(1).counts().lost_notices, 0);
}

/// Guards against a notice that is acknowledged and not handed on, as so many later ones have
/// overtaken it that its receiver takes it for seen.
#[rstest]
fn a_notice_that_was_lost_once_is_received_behind_later_ones(#[values(50, 200, 500)] later: usize) {
    let mut net = Net::settled(2, 1);
    net.cut = vec![1];
    net.notify_all(0, leaving(0));
    net.run_for(Duration::from_millis(10));
    net.cut = Vec::new();
    for server in 1..=later {
        net.notify_all(0, leaving(server));
    }
    net.run_for(Duration::from_secs(2));
    assert!(received(&net, 1).contains(&&leaving(0)), "{} received", received(&net, 1).len());
}

#[test]
fn a_notice_that_nobody_takes_is_sent_five_times_and_given_up() {
    let [with, without] = [true, false].map(|is_sent| {
        let mut net = Net::settled(2, 1);
        net.cut = vec![1];
        let now = net.now;
        if is_sent {
            net.fleet(0)
                .send(now, Recipients::Host(member(1, 0).id), leaving(1))
                .expect("the host is known");
        }
        net.run_for(Duration::from_secs(5));
        net.fleet(0).counts()
    });
    assert_eq!(with.sent - without.sent, 5);
    assert_eq!((with.lost_notices, without.lost_notices), (1, 0));
}

#[test]
fn notices_of_a_restarted_host_are_new_ones() {
    let mut net = Net::settled(3, 1);
    for incarnation in [50, 40, 60] {
        net.start(2, incarnation);
        net.run_for(Duration::from_secs(1));
        net.notify_all(2, leaving(1));
        net.run_for(Duration::from_millis(50));
    }
    assert_eq!(received(&net, 0).len(), 3);
}

#[test]
fn messages_are_counted_by_content_and_origin() {
    let mut net = Net::settled(24, 1);
    net.notify_all(2, leaving(1));
    net.run_for(Duration::from_millis(40));
    let sent = |origin| {
        let volumes = net.hosts.values().map(|host| {
            let volume = host.fleet.traffic().of(Content::ServerLeaving, origin);
            (volume.messages, volume.bytes)
        });
        volumes.fold((0, 0), |sum, volume| (sum.0 + volume.0, sum.1 + volume.1))
    };
    let ((own, own_bytes), (forwarded, forwarded_bytes)) =
        (sent(Origin::Own), sent(Origin::Forwarded));
    // Members of the sender's group get the notice from their relay as well.
    assert!((23..=46).contains(&(own + forwarded)), "{own} own, {forwarded} forwarded");
    assert!(0 < own && own < forwarded, "{own} own, {forwarded} forwarded");
    assert_eq!(own_bytes * forwarded, forwarded_bytes * own, "all are of the same size");
    let counts = net.hosts[&2].fleet.counts();
    let messages: u64 = net.hosts[&2].fleet.traffic().iter().map(|(.., sent)| sent.messages).sum();
    assert_eq!(counts.sent, messages, "each datagram of this host had one message");
}
