//! Single resumptions of streams whose service has servers of two versions.

use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use rstest::rstest;
use standin::routed::{
    caller::RequestSpec,
    host::Host,
    links::Delivery,
    server::Settings,
    site::Site,
    store::Refusal,
    stream::{Stream, Target, judge},
};
use tokio::time::{Instant, sleep};

use crate::{
    site::{draft, engine, page},
    versions::{EVENTS, start, start_with},
};

/// Time within which a resumption that can't be served is rejected.
const REJECTION_TIME: Duration = Duration::from_secs(1);

/// Events that a caller receives before it breaks a stream off.
const RECEIVED: u64 = 3;

const STREAMS: usize = 12;

fn target(site: &Site, host: usize, break_after: Option<u64>) -> Target {
    Target { host, caller: site.hosts[host].caller(), break_after }
}

/// Begins a stream at a host, and breaks it off.
async fn begin(site: &Site, host: usize) -> Stream {
    let target = target(site, host, Some(RECEIVED));
    let attempt = Stream::default().attempt(&draft().with_new_prompt(), target).await;
    assert!(attempt.goes_on(), "{attempt:?}");
    Stream { attempts: vec![attempt] }
}

/// Begins streams at a host at the same time, so that its servers share them.
async fn begin_some(site: &Site, host: usize) -> Vec<Stream> {
    let streams = join_all((0..STREAMS).map(|_| begin(site, host))).await;
    let first = streams[0].events().next().expect("an event");
    let is_other = |stream: &Stream| stream.events().any(|event| event.software != first.software);
    assert!(streams.iter().any(is_other), "all streams began at one version");
    streams
}

fn arrivals_of(site: &Site, id: &str) -> usize {
    let arrivals = |server: &standin::routed::server::Server| {
        server.arrivals().iter().filter(|arrival| *arrival.id == *id).count()
    };
    site.backend.servers.iter().map(arrivals).sum()
}

/// Asserts that a host rejects a request at once and sends it to no server.
async fn assert_rejected(site: &Site, host: &Host, request: &RequestSpec) {
    let sent_at = Instant::now();
    let answer = host.caller().fetch(request).await.expect("an answer");
    let took = sent_at.elapsed();
    let rejections = [StatusCode::BAD_REQUEST, StatusCode::SERVICE_UNAVAILABLE];
    let events = answer.stream();
    assert!(rejections.contains(&answer.status), "{} with {events:?}", answer.status);
    assert!(took < REJECTION_TIME, "rejected after {took:?}");
    assert_eq!(arrivals_of(site, &request.id()), 0);
}

#[rstest]
#[case::never_sent(|_: &str, _: &str| draft().take_up("never-sent", RECEIVED))]
#[case::altered(|first: &str, _: &str| draft().take_up(&format!("{first}0"), RECEIVED))]
#[case::empty(|_: &str, _: &str| draft().take_up("", RECEIVED))]
#[case::long(|_: &str, _: &str| draft().take_up(&"r".repeat(8_000), RECEIVED))]
#[case::no_stream(|_: &str, page: &str| draft().take_up(page, RECEIVED))]
#[case::only_an_event(|_: &str, _: &str| draft().resume(RECEIVED))]
#[tokio::test]
async fn a_resumption_that_names_no_known_stream_is_rejected_at_once(
    #[case] resumption: fn(&str, &str) -> RequestSpec,
) {
    let site = start(2, |_| {}).await;
    let stream = begin(&site, 0).await;
    let page = page();
    site.hosts[0].caller().fetch(&page).await.expect("an answer");
    for host in &site.hosts {
        let request = resumption(&stream.attempts[0].id, &page.id()).with_new_prompt();
        assert_rejected(&site, host, &request).await;
    }
}

#[tokio::test]
async fn a_request_that_names_a_stream_but_no_event_joins_nothing() {
    let site = start(2, |_| {}).await;
    let stream = begin(&site, 0).await;
    for host in &site.hosts {
        let request = draft().with_new_prompt().resumes(&stream.attempts[0].id);
        let answer = host.caller().fetch(&request).await.expect("an answer");
        let events = answer.stream().expect("events");
        let is_whole = answer.status == StatusCode::OK && events.len() as u64 == EVENTS;
        let is_rejected = answer.status == StatusCode::BAD_REQUEST;
        assert!(is_whole || is_rejected, "{}: {events:?}", answer.status);
        assert!(events.iter().all(|event| event.software == events[0].software), "{events:?}");
        assert_eq!(arrivals_of(&site, &request.id()), usize::from(is_whole));
    }
}

#[tokio::test]
async fn streams_that_are_taken_up_twice_stay_at_their_version() {
    let site = start(3, |_| {}).await;
    let mut streams = begin_some(&site, 0).await;
    for stream in &mut streams {
        for (host, break_after) in [(1, Some(RECEIVED)), (2, None)] {
            let spec = draft().with_new_prompt();
            let attempt = stream.attempt(&spec, target(&site, host, break_after)).await;
            stream.attempts.push(attempt);
        }
    }
    let breaches: Vec<_> = streams.iter().filter_map(judge::check).collect();
    assert!(breaches.is_empty(), "{} of {STREAMS}: {breaches:#?}", breaches.len());
    let shares = judge::Shares::of(&streams, |_, _| true);
    assert!(shares.are_fair(), "{shares:?}");
}

#[tokio::test]
async fn a_host_that_has_just_started_rejects_what_it_can_not_know() {
    let mut site = start(1, |_| {}).await;
    let streams = begin_some(&site, 0).await;
    site.hosts[0].kill();
    site.add(|_| {}).await.expect("the host starts");
    site.hosts[1].wait_until_ready().await;
    for stream in &streams {
        let request = draft().with_new_prompt().take_up(&stream.attempts[0].id, RECEIVED);
        assert_rejected(&site, &site.hosts[1], &request).await;
    }
    begin(&site, 1).await;
}

#[tokio::test]
async fn a_host_that_is_cut_off_from_the_others_rejects_what_it_can_not_know() {
    let site = start(3, Site::relay_links).await;
    for other in 0..2 {
        site.links().set_delivery(2, other, Delivery::Lost);
        site.links().set_delivery(other, 2, Delivery::Lost);
    }
    let mut streams = begin_some(&site, 0).await;
    for stream in &streams {
        let request = draft().with_new_prompt().take_up(&stream.attempts[0].id, RECEIVED);
        assert_rejected(&site, &site.hosts[2], &request).await;
    }
    begin(&site, 2).await;
    // The hosts that are in touch go on with them.
    for stream in &mut streams {
        let attempt = stream.attempt(&draft().with_new_prompt(), target(&site, 1, None)).await;
        stream.attempts.push(attempt);
    }
    assert!(streams.iter().all(|stream| judge::check(stream).is_none()), "{streams:#?}");
    let shares = judge::Shares::of(&streams, |_, _| true);
    assert!(shares.are_fair(), "{shares:?}");
}

/// How hosts are lost.
#[derive(Clone, Copy, Debug)]
enum Loss {
    AllAtOnce,
    /// Half of them, and the others once these are up again.
    InHalves,
    AllButOne,
}

/// Time in which hosts that have started learn what they need to.
const CONTACT_TIME: Duration = Duration::from_millis(3_300);

async fn lose(site: &mut Site, loss: Loss) {
    let hosts: Vec<usize> = (0..site.hosts.len()).collect();
    let rounds: Vec<&[usize]> = match loss {
        Loss::AllAtOnce => vec![&hosts],
        Loss::InHalves => hosts.chunks(hosts.len() / 2).collect(),
        Loss::AllButOne => vec![&hosts[1..]],
    };
    for lost in rounds {
        lost.iter().for_each(|host| site.hosts[*host].kill());
        sleep(Duration::from_millis(500)).await;
        for host in lost {
            site.restart(*host).await.expect("the host starts");
        }
    }
    site.wait_until_ready().await;
    sleep(CONTACT_TIME).await;
}

/// Takes the streams up, each at the host after the one of its last attempt.
async fn take_up(site: &Site, streams: &mut [Stream], break_after: Option<u64>) {
    for stream in streams {
        let last = stream.attempts.last().expect("an attempt").host;
        let host = (last + 1) % site.hosts.len();
        let target = target(site, host, break_after);
        let attempt = stream.attempt(&draft().with_new_prompt(), target).await;
        stream.attempts.push(attempt);
    }
}

/// No host that had the record of a stream is left.
#[rstest]
#[case::all_at_once(Loss::AllAtOnce)]
#[case::in_halves(Loss::InHalves)]
#[case::all_but_one(Loss::AllButOne)]
#[tokio::test]
async fn streams_of_the_only_version_go_on_after_hosts_were_lost(#[case] loss: Loss) {
    let mut site = start_with(&["7.1"], 4, |_| {}).await;
    let mut streams = join_all((0..STREAMS).map(|number| begin(&site, number % 4))).await;
    lose(&mut site, loss).await;
    take_up(&site, &mut streams, Some(RECEIVED)).await;
    take_up(&site, &mut streams, None).await;
    let breaches: Vec<_> = streams.iter().filter_map(judge::check).collect();
    assert!(breaches.is_empty(), "{} of {STREAMS}: {breaches:#?}", breaches.len());
    let is_whole = |stream: &Stream| stream.events().count() as u64 == EVENTS;
    let whole = streams.iter().filter(|stream| is_whole(stream)).count();
    assert_eq!(whole, STREAMS, "streams that were received whole");
}

/// Which of the versions began a stream is unknown, and no stream may be of two.
#[tokio::test]
async fn streams_of_several_versions_are_rejected_after_all_hosts_were_lost() {
    let mut site = start(4, |_| {}).await;
    let streams = begin_some(&site, 0).await;
    lose(&mut site, Loss::AllAtOnce).await;
    for stream in &streams {
        let request = draft().with_new_prompt().take_up(&stream.attempts[0].id, RECEIVED);
        assert_rejected(&site, &site.hosts[1], &request).await;
    }
}

#[tokio::test]
async fn streams_without_records_are_rejected_while_the_store_is_away() {
    let mut site = start_with(&["7.1"], 2, |_| {}).await;
    let mut streams = join_all((0..STREAMS).map(|_| begin(&site, 0))).await;
    lose(&mut site, Loss::AllAtOnce).await;
    site.backend.store.set_faults_everywhere(|faults| faults.refusal = Some(Refusal::Down));
    for stream in &streams {
        let request = draft().with_new_prompt().take_up(&stream.attempts[0].id, RECEIVED);
        assert_rejected(&site, &site.hosts[1], &request).await;
    }
    site.backend.store.set_faults_everywhere(|faults| faults.refusal = None);
    take_up(&site, &mut streams, None).await;
    let is_whole = |stream: &Stream| stream.events().count() as u64 == EVENTS;
    assert!(streams.iter().all(is_whole), "{streams:#?}");
}

/// Streams may begin at a version only once the store lists it; until then, others serve.
#[tokio::test]
async fn streams_begin_at_a_new_version_once_it_is_listed() {
    let mut site = start_with(&["7.1"], 2, |_| {}).await;
    sleep(Duration::from_secs(2)).await;
    let engine = engine();
    let added = Settings {
        software: "7.2".into(),
        ..Settings::model("lm-new", "lm", &engine, &["welcome"])
    };
    site.backend.add(added).await.expect("the server starts");
    sleep(Duration::from_secs(3)).await;
    let streams = join_all((0..4 * STREAMS).map(|number| begin(&site, number % 2))).await;
    let software = |stream: &Stream| stream.events().next().map(|event| event.software.clone());
    let new = streams.iter().filter(|stream| software(stream).as_deref() == Some("7.2")).count();
    assert!(0 < new, "no stream began at the new version");
    lose(&mut site, Loss::AllAtOnce).await;
    for stream in &streams {
        let request = draft().with_new_prompt().take_up(&stream.attempts[0].id, RECEIVED);
        assert_rejected(&site, &site.hosts[0], &request).await;
    }
}
