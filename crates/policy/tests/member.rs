//! Simulated fleets under message loss, partitions, paused processes and a faulty platform list.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, host};
use policy::member::{
    Health, Settings, Standing,
    backoff::Backoff,
    gossip::{Action, Gossip},
    heartbeat::{InFlight, Topic},
    watch,
};
use rstest::rstest;
use types::host::{Entry, List, ListState};

const SETTLE: Duration = Duration::from_secs(20);
const PROPAGATION_TIME: Duration = Duration::from_secs(5);

fn settled(hosts: usize) -> Fleet {
    let mut fleet = Fleet::new(hosts, 7);
    fleet.run_for(SETTLE);
    assert!(fleet.is_converged() && fleet.is_in_force());
    fleet
}

fn assert_change_in_force(fleet: &mut Fleet) {
    let end = fleet.now + PROPAGATION_TIME;
    fleet.write();
    assert!(
        fleet.run_until(end, Fleet::is_in_force),
        "number {} is not in force on every host",
        fleet.number
    );
}

fn assert_converged_within(fleet: &mut Fleet, span: Duration) {
    let step = Duration::from_millis(500);
    let end = fleet.now + span;
    while fleet.now < end && !fleet.is_converged() {
        fleet.run_for(step);
    }
    assert!(fleet.is_converged(), "a host that answers is not live on every host");
}

#[rstest]
#[case(8)]
#[case(32)]
#[case(128)]
fn each_change_reaches_every_host_though_messages_are_lost(#[case] hosts: usize) {
    let mut fleet = settled(hosts);
    fleet.faults.loss = 0.1;
    for _ in 0..10 {
        assert_change_in_force(&mut fleet);
    }
}

#[rstest]
#[case(8)]
#[case(32)]
fn a_zone_that_is_cut_off_hears_the_platform_by_itself(#[case] hosts: usize) {
    let mut fleet = settled(hosts);
    fleet.faults.cut_zone = Some(1);
    assert_change_in_force(&mut fleet);
    fleet.run_for(Duration::from_secs(60));
    assert!(
        fleet.standings(1).contains(&Standing::Gone),
        "no host takes the partitioned host for gone"
    );
    assert_change_in_force(&mut fleet);
    fleet.faults.cut_zone = None;
    assert_converged_within(&mut fleet, Duration::from_secs(30));
}

#[test]
fn one_way_loss_between_two_zones_drops_nobody() {
    let mut fleet = settled(8);
    fleet.faults.one_way = Some((0, 1));
    for _ in 0..60 {
        fleet.run_for(Duration::from_secs(1));
        let gone = (0..8).any(|n| fleet.standings(n).contains(&Standing::Gone));
        assert!(!gone, "a host that answers is gone");
    }
    assert_change_in_force(&mut fleet);
}

#[rstest]
#[case(8)]
#[case(32)]
fn others_take_over_when_every_watcher_is_killed(#[case] hosts: usize) {
    let mut fleet = settled(hosts);
    let watchers = fleet.watchers();
    assert!(watch::WATCHERS <= watchers.len() && watchers.len() < hosts);
    watchers.into_iter().for_each(|n| fleet.nodes[n].running = false);
    assert_change_in_force(&mut fleet);
}

#[test]
fn a_paused_process_comes_back_without_being_dropped_or_dropping_others() {
    let mut fleet = settled(8);
    fleet.set_paused(3, true);
    fleet.run_for(Duration::from_secs(30));
    assert!(fleet.standings(3).iter().all(|standing| *standing == Standing::Gone));
    fleet.write();
    fleet.set_paused(3, false);
    let end = fleet.now + PROPAGATION_TIME;
    assert!(fleet.run_until(end, Fleet::is_in_force));
    assert_converged_within(&mut fleet, Duration::from_secs(10));
    assert!(0 < fleet.nodes[3].gossip.epoch().refuted, "the resumed host refuted no suspicion");
}

#[test]
fn a_host_that_was_killed_is_given_up_and_its_next_run_is_taken_in() {
    let mut fleet = settled(8);
    fleet.nodes[2].running = false;
    fleet.run_for(Duration::from_secs(15));
    assert!(fleet.standings(2).iter().all(|standing| *standing == Standing::Gone));
    fleet.restart(2);
    assert_converged_within(&mut fleet, Duration::from_secs(10));
}

#[test]
fn an_empty_list_empties_nothing() {
    let mut fleet = settled(8);
    fleet.list.hosts.clear();
    fleet.run_for(Duration::from_secs(900));
    assert!(fleet.is_converged());
    assert_change_in_force(&mut fleet);
}

#[test]
fn a_list_that_flaps_drops_nobody_who_answers() {
    let mut fleet = settled(8);
    let full = fleet.list.clone();
    for turn in 0..60 {
        fleet.list = full.clone();
        fleet
            .list
            .hosts
            .retain(|entry| (entry.host.id.len() + turn) % 2 == 0 || entry.host.id.ends_with('0'));
        fleet.run_for(Duration::from_secs(1));
        assert!((0..8).all(|n| !fleet.standings(n).contains(&Standing::Gone)));
    }
    assert!(fleet.is_converged());
}

#[test]
fn a_leaving_host_is_known_everywhere_within_seconds_though_the_list_calls_it_live() {
    let mut fleet = settled(32);
    let actions = fleet.nodes[5].gossip.leave(fleet.now);
    fleet.perform(5, actions);
    fleet.run_for(Duration::from_secs(3));
    assert!(fleet.standings(5).iter().all(|standing| *standing == Standing::Leaving));
    fleet.run_for(Duration::from_secs(30));
    assert!(fleet.standings(5).iter().all(|standing| *standing == Standing::Leaving));
    assert!(!fleet.watchers().contains(&5), "a leaving host watches the platform");
}

#[test]
fn a_host_that_starts_while_the_platform_is_down_takes_its_peers_number() {
    let mut fleet = settled(8);
    assert_change_in_force(&mut fleet);
    fleet.platform_up = false;
    fleet.list = List::default();
    fleet.restart(4);
    let now = fleet.now;
    let hello = fleet.nodes[4].gossip.hello(now);
    let (answer, _) = fleet.nodes[0].gossip.receive(now, &hello);
    let actions = fleet.nodes[4].gossip.answer(now, &answer);
    fleet.perform(4, actions);
    assert!(fleet.run_until(now + PROPAGATION_TIME, Fleet::is_in_force));
}

#[test]
fn a_lower_number_is_never_taken() {
    let now = Duration::ZERO;
    let mut gossip = Gossip::new(now, Settings::default(), 1, host(0), 1);
    gossip.set_version(now, Topic::Config, 9);
    gossip.set_version(now, Topic::Config, 4);
    assert_eq!(gossip.version(Topic::Config), 9);
}

#[test]
fn an_older_run_of_a_host_stops_when_a_newer_one_is_about() {
    let now = Duration::ZERO;
    let mut old = Gossip::new(now, Settings::default(), 1, host(0), 1);
    let mut new = Gossip::new(now, Settings::default(), 2, host(0), 2);
    let (_, actions) = old.receive(now, &new.hello(now));
    assert_eq!(actions, [Action::Superseded]);
    assert_eq!(old.tick(now), [Action::Superseded]);
    let (_, actions) = new.receive(now, &old.hello(now));
    assert_eq!(actions, []);
}

#[test]
fn a_heartbeat_stays_within_its_bytes_however_much_there_is_to_tell() {
    let now = Duration::from_secs(100);
    let settings = Settings::default();
    let bound = settings.message_bytes;
    let mut gossip = Gossip::new(Duration::ZERO, settings, 1, host(0), 1);
    let entry = |n| Entry { host: host(n), state: ListState::Live };
    gossip.apply_list(now, &List { hosts: vec![entry(1)], servers: Vec::new() });
    gossip.apply_list(now, &List { hosts: (1..350).map(entry).collect(), servers: Vec::new() });
    gossip.set_in_flight((0..770).map(|n| InFlight(format!("server-{n}").into(), 9)).collect());
    assert!(0 < gossip.pending_updates());
    for _ in 0..100 {
        for action in gossip.tick(now) {
            let Action::Send { heartbeat, .. } = action else { continue };
            let bytes =
                serde_json::to_string(&heartbeat).expect("a heartbeat serializes to JSON").len();
            assert!(bytes <= bound, "a heartbeat of {bytes} bytes, above {bound}");
        }
    }
}

#[test]
fn what_a_peer_has_in_flight_is_counted_while_it_is_fresh() {
    let now = Duration::from_secs(1);
    let mut one = Gossip::new(now, Settings::default(), 1, host(0), 1);
    let mut other = Gossip::new(now, Settings::default(), 2, host(1), 1);
    other.set_in_flight(vec![InFlight("lm-1".into(), 3)]);
    one.receive(now, &other.hello(now));
    assert_eq!(one.in_flight_elsewhere(now, "lm-1"), 3);
    assert_eq!(one.in_flight_elsewhere(now + Duration::from_secs(10), "lm-1"), 0);
    other.set_in_flight(Vec::new());
    one.receive(now, &other.hello(now));
    assert_eq!(one.in_flight_elsewhere(now, "lm-1"), 0);
}

#[test]
fn few_hosts_try_a_platform_that_is_down() {
    let hosts: Vec<_> = (0..350).map(host).collect();
    let rank = watch::Rank::new(hosts.iter().map(|host| (&host.id, &host.zone)));
    let active = |age| hosts.iter().filter(|host| rank.role(&host.id).is_active(age)).count();
    assert_eq!(active(Duration::ZERO), 4, "one watcher in each zone");
    let after_ten_minutes = active(Duration::from_secs(600));
    assert!(
        4 < after_ten_minutes && after_ten_minutes <= 12,
        "{after_ten_minutes} hosts watch after ten minutes"
    );
}

#[test]
fn hosts_come_back_spread_out_after_an_outage() {
    let longest = Duration::from_secs(10);
    let waits: Vec<Duration> = (0..350)
        .map(|seed| {
            let mut backoff = Backoff::new(Duration::from_millis(100), longest, seed);
            (0..20).map(|_| backoff.fail()).last().unwrap_or_default()
        })
        .collect();
    assert!(waits.iter().all(|wait| longest / 2 <= *wait && *wait <= longest));
    let in_slot = |slot: u32| {
        let from = longest / 2 + longest / 20 * slot;
        waits.iter().filter(|wait| from <= **wait && **wait < from + longest / 20).count()
    };
    assert!(
        (0..10).all(|slot| in_slot(slot) < 70),
        "a fifth of the hosts or more retry in one half second"
    );
}

#[test]
fn a_success_makes_the_next_wait_short_again() {
    let first = Duration::from_millis(100);
    let mut backoff = Backoff::new(first, Duration::from_secs(10), 1);
    assert_eq!((0..40).map(|_| backoff.fail()).count(), 40);
    backoff.succeed();
    assert!(backoff.fail() <= first);
}

#[test]
fn a_word_of_worse_health_wins_only_at_its_epoch() {
    let now = Duration::from_secs(60);
    let mut gossip = Gossip::new(Duration::ZERO, Settings::default(), 1, host(0), 1);
    let mut peer = Gossip::new(Duration::ZERO, Settings::default(), 2, host(1), 5);
    gossip.receive(now, &peer.hello(now));
    let mut liar = Gossip::new(Duration::ZERO, Settings::default(), 3, host(2), 1);
    let mut lie = liar.hello(now);
    let mut status = peer.hello(now).from;
    status.health = Health::Gone;
    status.epoch.run = 4;
    lie.updates = vec![policy::member::heartbeat::Update::Host(status)];
    let later = now + Duration::from_secs(30);
    gossip.receive(later, &lie);
    let standing = gossip.hosts().get(&host(1).id).map(|member| member.standing());
    assert_eq!(standing, Some(Standing::Live), "a status of an older incarnation counted");
}
