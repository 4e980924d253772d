//! Tests of the quarantine: which requests become suspects, and which are refused or cleared.

use std::collections::BTreeMap;

use policy::{
    once::HostRun,
    quarantine::{
        Document, Fingerprint, HostView, ServerRun, Settings, TrialError, Verdict, assigned_servers,
    },
};
use rstest::rstest;
use types::{backend, service};

#[test]
fn suspects_are_tried_one_at_a_time_on_a_server() {
    let mut document = after_death(&[1, 2], "s1");
    assert_eq!(begin(&mut document, 1, "s2", "a"), Ok(()));
    assert_eq!(begin(&mut document, 2, "s2", "b"), Err(TrialError::Server));
    assert_eq!(begin(&mut document, 2, "s3", "b"), Ok(()));
}

#[test]
fn suspect_is_not_tried_on_two_servers_at_once() {
    let mut document = after_death(&[1], "s1");
    assert_eq!(begin(&mut document, 1, "s2", "a"), Ok(()));
    assert_eq!(begin(&mut document, 1, "s3", "b"), Err(TrialError::OnTrial));
    assert_eq!(begin(&mut document, 1, "s2", "a"), Ok(()), "the same trial may be written again");
}

#[test]
fn trial_waits_until_every_host_can_have_read() {
    let mut document = after_death(&[1], "s1");
    let early = document.begin(&settings(), 499, fingerprint(1), &server_run("s2"), &run("a"));
    assert_eq!(early, Err(TrialError::Propagating { until: 500 }));
}

#[test]
fn death_during_a_trial_refuses_the_suspect_and_frees_the_others() {
    let mut document = after_death(&[1, 2, 3], "s1");
    assert_eq!(begin(&mut document, 1, "s2", "a"), Ok(()));
    record_death(&mut document, &[1, 4], "s2");
    assert_eq!(refused(&document), [fingerprint(1)]);
    assert!(document.suspects.is_empty(), "both deaths are explained");
}

/// Another host records its requests in flight at a death after the death is explained.
#[test]
fn late_accusation_of_an_explained_death_makes_no_suspect() {
    let mut document = after_death(&[1], "s1");
    assert_eq!(begin(&mut document, 1, "s2", "a"), Ok(()));
    record_death(&mut document, &[1], "s2");
    record_death(&mut document, &[5, 6], "s1");
    record_death(&mut document, &[7], "s2");
    assert!(document.suspects.is_empty());
}

#[test]
fn completed_suspect_is_cleared() {
    let mut document = after_death(&[1, 2], "s1");
    assert_eq!(begin(&mut document, 1, "s2", "a"), Ok(()));
    document.complete(fingerprint(1), &run("b"));
    assert!(
        document.suspects.contains_key(&fingerprint(1)),
        "only the host that makes the trial can complete it"
    );
    document.complete(fingerprint(1), &run("a"));
    assert_eq!(document.suspects.keys().copied().collect::<Vec<_>>(), [fingerprint(2)]);
}

#[test]
fn copies_that_kill_both_assigned_servers_at_once_are_refused_without_a_trial() {
    let mut document = after_death(&[1, 2, 3], "s1");
    record_death(&mut document, &[1, 4, 5], "s2");
    assert_eq!(refused(&document), [fingerprint(1)]);
    assert!(document.suspects.is_empty());
}

#[test]
fn two_deaths_that_share_several_requests_refuse_none_of_them() {
    let mut document = after_death(&[1, 2, 3], "s1");
    record_death(&mut document, &[1, 2, 4], "s2");
    assert!(document.refused.is_empty());
    assert_eq!(begin(&mut document, 1, "s3", "a"), Ok(()));
    record_death(&mut document, &[1], "s3");
    assert_eq!(refused(&document), [fingerprint(1)]);
}

#[test]
fn accusation_may_be_written_again() {
    let mut once = after_death(&[1, 2], "s1");
    let twice = {
        let mut document = once.clone();
        record_death(&mut document, &[1, 2], "s1");
        document
    };
    assert_eq!(once, twice);
    record_death(&mut once, &[1], "s1");
    assert!(once.refused.is_empty(), "the same death counts once");
}

/// The host that made a trial is gone. If its server is alive, the trial is aborted; else the
/// suspect is refused.
#[rstest]
#[case::server_alive(true, 0)]
#[case::server_dead(false, 1)]
fn trial_of_a_host_that_is_gone_is_closed(#[case] alive: bool, #[case] refusals: usize) {
    let mut document = after_death(&[1], "s1");
    assert_eq!(begin(&mut document, 1, "s2", "a"), Ok(()));
    document.host_gone(&settings(), 2_000, &run("a"), |_| alive);
    assert_eq!(document.refused.len(), refusals);
    assert_eq!(begin(&mut document, 1, "s2", "b").is_ok(), alive);
}

#[test]
fn entries_expire_and_an_operator_lifts_them() {
    let mut document = after_death(&[1, 2], "s1");
    assert_eq!(begin(&mut document, 1, "s2", "a"), Ok(()));
    record_death(&mut document, &[1], "s2");
    let refused_until = document.refused[&fingerprint(1)].until;
    let mut expired = document.clone();
    expired.expire(&settings(), refused_until - 1);
    assert_eq!(expired, document);
    expired.expire(&settings(), refused_until);
    assert_eq!(expired, Document::default());
    assert!(document.lift(fingerprint(1)));
    assert!(!document.lift(fingerprint(1)));
    assert_eq!(document, Document::default());
}

#[test]
fn oldest_entries_go_when_there_are_too_many() {
    let few = Settings { entries: 3, ..settings() };
    let mut document = Document::default();
    let service = service::Id::from("chat");
    for number in 0..5 {
        let suspect = [(fingerprint(number), &service)];
        document.record_death(&few, u64::from(number), &server_run("s1"), suspect);
    }
    let kept: Vec<Fingerprint> = document.suspects.keys().copied().collect();
    assert_eq!(kept, [fingerprint(2), fingerprint(3), fingerprint(4)]);
}

#[test]
fn document_and_fingerprints_survive_json() {
    let mut document = after_death(&[1, 2], "s1");
    assert_eq!(begin(&mut document, 1, "s2", "a"), Ok(()));
    record_death(&mut document, &[1], "s2");
    record_death(&mut document, &[9], "s4");
    let json = serde_json::to_string(&document).unwrap();
    assert_eq!(serde_json::from_str::<Document>(&json).unwrap(), document);
    let text = fingerprint(7).to_string();
    assert_eq!(Fingerprint::parse(&text), Some(fingerprint(7)));
    assert_eq!(Fingerprint::parse("7"), None);
}

#[test]
fn request_in_flight_at_a_death_is_a_suspect_before_it_is_written() {
    let mut view = HostView::new(settings());
    view.read(0, Document::default());
    view.sent("r1".into(), fingerprint(1), "chat".into(), server_run("s1"));
    view.sent("r2".into(), fingerprint(2), "chat".into(), server_run("s2"));
    view.sent("r3".into(), fingerprint(3), "chat".into(), server_run("s1"));
    view.ended(&"r3".into());
    assert!(view.died(&server_run("s1")));
    assert_eq!(view.admit(fingerprint(1)), Verdict::Suspect);
    assert_eq!(view.admit(fingerprint(2)), Verdict::Free);
    assert_eq!(view.admit(fingerprint(3)), Verdict::Free);
    let mut document = Document::default();
    view.record_death(0, &mut document);
    assert_eq!(document.suspects.keys().copied().collect::<Vec<_>>(), [fingerprint(1)]);
    let written = view.unwritten().clone();
    view.written(&written);
    view.read(200, document);
    assert!(view.unwritten().is_empty());
    assert_eq!(view.admit(fingerprint(1)), Verdict::Suspect);
}

/// The host processes the request's complete response after the death. The caller has its answer
/// and would not send the request again, so no trial could clear it.
#[test]
fn request_answered_by_a_server_that_died_is_no_suspect() {
    let mut document = after_death(&[1, 2], "s1");
    document.clear_death(fingerprint(1), &server_run("s1"));
    assert_eq!(document.suspects.keys().copied().collect::<Vec<_>>(), [fingerprint(2)]);
    let mut view = HostView::new(settings());
    view.sent("r1".into(), fingerprint(1), "chat".into(), server_run("s1"));
    assert!(view.died(&server_run("s1")));
    view.completed(&"r1".into(), fingerprint(1), &server_run("s1"));
    assert_eq!(view.admit(fingerprint(1)), Verdict::Free);
}

#[test]
fn older_read_does_not_replace_a_newer_one() {
    let mut view = HostView::new(settings());
    view.read(200, after_death(&[1], "s1"));
    view.read(100, Document::default());
    assert_eq!(view.admit(fingerprint(1)), Verdict::Suspect);
}

#[test]
fn assigned_servers_are_two_and_the_same_in_any_order() {
    let servers: Vec<backend::Id> = (0..9).map(|n| format!("s{n}").into()).collect();
    let reversed: Vec<backend::Id> = servers.iter().rev().cloned().collect();
    let mut used = BTreeMap::new();
    for number in 0..200 {
        let chosen = assigned_servers(fingerprint(number), &servers);
        assert_eq!(chosen, assigned_servers(fingerprint(number), &reversed));
        assert_eq!(chosen.len(), 2);
        chosen.into_iter().for_each(|server| *used.entry(server).or_insert(0) += 1);
    }
    assert_eq!(used.len(), 9);
    assert!(
        used.values().all(|uses| 20 < *uses),
        "requests are not spread over all servers: {used:?}"
    );
}

fn settings() -> Settings {
    Settings::default()
}

fn after_death(numbers: &[u8], server: &str) -> Document {
    let mut document = Document::default();
    record_death(&mut document, numbers, server);
    document
}

fn record_death(document: &mut Document, numbers: &[u8], server: &str) {
    let service = service::Id::from("chat");
    let in_flight = numbers.iter().map(|number| (fingerprint(*number), &service));
    document.record_death(&settings(), 0, &server_run(server), in_flight);
}

fn begin(document: &mut Document, number: u8, server: &str, host: &str) -> Result<(), TrialError> {
    document.begin(&settings(), 1_000, fingerprint(number), &server_run(server), &run(host))
}

fn refused(document: &Document) -> Vec<Fingerprint> {
    document.refused.keys().copied().collect()
}

fn fingerprint(number: u8) -> Fingerprint {
    Fingerprint::of_digest(&[number; 32])
}

fn server_run(server: &str) -> ServerRun {
    ServerRun { server: server.into(), incarnation: 1 }
}

fn run(host: &str) -> HostRun {
    HostRun { host: host.into(), incarnation: 1 }
}
