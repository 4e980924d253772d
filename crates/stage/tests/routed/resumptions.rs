//! Single resumptions of streams whose service has servers of two versions.

use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use rstest::rstest;
use standin::routed::{
    caller::RequestSpec,
    host::Host,
    links::Delivery,
    site::Site,
    stream::{Stream, Target, judge},
};
use tokio::time::Instant;

use crate::{
    site::{draft, page},
    versions::{EVENTS, start},
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
