//! Standing of backend servers under evidence that lags or is contradictory.

use std::time::Duration;

use policy::member::{
    Standing,
    servers::{Evidence, Observation, Servers},
};
use rstest::rstest;
use types::{
    backend::{Entry, Kind, Server},
    host::{self, ListState},
    time::Moment,
};

const SERVER: &str = "lm-1";

fn me() -> host::Id {
    "stage-0".into()
}

fn at(seconds: u64) -> Moment {
    Duration::from_secs(seconds)
}

fn entry(id: &str, state: ListState) -> Entry {
    let server = Server {
        id: id.into(),
        group: "portal-lm".into(),
        kind: Kind::Engine,
        zone: "biloxi-hall".into(),
        address: ([10, 0, 0, 1], 8000).into(),
    };
    Entry { server, state }
}

fn known() -> Servers {
    let mut servers = Servers::new();
    servers.apply_list(at(0), &[entry(SERVER, ListState::Live)], &me());
    servers
}

fn observation(run: u64, observer: &str, evidence: Evidence) -> Observation {
    Observation { server: SERVER.into(), run, observer: observer.into(), evidence }
}

#[test]
fn a_server_that_says_it_leaves_gets_nothing_though_the_list_calls_it_live() {
    let mut servers = known();
    let observation = servers.record_report(at(1), SERVER, 3, true, &me());
    assert_eq!(observation.map(|observation| observation.evidence), Some(Evidence::Leaving));
    servers.apply_list(at(2), &[entry(SERVER, ListState::Live)], &me());
    servers.record_report(at(3), SERVER, 3, false, &me());
    assert_eq!(servers.standing(at(60), SERVER), Standing::Leaving);
}

#[test]
fn a_new_run_of_a_server_is_not_leaving() {
    let mut servers = known();
    servers.record_report(at(1), SERVER, 3, true, &me());
    servers.record_report(at(2), SERVER, 4, false, &me());
    assert_eq!(servers.standing(at(2), SERVER), Standing::Live);
    servers.apply_update(at(3), &observation(3, "stage-1", Evidence::Leaving));
    assert_eq!(
        servers.standing(at(3), SERVER),
        Standing::Live,
        "another host's observation of an old incarnation counted"
    );
}

#[test]
fn a_report_of_an_older_run_changes_nothing() {
    let mut servers = known();
    servers.record_report(at(1), SERVER, 4, false, &me());
    assert_eq!(servers.record_report(at(2), SERVER, 3, true, &me()), None);
    assert_eq!(servers.standing(at(2), SERVER), Standing::Live);
}

#[test]
fn a_list_that_flaps_keeps_a_server_marked_until_it_settles() {
    let mut servers = known();
    for second in 1..20 {
        let state = if second % 2 == 0 { ListState::Live } else { ListState::Leaving };
        servers.apply_list(at(second), &[entry(SERVER, state)], &me());
        assert_eq!(servers.standing(at(second), SERVER), Standing::Leaving);
    }
    for second in 20..35 {
        servers.apply_list(at(second), &[entry(SERVER, ListState::Live)], &me());
    }
    assert_eq!(servers.standing(at(35), SERVER), Standing::Live);
}

#[rstest]
#[case::empty(Vec::new())]
#[case::other(vec![entry("lm-2", ListState::Live)])]
fn a_server_that_answers_stays_though_the_list_forgets_it(#[case] list: Vec<Entry>) {
    let mut servers = known();
    for second in 1..120 {
        servers.apply_list(at(second), &list, &me());
        servers.record_report(at(second), SERVER, 1, false, &me());
        servers.expire(at(second));
        assert_eq!(servers.standing(at(second), SERVER), Standing::Live);
    }
}

#[test]
fn a_server_that_is_unlisted_and_silent_goes() {
    let mut servers = known();
    servers.apply_list(at(1), &[entry("lm-2", ListState::Live)], &me());
    servers.expire(at(60));
    assert_eq!(servers.standing(at(60), SERVER), Standing::Gone);
    servers.apply_list(at(61), &[entry(SERVER, ListState::Live)], &me());
    assert_eq!(
        servers.standing(at(61), SERVER),
        Standing::Live,
        "the listed server is not live again"
    );
}

#[test]
fn a_failure_suspects_a_server_until_it_answers() {
    let mut servers = known();
    assert!(servers.record_failure(at(1), SERVER, &me()).is_some());
    assert!(
        servers.record_failure(at(2), SERVER, &me()).is_none(),
        "a second failure in a row was gossiped again"
    );
    assert_eq!(servers.standing(at(2), SERVER), Standing::Suspected);
    servers.record_answer(at(3), SERVER);
    assert_eq!(servers.standing(at(3), SERVER), Standing::Live);
}

#[test]
fn what_others_could_not_reach_stays_in_use_where_it_answers() {
    let mut servers = known();
    servers.record_answer(at(10), SERVER);
    servers.apply_update(at(10), &observation(0, "stage-1", Evidence::Silent));
    assert_eq!(servers.standing(at(11), SERVER), Standing::Live);
    assert_eq!(
        servers.standing(at(13), SERVER),
        Standing::Suspected,
        "the observation did not count without a recent answer"
    );
    assert_eq!(servers.standing(at(16), SERVER), Standing::Live, "an expired observation counted");
}

#[test]
fn a_mark_of_the_list_that_a_peer_read_holds_until_ours_should_show_it() {
    let mut servers = known();
    assert!(servers.apply_update(at(1), &observation(0, "stage-1", Evidence::ListedLeaving)));
    assert!(
        !servers.apply_update(at(2), &observation(0, "stage-1", Evidence::ListedLeaving)),
        "a repeated observation counted as new"
    );
    assert_eq!(servers.standing(at(20), SERVER), Standing::Leaving);
    assert_eq!(servers.standing(at(40), SERVER), Standing::Live);
}

#[test]
fn a_mark_that_a_peer_read_gives_way_to_our_own_list_once_it_has_settled() {
    let mut servers = known();
    servers.apply_update(at(1), &observation(0, "stage-1", Evidence::ListedLeaving));
    servers.apply_list(at(5), &[entry(SERVER, ListState::Live)], &me());
    assert_eq!(
        servers.standing(at(5), SERVER),
        Standing::Leaving,
        "one list lifted the mark, though lists may lag"
    );
    servers.apply_list(at(12), &[entry(SERVER, ListState::Live)], &me());
    assert_eq!(servers.standing(at(12), SERVER), Standing::Live);
}
