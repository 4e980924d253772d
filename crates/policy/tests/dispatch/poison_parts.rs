//! Tests of parts of prompts that crash the servers that answer them.

use policy::{
    dispatch::{
        Answer, Cause, Dispatcher, End, Part, Poison, RequestSpec, RetryDecision, Ticket, Unclear,
        Verdict,
        poison::{
            Crash, Isolation, POISON, SETTLE_TIME, SUSPICION, Standing, Subject, TIED_POISON,
        },
    },
    paths::Path,
    streams::{self, SoftwareId},
};
use rstest::rstest;
use types::{
    prelude::*,
    routed::{self, Kind},
};

use crate::fixture::{at, plain, request, server};

const CUT: End = End::Unclear(Unclear::Cut);

/// Parts of prompts: one that crashes servers, one that all requests begin with, and one that the
/// requests of a caller share.
const BAD: u64 = 0xbad;
const FIRST: u64 = 0xf1;
const CALLER: u64 = 0xca;

/// Version of the software of servers, where it doesn't matter.
const SOFTWARE: SoftwareId = 1;

fn part(id: u64) -> Subject {
    Subject::Part(id)
}

fn poison() -> Poison {
    Poison::new("a".into())
}

/// Charges a crash to these parts, of a request that no other one is like.
fn crash(poison: &mut Poison, request: u64, server: &str, parts: &[u64], now: Moment) {
    let parts = parts.iter().map(|id| part(*id));
    for subject in std::iter::once(Subject::Request(request)).chain(parts) {
        poison.crashed(subject, &server.into(), now, now);
    }
}

fn serve(poison: &mut Poison, parts: &[u64], now: Moment) {
    poison.parts_served(parts.iter().copied(), SOFTWARE, now);
}

/// A request for streams that ends with a part of its own.
fn with_parts(ticket: Ticket, shared: &[u64], now: Moment) -> RequestSpec {
    let own = 1_000_000 + ticket;
    let prompt: Vec<Part> = shared.iter().chain([&own]).map(|id| (*id, 10)).collect();
    RequestSpec { fingerprint: ticket, prompt, ..request(ticket, Kind::Stream, now) }
}

/// Serves a stream until its answer is beyond its beginning, if its server is found.
fn serve_stream(host: &mut Dispatcher, spec: RequestSpec, now: Moment) -> Verdict {
    let ticket = spec.ticket;
    let verdict = host.arrive(spec, now);
    if let Verdict::Send(_) = verdict {
        host.sent(ticket, Path::Direct, now);
        host.response_started(ticket, now + at(10));
        host.first_byte(ticket, now + at(10));
        host.delivered(ticket, 5, now + at(400));
        host.ended(ticket, End::Completed, now + at(401));
    }
    verdict
}

/// Sends a stream whose server is cut off when its answer begins. Returns the server.
fn crash_server(host: &mut Dispatcher, spec: RequestSpec, now: Moment) -> Option<backend::Id> {
    let ticket = spec.ticket;
    let Verdict::Send(server) = host.arrive(spec, now) else { return None };
    host.sent(ticket, Path::Direct, now);
    host.response_started(ticket, now + at(5));
    let _ = host.attempt_failed(ticket, CUT, now + at(10));
    Some(server)
}

#[rstest]
fn the_part_that_no_served_request_has_is_to_blame() {
    let mut poison = poison();
    for (number, server) in ["s1", "s2", "s3"].into_iter().enumerate() {
        let now = at(100 * number as u64);
        serve(&mut poison, &[FIRST, CALLER], now);
        crash(&mut poison, number as u64, server, &[FIRST, BAD, CALLER], now + at(50));
        // Sound requests lose the same server.
        crash(&mut poison, 10 + number as u64 / 2, server, &[FIRST, CALLER], now + at(51));
    }
    assert_eq!(poison.standing(part(BAD)), Standing::Poison);
    for innocent in [part(FIRST), part(CALLER), Subject::Request(10)] {
        let standing = poison.standing(innocent);
        let is_unharmed = standing == Standing::Clear || !poison.is_refused(innocent, at(260));
        assert!(is_unharmed, "{innocent} is {standing:?}");
    }
    serve(&mut poison, &[FIRST, CALLER], at(300));
    assert_eq!(poison.standing(part(FIRST)), Standing::Clear);
    assert_eq!(poison.standing(part(CALLER)), Standing::Clear);
    for server in ["s1", "s2", "s3"] {
        poison.gone(&server.into(), at(300));
    }
    assert!(poison.is_refused(part(BAD), at(250) + SETTLE_TIME));
}

/// A request that was cut off with its server as often as the part crashed servers is not blamed
/// for it once the part has crashed one more.
#[rstest]
fn the_part_explains_the_crashes_of_whole_requests() {
    let mut poison = poison();
    for (number, server) in ["s1", "s2", "s3", "s4"].into_iter().enumerate() {
        crash(&mut poison, number as u64, server, &[BAD], at(0));
    }
    for server in ["s1", "s2", "s3"] {
        crash(&mut poison, 10, server, &[], at(1));
    }
    assert_eq!(poison.standing(10), Standing::Clear);
    assert_eq!(poison.standing(part(BAD)), Standing::Poison);
}

/// A whole request that crashes servers is blamed rather than the parts of its prompt.
#[rstest]
fn a_request_that_crashes_servers_puts_no_blame_on_its_parts() {
    let mut poison = poison();
    for server in ["s1", "s2", "s3"] {
        crash(&mut poison, 7, server, &[CALLER], at(0));
    }
    assert_eq!(poison.standing(7), Standing::Poison);
    assert_eq!(poison.standing(part(CALLER)), Standing::Clear);
}

/// Long after the part was served, it is in nothing but requests that crash servers.
#[rstest]
#[case::early_in_a_generation(0, 20_000)]
#[case::late_in_a_generation(29_000, 31_000)]
#[case::late_in_a_generation_and_long_ago(29_000, 50_000)]
fn a_part_that_was_served_is_not_blamed_beside_one_that_was_not(
    #[case] served: u64,
    #[case] crashed: u64,
) {
    let mut poison = poison();
    serve(&mut poison, &[FIRST], at(0));
    serve(&mut poison, &[CALLER], at(served));
    for (number, server) in ["s1", "s2", "s3"].into_iter().enumerate() {
        crash(&mut poison, number as u64, server, &[BAD, CALLER], at(crashed));
    }
    assert_eq!(poison.standing(part(BAD)), Standing::Poison);
    assert_eq!(poison.standing(part(CALLER)), Standing::Clear);
}

/// A part that was served until a release crashes the servers that the release brings.
#[rstest]
fn a_part_that_another_version_serves_is_to_blame() {
    let (old, new) = (1, 2);
    let mut poison = poison();
    for (number, server) in ["s1", "s2", "s3"].into_iter().enumerate() {
        let now = at(100 * number as u64);
        poison.registered(&server.into(), new);
        poison.parts_served([FIRST, BAD, CALLER].into_iter(), old, now);
        poison.parts_served([FIRST, CALLER].into_iter(), new, now);
        crash(&mut poison, number as u64, server, &[FIRST, BAD, CALLER], now + at(50));
    }
    poison.parts_served([BAD].into_iter(), old, at(300));
    // Another host reports the crashes again after the servers are gone.
    for server in ["s1", "s2", "s3"] {
        poison.deregistered(&server.into(), at(400));
    }
    poison.expire(at(500));
    let sent = poison.crashes(at(500));
    poison.merge(&sent, at(500));
    assert_eq!(poison.standing(part(BAD)), Standing::Poison);
    assert_eq!(poison.standing(part(FIRST)), Standing::Clear);
    assert_eq!(poison.standing(part(CALLER)), Standing::Clear);
}

/// Servers that start again answer before their registrations are read, so that their versions are
/// unknown; a part that all requests have was refused for their crashes.
#[rstest]
fn a_part_that_is_served_is_cleared_of_crashes_at_servers_of_unknown_version() {
    let mut host = plain(&[]);
    for (number, id) in ["s1", "s2", "s3"].into_iter().enumerate() {
        let now = at(1_000 * number as u64);
        let software = streams::unread_software(&id.into());
        host.server(&routed::Server { software, ..server(id, "a", &[]) }, now);
        let crashed = crash_server(&mut host, with_parts(number as u64, &[FIRST], now), now);
        assert_eq!(crashed.as_deref(), Some(id));
        host.gone(&id.into(), now + at(500));
    }
    assert_eq!(host.poison().standing(part(FIRST)), Standing::Poison);
    host.poison_mut().parts_served([FIRST].into_iter(), SOFTWARE, at(4_000));
    assert_eq!(host.poison().standing(part(FIRST)), Standing::Clear);
}

#[rstest]
fn what_one_host_served_clears_a_part_at_all_hosts() {
    let mut poisons = ["a", "b", "c"].map(|host| Poison::new(host.into()));
    for (number, server) in ["s1", "s2", "s3"].into_iter().enumerate() {
        crash(&mut poisons[number], number as u64, server, &[BAD, CALLER], at(0));
    }
    serve(&mut poisons[2], &[CALLER], at(1));
    for now in [at(100), at(200)] {
        let sent: Vec<Crash> = poisons.iter().flat_map(|poison| poison.crashes(now)).collect();
        poisons.iter_mut().for_each(|poison| poison.merge(&sent, now));
    }
    for poison in &poisons {
        assert_eq!(poison.standing(part(BAD)), Standing::Poison);
        assert_eq!(poison.standing(part(CALLER)), Standing::Clear);
    }
}

#[rstest]
fn a_part_is_remembered_by_hosts_that_only_received_its_crashes() {
    let mut poison = poison();
    for (number, server) in ["s1", "s2", "s3"].into_iter().enumerate() {
        crash(&mut poison, number as u64, server, &[BAD], at(0));
    }
    let mut restarted = Poison::new("b".into());
    for server in ["s1", "s2", "s3"] {
        poison.gone(&server.into(), at(0));
    }
    restarted.merge(&poison.crashes(at(0)), at(0));
    let mut third = Poison::new("c".into());
    third.merge(&restarted.crashes(at(0)), at(0));
    assert!(third.is_refused(part(BAD), SETTLE_TIME));
    third.expire(at(60_000));
    assert!(third.is_refused(part(BAD), at(60_000)), "the ends of its servers are known");
    third.expire(SUSPICION);
    assert_eq!(third.standing(part(BAD)), Standing::Clear);
}

/// Streams of many sound requests are cut off when their servers end by themselves at once.
#[rstest]
fn servers_that_end_by_themselves_put_no_blame_on_what_was_being_served() {
    let servers = ["s1", "s2", "s3", "s4", "s5", "s6"];
    let mut host = plain(&servers);
    for ticket in 1..=20 {
        serve_stream(&mut host, with_parts(ticket, &[FIRST, CALLER], at(0)), at(10 * ticket));
    }
    let mut cut = 0;
    for ticket in 100..130 {
        let spec = with_parts(ticket, &[FIRST, CALLER], at(700));
        cut += usize::from(crash_server(&mut host, spec, at(700)).is_some());
    }
    assert!(6 <= cut, "{cut} streams were cut off");
    for id in &servers[..5] {
        host.gone(&(*id).into(), at(720));
    }
    host.pump(at(2_000));
    let verdict = host.arrive(with_parts(200, &[FIRST, CALLER], at(2_000)), at(2_000));
    assert!(!matches!(verdict, Verdict::Quarantined), "{verdict:?}");
    assert_eq!(host.poison().standing(part(FIRST)), Standing::Clear);
}

#[rstest]
fn a_request_with_a_part_that_crashed_three_servers_reaches_no_other() {
    let mut host = plain(&["s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"]);
    let mut crashed = 0;
    for ticket in 0..40 {
        let now = at(1_000 + 100 * ticket);
        host.pump(now);
        serve_stream(&mut host, with_parts(1_000 + ticket, &[FIRST, CALLER], now), now);
        let spec = with_parts(ticket, &[FIRST, BAD, CALLER], now + at(50));
        if let Some(server) = crash_server(&mut host, spec, now + at(50)) {
            crashed += 1;
            host.gone(&server, now + at(61));
        }
    }
    assert_eq!(crashed, 3, "number of servers that ended");
    let spec = with_parts(100, &[FIRST, BAD, CALLER], at(9_000));
    assert_eq!(host.arrive(spec, at(9_000)), Verdict::Quarantined);
    let sound = serve_stream(&mut host, with_parts(101, &[FIRST, CALLER], at(9_000)), at(9_000));
    assert!(matches!(sound, Verdict::Send(_)), "{sound:?}");
}

/// A stream without length or chunks that is closed looks complete, so it shows nothing of its
/// parts.
#[rstest]
#[case::without_framing(End::Closed, Standing::Suspect)]
#[case::with_framing(End::Completed, Standing::Clear)]
fn only_a_framed_end_clears_a_part(#[case] end: End, #[case] expected: Standing) {
    let mut host = plain(&["s1", "s2", "s3"]);
    for (number, server) in ["x1", "x2"].into_iter().enumerate() {
        crash(host.poison_mut(), 50 + number as u64, server, &[BAD], at(0));
    }
    let Verdict::Send(_) = host.arrive(with_parts(1, &[BAD], at(0)), at(1)) else {
        panic!("the suspect isn't sent")
    };
    host.sent(1, Path::Direct, at(1));
    host.response_started(1, at(10));
    host.first_byte(1, at(11));
    host.ended(1, end, at(12));
    assert_eq!(host.poison().standing(part(BAD)), expected);
}

#[rstest]
fn a_retry_of_a_request_whose_part_has_become_poison_is_not_sent() {
    let mut host = plain(&["s1", "s2", "s3", "s4", "s5"]);
    let spec = RequestSpec { resumable: true, ..with_parts(1, &[BAD], at(0)) };
    let Verdict::Send(_) = host.arrive(spec, at(0)) else { panic!("the request isn't sent") };
    assert!(host.may_send(1, at(0)));
    for (number, server) in ["x1", "x2", "x3"].into_iter().enumerate() {
        crash(host.poison_mut(), 50 + number as u64, server, &[BAD], at(1));
    }
    assert!(!host.may_send(1, at(1)), "the request must not be sent any more");
    let decision =
        host.attempt_failed(1, End::Unreachable(policy::dispatch::Unreachable::Closed), at(2));
    let RetryDecision::GiveUp(Answer::NotRun { cause, .. }) = decision else {
        panic!("{decision:?}")
    };
    assert_eq!(cause, Cause::Poison);
}

#[rstest]
fn requests_with_a_suspected_part_run_one_at_a_time_over_all_hosts() {
    let mut hosts = [plain(&["s1", "s2", "s3", "s4"]), plain(&["s1", "s2", "s3", "s4"])];
    for host in &mut hosts {
        for (number, server) in ["x1", "x2"].into_iter().enumerate() {
            crash(host.poison_mut(), 50 + number as u64, server, &[BAD], at(0));
        }
    }
    let [one, other] = &mut hosts;
    let first = one.arrive(with_parts(1, &[BAD], at(1)), at(1));
    assert!(matches!(first, Verdict::Send(_)), "{first:?}");
    one.sent(1, Path::Direct, at(1));
    assert_eq!(one.arrive(with_parts(2, &[BAD], at(2)), at(2)), Verdict::Wait);
    let mut running = one.poison().crashes(at(3));
    running.iter_mut().for_each(|crash| crash.witness = "b".into());
    assert!(running.iter().any(|crash| crash.isolation == Isolation::Isolated));
    other.poison_mut().merge(&running, at(3));
    assert_eq!(other.arrive(with_parts(3, &[BAD], at(4)), at(4)), Verdict::Wait);
    // Others are not held back, and the first one shows that the part crashes no server.
    assert_eq!(other.arrive(with_parts(4, &[CALLER], at(4)), at(4)), Verdict::Wait);
    let sent = other.pump(at(5));
    assert_eq!(sent.iter().map(|change| change.ticket).collect::<Vec<_>>(), [4]);
    one.first_byte(1, at(10));
    one.delivered(1, 3, at(500));
    assert_eq!(one.poison().standing(part(BAD)), Standing::Clear);
    let changes = one.pump(at(501));
    assert!(changes.iter().any(|change| matches!(change.verdict, Verdict::Send(_))), "{changes:?}");
}

#[rstest]
#[case::request(Subject::Request(7), "0000000000000007", "7")]
#[case::part(Subject::Part(0xbad), "part-0000000000000bad", "\"part-0000000000000bad\"")]
fn a_subject_is_read_as_it_is_written(
    #[case] subject: Subject,
    #[case] name: &str,
    #[case] json: &str,
) {
    assert_eq!(subject.to_string(), name);
    assert_eq!(name.parse(), Ok(subject));
    assert_eq!(serde_json::to_string(&subject).expect("it is written"), json);
    assert_eq!(serde_json::from_str::<Subject>(json).expect("it is read"), subject);
    let bytes = postcard::to_allocvec(&subject).expect("it is written");
    assert_eq!(postcard::from_bytes::<Subject>(&bytes).expect("it is read"), subject);
}

/// Both parts are suspects, and which of them crashes servers isn't known.
#[rstest]
fn a_crash_counts_for_each_suspected_part_of_the_request_that_ran_apart() {
    let mut poison = poison();
    for (number, server) in ["s1", "s2"].into_iter().enumerate() {
        crash(&mut poison, number as u64, server, &[BAD, CALLER], at(0));
    }
    [BAD, CALLER].into_iter().for_each(|id| poison.start_trial(9, part(id), &"s3".into()));
    poison.sent(9, at(1));
    crash(&mut poison, 9, "s3", &[BAD, CALLER], at(2));
    poison.ended(9, at(2));
    for id in [BAD, CALLER] {
        assert_eq!(poison.standing(part(id)), Standing::Suspect, "{id:x}");
    }
    for (number, server) in ["s4", "s5"].into_iter().enumerate() {
        crash(&mut poison, 10 + number as u64, server, &[BAD, CALLER], at(3));
    }
    for id in [BAD, CALLER] {
        assert_eq!(poison.standing(part(id)), Standing::Poison, "{id:x}");
    }
}

/// Hosts that were restarted have forgotten which parts were served. A part that all requests share
/// was at each crash of the one that crashes servers, and must not be refused with it.
#[rstest]
#[case::at_the_third_crash(POISON)]
#[case::before_the_last(TIED_POISON - 1)]
fn a_part_that_was_at_the_same_crashes_is_cleared_by_the_first_request_served(
    #[case] crashes: usize,
) {
    let mut poison = poison();
    for number in 0..crashes {
        let server: backend::Id = format!("s{number}").into();
        crash(&mut poison, number as u64, &server, &[FIRST, BAD], at(0));
        poison.gone(&server, at(1));
    }
    let settled = at(1) + SETTLE_TIME;
    for id in [FIRST, BAD] {
        assert_eq!(poison.standing(part(id)), Standing::Suspect, "{id:x}");
        assert!(!poison.is_refused(part(id), settled), "{id:x}");
    }
    serve(&mut poison, &[FIRST], settled);
    assert_eq!(poison.standing(part(FIRST)), Standing::Clear);
    assert!(poison.is_refused(part(BAD), settled));
}

/// A part that crashes servers is refused after the fifth crash even if no request shows which part
/// it is.
#[rstest]
fn parts_that_stay_tied_are_refused_at_the_last_crash() {
    let mut poison = poison();
    for number in 0..TIED_POISON {
        let server: backend::Id = format!("s{number}").into();
        crash(&mut poison, number as u64, &server, &[FIRST, BAD], at(0));
        poison.gone(&server, at(1));
    }
    assert!(poison.is_refused(part(BAD), at(1) + SETTLE_TIME));
}

#[rstest]
fn a_suspected_part_is_not_sent_twice_while_the_first_connection_is_opened() {
    let mut host = plain(&["s1", "s2", "s3"]);
    for (number, server) in ["x1", "x2"].into_iter().enumerate() {
        crash(host.poison_mut(), 50 + number as u64, server, &[BAD], at(0));
    }
    let first = host.arrive(with_parts(1, &[BAD], at(1)), at(1));
    assert!(matches!(first, Verdict::Send(_)), "{first:?}");
    assert_eq!(host.arrive(with_parts(2, &[BAD], at(2)), at(2)), Verdict::Wait);
}

/// Other hosts need the time to say that they have served the part.
#[rstest]
fn a_part_is_refused_only_after_a_while_though_its_servers_are_gone() {
    let mut poison = poison();
    for (number, server) in ["s1", "s2", "s3"].into_iter().enumerate() {
        crash(&mut poison, number as u64, server, &[BAD], at(0));
        poison.gone(&server.into(), at(1));
    }
    let before = SETTLE_TIME.saturating_sub(at(1));
    assert!(poison.must_wait(part(BAD), before), "it reaches no server meanwhile");
    assert!(!poison.is_refused(part(BAD), before));
    assert!(poison.is_refused(part(BAD), SETTLE_TIME));
}

/// A server that ends long after an answer began was not crashed by its prompt.
#[rstest]
fn a_stream_that_was_beyond_its_beginning_charges_no_part() {
    let mut host = plain(&["s1", "s2"]);
    let spec = RequestSpec { deadline: at(300_000), ..with_parts(1, &[CALLER], at(0)) };
    let Verdict::Send(_) = host.arrive(spec, at(0)) else { panic!("the request isn't sent") };
    host.sent(1, Path::Direct, at(0));
    host.response_started(1, at(5));
    host.first_byte(1, at(10));
    for (event, now) in (1..=200).map(|number| (number, at(1_000 * number))) {
        host.delivered(1, event, now);
    }
    let _ = host.attempt_failed(1, CUT, at(200_500));
    let charged: Vec<Subject> =
        host.poison().crashes(at(200_501)).iter().map(|crash| crash.subject).collect();
    assert_eq!(charged, [Subject::Request(1)]);
}

/// Servers that cut all connections run, as their registrations show. Requests for a part that all of
/// them have wait for that only.
#[rstest]
fn servers_that_stay_registered_put_no_blame_on_a_part() {
    let mut poison = poison();
    for (number, server) in ["s1", "s2", "s3", "s4"].into_iter().enumerate() {
        crash(&mut poison, number as u64, server, &[FIRST], at(0));
    }
    for now in [SETTLE_TIME, at(3_000), at(7_900)] {
        poison.expire(now);
        assert!(!poison.is_refused(part(FIRST), now), "after {now:?}");
    }
    poison.expire(at(8_100));
    assert_eq!(poison.standing(part(FIRST)), Standing::Clear);
}

/// The end of the registration may be known before the connection is found broken.
#[rstest]
fn a_crash_counts_at_a_server_whose_registration_has_ended_before() {
    let mut poison = poison();
    for (number, server) in ["s1", "s2", "s3"].into_iter().enumerate() {
        poison.gone(&server.into(), at(0));
        crash(&mut poison, number as u64, server, &[BAD], at(10));
    }
    assert!(poison.is_refused(part(BAD), at(10) + SETTLE_TIME));
}
