//! The age of what a host knows of the servers, over all sequences of calls and their outcomes.

use std::time::Duration;

use policy::follow::{self, MAX_KNOWN_AGE_SHARE, MAX_PAUSE_SHARE, Role, Schedule, Step};
use proptest::{collection::vec, prelude::*};

/// Time in which the store responds, as a share of the deadline for changes.
const STORE_TIME_SHARE: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
enum Peer {
    /// Its knowledge is of this age, and the response takes this part of the timeout.
    Responds {
        age: f64,
        latency: f64,
    },
    Hangs,
    Refuses,
    /// There is none when it is to be asked.
    Missing,
}

/// What happens in one call, whichever host is asked.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    has_peer: bool,
    peer: Peer,
    /// What becomes of the store's watch.
    watch: Watch,
}

#[derive(Clone, Copy, Debug)]
enum Watch {
    /// A change ends it after this part of its wait.
    Changes(f64),
    /// Its wait ends without a change.
    WaitedOut,
    /// The store forgets it, and answers the second one at once.
    Lost,
}

fn peers() -> impl Strategy<Value = Peer> {
    prop_oneof![
        3 => (0.0..1.2, 0.0..1.0).prop_map(|(age, latency)| Peer::Responds { age, latency }),
        2 => Just(Peer::Hangs),
        1 => Just(Peer::Refuses),
        1 => Just(Peer::Missing),
    ]
}

fn outcomes() -> impl Strategy<Value = Outcome> {
    let watch = prop_oneof![
        2 => Just(Watch::Changes(0.0)),
        1 => (0.0..1.0).prop_map(Watch::Changes),
        1 => Just(Watch::WaitedOut),
        1 => Just(Watch::Lost),
    ];
    (prop::bool::weighted(0.8), peers(), watch).prop_map(|(has_peer, peer, watch)| Outcome {
        has_peer,
        peer,
        watch,
    })
}

/// Plays the outcomes in order. Returns the highest age of what the host knew.
fn highest_age(hosts: usize, within: Duration, outcomes: &[Outcome]) -> Duration {
    let pause = follow::pause(follow::STARTUP_TIME, Role::Follower, hosts, within);
    let (mut now, mut known_at) = (Duration::ZERO, Duration::ZERO);
    let mut schedule = Schedule::new(now, within);
    let mut highest = Duration::ZERO;
    for outcome in outcomes {
        match schedule.next(now, outcome.has_peer) {
            Step::Peer { at, timeout } => {
                assert!(now <= at, "a call in the past");
                now = at;
                match outcome.peer {
                    Peer::Responds { age, latency } => {
                        now += timeout.mul_f64(latency);
                        let age = within.mul_f64(age) + timeout.mul_f64(latency);
                        if schedule.peer_responded(now, age) {
                            known_at = known_at.max(now.saturating_sub(age));
                        }
                    }
                    Peer::Hangs => {
                        now += timeout;
                        schedule.peer_failed();
                    }
                    Peer::Refuses | Peer::Missing => schedule.peer_failed(),
                }
            }
            Step::Store { at } => {
                assert!(now <= at, "a call in the past");
                let age = at - known_at;
                let watch = follow::server_watch_times(Role::Follower, age, within);
                // A lost watch at this age is more than the bound allows for.
                let is_late = within.mul_f64(MAX_PAUSE_SHARE) < age;
                let (waited, evaluated, pause) = match outcome.watch {
                    Watch::Changes(part) => {
                        (watch.wait.mul_f64(part), watch.wait.mul_f64(part), pause)
                    }
                    Watch::Lost if !is_late => (watch.trust, watch.trust, Duration::ZERO),
                    Watch::WaitedOut | Watch::Lost => (watch.wait, watch.wait, Duration::ZERO),
                };
                now = at + waited + within.mul_f64(STORE_TIME_SHARE);
                highest = highest.max(now - known_at);
                known_at = at + evaluated;
                schedule.store_responded(now, known_at, pause);
            }
        }
        highest = highest.max(now - known_at);
    }
    highest
}

proptest! {
    #[test]
    fn knowledge_is_never_too_old_while_the_store_responds(
        hosts in 17_usize..=350,
        within_ms in 500_u64..6_000,
        outcomes in vec(outcomes(), 1..60),
    ) {
        let within = Duration::from_millis(within_ms);
        let highest = highest_age(hosts, within, &outcomes);
        prop_assert!(
            highest <= within.mul_f64(MAX_KNOWN_AGE_SHARE),
            "{highest:?} of {within:?}"
        );
    }
}

#[test]
fn a_host_whose_relay_responds_asks_the_store_never() {
    let within = Duration::from_secs(3);
    let mut schedule = Schedule::new(Duration::ZERO, within);
    let mut now = Duration::ZERO;
    for _ in 0..100 {
        let Step::Peer { at, .. } = schedule.next(now, true) else {
            panic!("the store is asked at {now:?}")
        };
        // No more calls to the relay than one in a tenth of the deadline.
        assert!(now + within.mul_f64(0.1) <= at, "{now:?}, then {at:?}");
        now = at;
        assert!(schedule.peer_responded(now, within.mul_f64(0.4)));
    }
}
