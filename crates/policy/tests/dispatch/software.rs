//! Tests of streams that go on only at servers of the version that began them.

use policy::{
    dispatch::{
        Answer, Cause, Dispatcher, End, NotRun, RequestSpec, RetryDecision, Silence, Unclear,
        Verdict,
    },
    streams::software_id,
};
use rstest::rstest;
use types::{prelude::*, routed, routed::Kind};

use crate::fixture::{at, plain, request, sent, server};

const CUT: End = End::Unclear(Unclear::Cut);

fn versioned(id: &str, software: &str) -> routed::Server {
    routed::Server { software: software.into(), ..server(id, "a", &[]) }
}

/// A host with servers of these names and versions.
fn host(servers: &[(&str, &str)]) -> Dispatcher {
    let mut host = plain(&[]);
    servers.iter().for_each(|(id, software)| host.server(&versioned(id, software), at(0)));
    host
}

fn stream(ticket: u64) -> RequestSpec {
    RequestSpec { resumable: true, attempts: 3, ..request(ticket, Kind::Stream, at(0)) }
}

/// Sends a stream to the first server, as the other one is added only then.
fn streaming(first: &str, other: &str) -> Dispatcher {
    let mut host = host(&[("s1", first)]);
    assert_eq!(&*sent(host.arrive(stream(1), at(0))), "s1");
    host.server(&versioned("s2", other), at(1));
    host
}

fn service() -> service::Id {
    server("s1", "a", &[]).service
}

#[rstest]
#[case::another_version("v2", "s1")]
#[case::the_same_version("v1", "s2")]
fn a_stream_that_has_begun_goes_on_at_its_version_only(
    #[case] other: &str,
    #[case] expected: &str,
) {
    let mut host = streaming("v1", other);
    assert_eq!(host.first_byte(1, at(10)), Some(software_id(&service(), "v1")));
    let next = match host.attempt_failed(1, CUT, at(20)) {
        RetryDecision::Send(server) => Verdict::Send(server),
        RetryDecision::Wait => {
            let changes = (2..100).flat_map(|n| host.pump(at(n * 20))).collect::<Vec<_>>();
            changes.into_iter().next().expect("a verdict").verdict
        }
        other => panic!("{other:?}"),
    };
    assert_eq!(next, Verdict::Send(expected.into()));
}

#[rstest]
fn a_stream_without_an_event_begins_anew_at_any_version() {
    let mut host = streaming("v1", "v2");
    assert_eq!(host.attempt_failed(1, CUT, at(20)), RetryDecision::Send("s2".into()));
    assert_eq!(host.first_byte(1, at(30)), Some(software_id(&service(), "v2")));
}

#[rstest]
#[case::another_version("v2", None)]
#[case::the_same_version("v1", Some("s2".into()))]
fn a_stream_is_hedged_at_its_version_only(
    #[case] other: &str,
    #[case] expected: Option<backend::Id>,
) {
    let mut host = streaming("v1", other);
    host.first_byte(1, at(10));
    assert_eq!(host.hedge(1, 2, Silence::Timeout, at(900)), expected);
}

#[rstest]
fn a_hedge_that_started_before_the_first_event_pins_its_own_version() {
    let mut host = streaming("v1", "v2");
    assert_eq!(host.hedge(1, 2, Silence::Timeout, at(900)), Some("s2".into()));
    host.won(2, at(910));
    assert_eq!(host.first_byte(2, at(920)), Some(software_id(&service(), "v2")));
}

#[rstest]
fn the_version_is_the_registered_one_when_the_request_was_sent() {
    let mut host = streaming("v1", "v2");
    host.server(&versioned("s1", "v2"), at(5));
    assert_eq!(host.first_byte(1, at(10)), Some(software_id(&service(), "v1")));
    assert_eq!(
        host.attempt_failed(1, CUT, at(20)),
        RetryDecision::GiveUp(Answer::Unclear(Cause::Software))
    );
}

#[rstest]
fn a_stream_that_is_taken_up_again_goes_to_its_version_only() {
    let mut host = host(&[("s1", "v1"), ("s2", "v2"), ("s3", "v1")]);
    let software = Some(software_id(&service(), "v2"));
    for ticket in 0..20 {
        let spec = RequestSpec { software, resume: Some(3), ..stream(ticket) };
        assert_eq!(&*sent(host.arrive(spec, at(0))), "s2");
        host.ended(ticket, End::Completed, at(0));
    }
}

#[rstest]
fn a_stream_of_a_version_that_serves_no_more_is_refused_at_once() {
    let mut host = host(&[("s1", "v1"), ("s2", "v2")]);
    host.draining(&"s2".into());
    let software = Some(software_id(&service(), "v2"));
    let verdict = host.arrive(RequestSpec { software, resume: Some(3), ..stream(1) }, at(0));
    assert!(matches!(verdict, Verdict::Refuse { cause: Cause::Software, .. }), "{verdict:?}");
}

#[rstest]
fn a_stream_of_another_service_is_refused() {
    let mut host = host(&[("s1", "v1")]);
    let software = Some(software_id(&"other".into(), "v1"));
    let verdict = host.arrive(RequestSpec { software, resume: Some(3), ..stream(1) }, at(0));
    assert!(matches!(verdict, Verdict::Refuse { cause: Cause::Software, .. }), "{verdict:?}");
}

#[rstest]
fn a_stream_whose_version_is_full_does_not_hold_up_others() {
    let mut host = host(&[("s1", "v1"), ("s2", "v2")]);
    let software = Some(software_id(&service(), "v2"));
    let taken_up = |ticket| RequestSpec { software, resume: Some(3), ..stream(ticket) };
    let waits = (0..1_000).find(|ticket| host.arrive(taken_up(*ticket), at(0)) == Verdict::Wait);
    let waiting = waits.expect("some request waits");
    let verdict = host.arrive(stream(2_000), at(0));
    let changes = host.pump(at(1));
    let is_sent = verdict == Verdict::Send("s1".into())
        || changes
            .iter()
            .any(|change| change.ticket == 2_000 && change.verdict == Verdict::Send("s1".into()));
    assert!(is_sent, "{verdict:?} behind {waiting}: {changes:?}");
}

#[rstest]
fn a_refused_stream_that_no_server_ran_counts_as_not_run() {
    let mut host = host(&[("s1", "v1")]);
    let software = Some(software_id(&service(), "v1"));
    sent(host.arrive(RequestSpec { software, resume: Some(3), ..stream(1) }, at(0)));
    host.gone(&"s1".into(), at(5));
    let decision = host.attempt_failed(1, End::NotRun(NotRun::Full), at(10));
    let RetryDecision::GiveUp(Answer::NotRun { cause, .. }) = decision else {
        panic!("{decision:?}")
    };
    assert_eq!(cause, Cause::Software);
}

/// The servers that streams and pages get, sent one after the other.
fn servers_of(host: &mut Dispatcher, kind: Kind) -> Vec<backend::Id> {
    let spec = |ticket| RequestSpec { kind, ..stream(ticket) };
    let mut servers: Vec<_> =
        (100..102).map(|ticket| sent(host.arrive(spec(ticket), at(1)))).collect();
    servers.sort();
    servers.dedup();
    servers
}

/// A stream that begins at a version which the store doesn't list could not be told from one of
/// another version, once all records of it are lost.
#[rstest]
#[case::streams(Kind::Stream, &["s1"])]
#[case::others(Kind::Idempotent, &["s1", "s2"])]
fn streams_begin_at_listed_versions(#[case] kind: Kind, #[case] expected: &[&str]) {
    let mut host = host(&[("s1", "v1")]);
    host.set_listed(&service(), [software_id(&service(), "v1")].into());
    host.server(&versioned("s2", "v2"), at(0));
    assert_eq!(servers_of(&mut host, kind).iter().map(|id| &**id).collect::<Vec<_>>(), expected);
}

#[rstest]
#[case::not_read_yet(None, &["s1", "s2"])]
#[case::both_listed(Some(&["v1", "v2"][..]), &["s1", "s2"])]
#[case::none_listed(Some(&["v0"][..]), &["s1", "s2"])]
fn streams_begin_at_any_version_if_none_is_listed(
    #[case] listed: Option<&[&str]>,
    #[case] expected: &[&str],
) {
    let mut host = host(&[("s1", "v1"), ("s2", "v2")]);
    if let Some(listed) = listed {
        let listed = listed.iter().map(|software| software_id(&service(), software)).collect();
        host.set_listed(&service(), listed);
    }
    let servers = servers_of(&mut host, Kind::Stream);
    assert_eq!(servers.iter().map(|id| &**id).collect::<Vec<_>>(), expected);
}

/// The last server of the listed version drains.
#[rstest]
fn streams_begin_at_an_unlisted_version_once_no_other_takes_requests() {
    let mut host = host(&[("s1", "v1"), ("s2", "v2")]);
    host.set_listed(&service(), [software_id(&service(), "v1")].into());
    host.draining(&"s1".into());
    assert_eq!(sent(host.arrive(stream(1), at(1))), "s2".into());
}
