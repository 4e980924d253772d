//! Pacing of calls to the store: few in total, and changes known in time.

use std::time::Duration;

use policy::follow::{self, MAX_KNOWN_AGE_SHARE, Role, Schedule};
use rstest::rstest;
use types::host;

const DEADLINE: Duration = Duration::from_secs(3);

fn hosts(count: usize) -> Vec<host::Id> {
    (0..count).map(|number| format!("host-{number}").into()).collect()
}

fn settled(role: Role, hosts: usize) -> Duration {
    follow::pause(follow::STARTUP_TIME, role, hosts, DEADLINE)
}

fn roles(hosts: &[host::Id]) -> Vec<Role> {
    let role = |own| follow::role(own, hosts.iter().filter(|other| *other != own));
    hosts.iter().map(role).collect()
}

#[rstest]
#[case(1, 1)]
#[case(2, 2)]
#[case(3, follow::SCOUTS)]
#[case(350, follow::SCOUTS)]
fn a_few_hosts_are_scouts_whatever_their_number(#[case] count: usize, #[case] scouts: usize) {
    let roles = roles(&hosts(count));
    assert_eq!(roles.iter().filter(|role| **role == Role::Scout).count(), scouts);
}

#[test]
fn another_host_takes_a_lost_scouts_place_and_the_others_keep_theirs() {
    let mut hosts = hosts(20);
    let before = roles(&hosts);
    let lost = before.iter().position(|role| *role == Role::Scout).unwrap();
    hosts.remove(lost);
    let after = roles(&hosts);
    let mut before = before;
    before.remove(lost);
    let scouts = |roles: &[Role]| roles.iter().filter(|role| **role == Role::Scout).count();
    assert_eq!((scouts(&before), scouts(&after)), (follow::SCOUTS - 1, follow::SCOUTS));
    let kept = before.iter().zip(&after).filter(|(was, is)| **was == Role::Scout && was == is);
    assert_eq!(kept.count(), follow::SCOUTS - 1);
}

#[test]
fn few_hosts_ask_at_once() {
    for role in [Role::Scout, Role::Follower] {
        assert_eq!(settled(role, follow::UNPACED_HOSTS), Duration::ZERO);
    }
}

#[rstest]
#[case(17)]
#[case(82)]
#[case(350)]
fn followers_ask_in_time_and_seldom(#[case] count: usize) {
    let pause = settled(Role::Follower, count);
    assert!(pause < DEADLINE);
    let calls = count as f64 / pause.as_secs_f64();
    assert!(calls < 200.0, "{calls} calls a second of all hosts");
    let scout = settled(Role::Scout, count);
    assert!(Duration::ZERO < scout && scout < pause);
}

#[test]
fn a_host_that_knows_no_other_yet_does_not_ask_at_each_registration() {
    let alone = follow::pause(Duration::ZERO, Role::Scout, 1, DEADLINE);
    assert!(Duration::ZERO < alone && alone < DEADLINE);
}

#[rstest]
#[case(1)]
#[case(8)]
#[case(350)]
fn a_scout_finds_a_stalled_watch_in_time(#[case] count: usize) {
    let watch = follow::watch_times(follow::STARTUP_TIME, Role::Scout, count, DEADLINE);
    assert!(
        watch.wait < watch.trust,
        "the watch is distrusted before the store answers that nothing changed"
    );
    // A second watch starts when the trust ends, and its answer has to reach the others in time.
    assert!(watch.trust < DEADLINE.mul_f64(0.75), "{watch:?}");
}

#[rstest]
#[case(8)]
#[case(82)]
#[case(350)]
fn watches_of_all_hosts_together_ask_seldom(#[case] count: usize) {
    let calls = |role| {
        let watch = follow::watch_times(follow::STARTUP_TIME, role, count, DEADLINE);
        assert!(watch.wait < watch.trust);
        1.0 / watch.wait.as_secs_f64()
    };
    // The holder of the lease is a scout too.
    let scouts = follow::SCOUTS + 1;
    let all = calls(Role::Scout) * scouts as f64
        + calls(Role::Follower) * count.saturating_sub(scouts) as f64;
    assert!(all < 25.0, "{all} calls a second of all hosts");
}

#[test]
fn a_host_that_knows_no_other_yet_finds_a_stalled_watch_itself() {
    for role in [Role::Scout, Role::Follower] {
        let watch = follow::watch_times(Duration::ZERO, role, 1, DEADLINE);
        // The deadline starts to apply after the host's first seconds, and a stalled watch is found
        // within the deadline after them.
        assert!(
            watch.wait < watch.trust && watch.trust < follow::STARTUP_TIME + DEADLINE,
            "{watch:?}"
        );
    }
}

#[rstest]
#[case(1)]
#[case(9)]
#[case(82)]
#[case(350)]
fn a_server_whose_entry_went_is_left_alone_in_time(#[case] count: usize) {
    for role in [Role::Scout, Role::Follower] {
        let gather = settled(role, count);
        let grace = follow::removal_grace(gather, DEADLINE);
        assert!(gather + grace < DEADLINE, "{role:?}: {gather:?} and {grace:?}");
        assert!(Duration::ZERO < grace, "a server is dropped as soon as its entry is removed");
    }
}

#[rstest]
fn a_relays_list_is_recent_while_the_store_responds(
    #[values(17, 82, 350)] count: usize,
    #[values(Role::Relay, Role::Scout)] role: Role,
    #[values(0.0, 0.5, 1.0)] paused: f64,
) {
    /// Time of the calls to the store and to the relay.
    const CALL_TIME: Duration = Duration::from_millis(30);
    let age = settled(role, count).mul_f64(paused);
    let watch = follow::server_watch_times(role, age, DEADLINE);
    assert!(watch.wait < watch.trust, "{watch:?}");
    let oldest = age + watch.wait + CALL_TIME;
    let mut schedule = Schedule::new(Duration::ZERO, DEADLINE);
    assert!(schedule.peer_responded(DEADLINE, oldest), "{oldest:?}");
}

/// Guards against hosts that refuse requests, or send them to servers that have left, while a watch
/// waits that the store has forgotten.
#[rstest]
fn a_second_watch_of_the_servers_is_sent_while_knowledge_is_recent(
    #[values(Role::Scout, Role::Relay, Role::Follower)] role: Role,
    #[values(0.0, 0.3, 0.6, 0.75)] age: f64,
) {
    let age = match role {
        Role::Follower => DEADLINE.mul_f64(age),
        // Relays and scouts do not pause for longer.
        Role::Scout | Role::Relay => DEADLINE.mul_f64(age).min(settled(Role::Relay, 350)),
    };
    let watch = follow::server_watch_times(role, age, DEADLINE);
    assert!(Duration::ZERO < watch.wait && watch.wait < watch.trust, "{watch:?}");
    let latest = DEADLINE.mul_f64(MAX_KNOWN_AGE_SHARE);
    assert!(age + watch.trust <= latest + follow::SHORTEST_WAIT, "{age:?}, {watch:?}");
}

#[rstest]
#[case(8)]
#[case(82)]
#[case(350)]
fn watches_of_the_servers_ask_seldom_when_all_hosts_follow_the_store(#[case] count: usize) {
    let calls = |role| {
        let watch = follow::server_watch_times(role, Duration::ZERO, DEADLINE);
        1.0 / watch.wait.as_secs_f64()
    };
    let scouts = follow::SCOUTS + 1;
    let all = calls(Role::Scout) * scouts as f64
        + calls(Role::Follower) * count.saturating_sub(scouts) as f64;
    assert!(all < 200.0, "{all} calls a second of all hosts");
}
