//! Arbitrary and corrupt datagrams: none of them may panic or stop a host.

mod fleet_net;

use std::time::Duration;

use fleet_net::{Net, address, member};
use policy::{
    dispatch::poison::{Crash, CrashState, Isolation},
    fleet::{Fleet, Notice, Publication, Recipients, Settings},
};
use proptest::{prelude::*, test_runner::RngSeed};

const NOW: Duration = Duration::from_secs(9);

fn fleet() -> Fleet {
    Fleet::new(Duration::ZERO, Settings::default(), member(0, 1), [address(1)])
}

/// Returns genuine datagrams of each kind.
fn genuine() -> Vec<Vec<u8>> {
    let mut net = Net::settled(3, 1);
    let crash = |request| Crash {
        subject: u64::into(request),
        server: "s1".into(),
        turn: 0,
        witness: "host-001".into(),
        isolation: Isolation::Shared,
        state: CrashState::Counted,
        age: Duration::ZERO,
    };
    net.publish(1, Publication::Crashes((0..50).map(crash).collect()));
    let now = net.now + Duration::from_secs(1);
    let fleet = net.fleet(1);
    fleet.tick(now);
    fleet
        .send(now, Recipients::All, Notice::DeclarationInForce { version: 3 })
        .expect("a notice to all hosts needs no known host");
    fleet.introduce(now, [address(9)]);
    fleet.tick(now + Duration::from_secs(1));
    fleet.announce_exit();
    fleet.outgoing().into_iter().map(|datagram| datagram.bytes).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_are_survived(bytes in prop::collection::vec(any::<u8>(), 0..1_400)) {
        let mut fleet = fleet();
        fleet.receive(NOW, address(1), &bytes);
        fleet.tick(NOW);
        fleet.snapshot(NOW);
    }

    #[test]
    fn any_bytes_after_the_format_are_survived(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut fleet = fleet();
        fleet.receive(NOW, address(1), &[&[0xC1], &bytes[..]].concat());
        fleet.tick(NOW);
        fleet.snapshot(NOW);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn spoiled_datagrams_are_survived_and_good_ones_still_read(
        corruptions in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut net = Net::settled(3, 1);
        for bytes in genuine() {
            let mut corrupted = bytes.clone();
            for (index, byte) in &corruptions {
                let at = index.index(corrupted.len());
                corrupted[at] = *byte;
            }
            net.inject(0, address(1), &corrupted);
            net.inject(0, address(1), &bytes[..cut.index(bytes.len())]);
        }
        net.run_for(Duration::from_secs(1));
        net.snapshot(0);
    }
}

#[test]
fn what_is_no_datagram_is_counted() {
    let mut fleet = fleet();
    fleet.receive(NOW, address(1), b"GET / HTTP/1.1\r\n\r\n");
    fleet.receive(NOW, address(1), b"");
    assert_eq!(fleet.counts().unreadable, 2);
    assert!(fleet.snapshot(NOW).hosts.is_empty());
}
