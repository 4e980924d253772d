//! Identification of organisations: whose key a caller presents, and what servers are told of it.

use std::time::Duration;

use http::{Method, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};
use standin::routed::{
    caller::{Answer, RequestSpec},
    server::{Arrival, Fault, Run},
    site::{Backend, Customer, Site},
    until,
};
use tokio::time::Instant;
use types::routed::{Declaration, Kind, Route};

use crate::{
    site::{HOST, backend, chat, declaration, draft, page, route, start_site, status_of, ticket},
    stories::report,
};

pub const HARBOUR: &str = "harbour";
pub const MILL: &str = "mill";
pub const HARBOUR_KEY: &str = "harbour-key-0815";
pub const MILL_KEY: &str = "mill-key-4711";
pub const SPARE_KEY: &str = "spare-key-1234";

/// Time within which a request without a known key is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// The shared declaration with a public route, as this version.
pub fn declaration_of(version: u64) -> Declaration {
    let mut declared = declaration();
    declared.version = version;
    let open = route("/open/", Kind::Idempotent, &[("app", 1)]);
    declared.routes.push(Route { public: true, ..open });
    declared
}

/// Organisations of which the first one holds these keys.
pub fn customers(harbour: &[&str]) -> Vec<Customer> {
    vec![Customer::new(HARBOUR, harbour), Customer::new(MILL, &[MILL_KEY])]
}

/// Whether requests that run when their key is removed are ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Revocation {
    Lenient,
    Strict,
}

pub async fn site_with(customers: &[Customer], revocation: Revocation) -> Site {
    let backend: Backend = backend().await;
    backend.declare_with(&declaration_of(3), customers);
    let mut site = start_site(backend, 0).await;
    let strict = revocation == Revocation::Strict;
    site.add(|settings| {
        settings["routed"]["revocation"] = json!({"strict": strict, "within_ms": 5000});
        // Written to standard output, the log also has the steps of requests.
        settings["log"] = json!({"level": "debug"});
    })
    .await
    .expect("the host starts");
    site.wait_until_ready().await;
    site
}

pub async fn site() -> Site {
    site_with(&customers(&[HARBOUR_KEY]), Revocation::Lenient).await
}

fn open() -> RequestSpec {
    RequestSpec::to(HOST, "/open/x")
}

pub fn runs(site: &Site) -> Vec<Run> {
    let mut runs: Vec<Run> = site.backend.servers.iter().flat_map(|server| server.runs()).collect();
    runs.sort_by_key(|run| run.started_at);
    runs
}

pub fn arrivals(site: &Site) -> Vec<Arrival> {
    site.backend.servers.iter().flat_map(|server| server.arrivals()).collect()
}

/// Asserts that every server got these names of organisations, and no key.
fn assert_told(site: &Site, names: &[&str]) {
    for arrival in arrivals(site) {
        assert_eq!(arrival.customers, names, "{arrival:?}");
        assert!(!arrival.has_key, "a server got a key: {arrival:?}");
    }
}

/// Asserts that no key is in the log of a host, which is written with all details.
pub fn assert_no_key_logged(site: &Site) {
    for host in &site.hosts {
        let log = std::fs::read_to_string(host.log_file()).expect("the log is read");
        assert!(!log.is_empty());
        for key in [HARBOUR_KEY, MILL_KEY, SPARE_KEY] {
            assert!(!log.contains(key), "{} logged a key", host.name);
        }
    }
}

#[rstest]
#[case::missing(|spec: RequestSpec| spec)]
#[case::empty(|spec: RequestSpec| spec.key(""))]
#[case::unknown(|spec: RequestSpec| spec.key("harbour-key-0816"))]
#[case::longer_than_a_known_one(|spec: RequestSpec| spec.key(format!("{HARBOUR_KEY}x")))]
#[case::twice(|spec: RequestSpec| spec.key(HARBOUR_KEY).key(HARBOUR_KEY))]
#[case::two_known_ones(|spec: RequestSpec| spec.key(HARBOUR_KEY).key(MILL_KEY))]
#[case::two_in_one(|spec: RequestSpec| spec.key(format!("{HARBOUR_KEY},{MILL_KEY}")))]
#[case::too_long(|spec: RequestSpec| spec.key("k".repeat(257)))]
#[case::not_ascii(|spec: RequestSpec| spec.key("cl\u{e9}"))]
#[case::not_utf8(|spec: RequestSpec| spec.key(b"k\xff"))]
#[case::an_organisation_by_name(|spec: RequestSpec| spec.claims(HARBOUR))]
#[tokio::test]
async fn a_request_without_a_known_key_is_refused_and_reaches_no_server(
    #[case] change: fn(RequestSpec) -> RequestSpec,
) {
    let site = site().await;
    let host = &site.hosts[0];
    for spec in [page(), ticket(), chat(), draft()] {
        let sent_at = Instant::now();
        let status = status_of(host, &change(spec)).await;
        let took = sent_at.elapsed();
        assert_eq!(status, Some(StatusCode::UNAUTHORIZED));
        assert!(took < REFUSAL_TIME, "refused after {took:?}");
    }
    assert_eq!(arrivals(&site).len(), 0, "a request without a known key reached a server");
    assert_eq!(status_of(host, &page().key(HARBOUR_KEY)).await, Some(StatusCode::OK));
    assert_no_key_logged(&site);
}

#[tokio::test]
async fn the_longest_key_is_known() {
    let key = "k".repeat(256);
    let site = site_with(&customers(&[&key]), Revocation::Lenient).await;
    assert_eq!(status_of(&site.hosts[0], &page().key(&key)).await, Some(StatusCode::OK));
}

/// Guards against a body that is received, or a queue that is entered, before the key is checked.
#[tokio::test]
async fn a_request_without_a_known_key_is_refused_while_all_servers_are_busy() {
    let site = site().await;
    site.backend.script(|script| script.work_time = Duration::from_secs(2));
    let busy = (0..40).map(|_| {
        let mut caller = site.hosts[0].caller();
        tokio::spawn(async move { caller.fetch(&page().key(HARBOUR_KEY)).await })
    });
    let busy: Vec<_> = busy.collect();
    until("the servers are busy", async || 16 <= site.backend.runs()).await;
    let sent_at = Instant::now();
    assert_eq!(status_of(&site.hosts[0], &page()).await, Some(StatusCode::UNAUTHORIZED));
    assert!(sent_at.elapsed() < REFUSAL_TIME, "refused after {:?}", sent_at.elapsed());
    busy.iter().for_each(|task| task.abort());
}

#[rstest]
#[case::with_a_key(open().key(HARBOUR_KEY), &[HARBOUR])]
#[case::without_a_key(open(), &[])]
#[case::with_an_unknown_key(open().key(SPARE_KEY), &[])]
#[case::with_two_keys(open().key(HARBOUR_KEY).key(MILL_KEY), &[])]
#[tokio::test]
async fn a_public_route_needs_no_key(#[case] spec: RequestSpec, #[case] names: &[&str]) {
    let site = site().await;
    let spec = spec.claims(MILL).claims(HARBOUR);
    assert_eq!(status_of(&site.hosts[0], &spec).await, Some(StatusCode::OK));
    assert_eq!(arrivals(&site).len(), 1);
    assert_told(&site, names);
}

/// Guards against a header that only the first attempt of a request gets.
#[rstest]
#[case::not_run(Fault::NotRun(StatusCode::SERVICE_UNAVAILABLE))]
#[case::failed(Fault::Failed(StatusCode::INTERNAL_SERVER_ERROR))]
#[case::lost(Fault::Lost)]
#[tokio::test]
async fn retries_name_the_organisation_that_the_host_has_found(#[case] fault: Fault) {
    let site = site().await;
    for server in ["app-1", "app-2"] {
        site.backend.server(server).script(|script| script.faults = [fault].into());
    }
    for _ in 0..4 {
        let spec = page().key(HARBOUR_KEY).claims(MILL);
        let _ = site.hosts[0].caller().fetch(&spec).await;
    }
    let arrivals = arrivals(&site);
    let is_retried = |one: &Arrival| 1 < arrivals.iter().filter(|other| other.id == one.id).count();
    assert!(arrivals.iter().any(is_retried), "no request was retried: {arrivals:?}");
    assert_told(&site, &[HARBOUR]);
}

/// Sends streams with a new prompt each until the server that fails gets one. Returns the answer to
/// that.
async fn broken_stream(site: &Site, spec: &RequestSpec) -> Answer {
    let server = site.backend.server("lm-1");
    server.script(|script| script.faults = [Fault::Broken { events: 3 }].into());
    loop {
        let answer = site.hosts[0].caller().fetch(&spec.with_new_prompt()).await.unwrap();
        if !server.runs().is_empty() {
            return answer;
        }
    }
}

#[tokio::test]
async fn resumed_streams_name_the_organisation_that_the_host_has_found() {
    let site = site().await;
    let answer = broken_stream(&site, &draft().key(HARBOUR_KEY).claims(MILL)).await;
    assert_eq!(answer.events(), vec![1, 2, 3, 4, 5]);
    let resumed = arrivals(&site).len();
    assert!(2 <= resumed, "the stream was not resumed");
    assert_told(&site, &[HARBOUR]);
}

/// Guards against operators who can find the organisation of a request by its key only.
#[tokio::test]
async fn the_trace_of_a_request_names_its_organisation() {
    let site = site().await;
    let spec = page().key(HARBOUR_KEY);
    assert_eq!(status_of(&site.hosts[0], &spec).await, Some(StatusCode::OK));
    let is_named = |line: &Value| line["kind"] == "ended" && line["customer"] == HARBOUR;
    until("the trace names the organisation", async || site.hosts[0].log().iter().any(is_named))
        .await;
    let lines = report(&site, &spec.id()).await.json["lines"].clone();
    let kinds: Vec<&Value> = lines.as_array().into_iter().flatten().collect();
    let named =
        |kind: &str| kinds.iter().any(|line| line["kind"] == kind && line["customer"] == HARBOUR);
    assert!(named("arrived") && named("ended"), "{lines:#}");
}

/// Guards against a queue that goes by the priorities of routes, which are all alike here.
#[tokio::test]
async fn the_priority_of_an_organisation_precedes_that_of_its_route() {
    const FIRST: usize = 40;
    const URGENT: usize = 6;
    let harbour = Customer { priority: Some(0), ..Customer::new(HARBOUR, &[HARBOUR_KEY]) };
    let mill = Customer { priority: Some(7), ..Customer::new(MILL, &[MILL_KEY]) };
    let site = site_with(&[harbour, mill], Revocation::Lenient).await;
    let server = site.backend.server("other-1");
    server.script(|script| script.work_time = Duration::from_millis(300));
    let send = |key: &'static str| {
        let mut caller = site.hosts[0].caller();
        let spec = RequestSpec::to(HOST, "/pages/deep/x").key(key);
        tokio::spawn(async move { caller.fetch(&spec).await })
    };
    let mut sending: Vec<_> = (0..FIRST).map(|_| send(MILL_KEY)).collect();
    until("the server is full", async || 8 <= server.runs().len()).await;
    sending.extend((0..URGENT).map(|_| send(HARBOUR_KEY)));
    for sent in sending {
        assert_eq!(sent.await.unwrap().expect("an answer").status, StatusCode::OK);
    }
    let order: Vec<String> =
        runs(&site).into_iter().flat_map(|run| run.request.customers).collect();
    let last = order.iter().rposition(|name| name == HARBOUR).expect("they ran");
    assert!(last + 8 < order.len(), "the urgent requests waited for others: {order:?}");
}

#[rstest]
#[case::one_key(vec![Customer::new(HARBOUR, &[SPARE_KEY]), Customer::new(MILL, &[SPARE_KEY])], MILL)]
#[case::one_name(vec![Customer::new(MILL, &[SPARE_KEY]), Customer::new(MILL, &[MILL_KEY])], MILL)]
#[case::no_valid_name(vec![Customer::new("a\nb", &[SPARE_KEY])], "number 1")]
#[tokio::test]
async fn organisations_that_cannot_be_told_apart_are_refused(
    #[case] faulty: Vec<Customer>,
    #[case] named: &str,
) {
    let site = site().await;
    site.backend.declare_with(&declaration_of(4), &faulty);
    site.wait_until_observed().await;
    let host = &site.hosts[0];
    assert_eq!(status_of(host, &page().key(SPARE_KEY)).await, Some(StatusCode::UNAUTHORIZED));
    assert_eq!(status_of(host, &page().key(HARBOUR_KEY)).await, Some(StatusCode::OK));
    let is_named = || {
        let log = std::fs::read_to_string(host.log_file()).expect("the log is read");
        log.lines().any(|line| line.contains("ERROR") && line.contains(named))
    };
    until("the host names the entry", async || is_named()).await;
    assert_no_key_logged(&site);
    // A later declaration without the fault comes into force.
    site.backend.declare_with(&declaration_of(5), &customers(&[HARBOUR_KEY, SPARE_KEY]));
    until("the corrected declaration is in force", async || {
        status_of(host, &page().key(SPARE_KEY)).await == Some(StatusCode::OK)
    })
    .await;
}

/// Guards deployments without organisations: nothing is checked, and headers pass unchanged.
#[tokio::test]
async fn a_declaration_without_organisations_identifies_nobody() {
    let site = crate::site::site(1).await;
    let spec = page().key(SPARE_KEY).claims(HARBOUR);
    assert_eq!(status_of(&site.hosts[0], &spec).await, Some(StatusCode::OK));
    let arrivals = arrivals(&site);
    assert_eq!(arrivals[0].customers, [HARBOUR]);
    assert!(arrivals[0].has_key);
}

/// Guards against a request body that is needed before the refusal.
#[tokio::test]
async fn a_large_request_without_a_known_key_is_refused() {
    let site = site().await;
    let spec = RequestSpec::to(HOST, "/tickets/x").with_body(Method::POST, vec![b'x'; 1_000_000]);
    let answer = site.hosts[0].caller().fetch(&spec).await;
    assert!(answer.is_ok_and(|answer| answer.status == StatusCode::UNAUTHORIZED));
    assert_eq!(arrivals(&site).len(), 0);
}
