//! New connections that come to one host rather than to all alike.

use std::{ops::Range, sync::Arc, time::Duration};

use nix::sys::signal::Signal;
use rstest::rstest;
use standin::routed::{
    caller::{Failure, RequestSpec},
    server::{Fault, Script, Settings},
    site::Site,
};
use tokio::{
    task::JoinSet,
    time::{Instant, interval},
};

use crate::site::{backend, chat, declaration, draft, engine, page, start_site};

const HOSTS: usize = 8;

/// Of this many connections all but one come to one host.
const SKEW: usize = 10;

/// Time within which hosts learn what others know.
const CONTACT: Duration = Duration::from_secs(3);

/// How long connections come to all hosts, to one, and to another.
const EVEN: Duration = Duration::from_secs(4);
const SKEWED: Duration = Duration::from_secs(7);
const MOVED: Duration = Duration::from_secs(7);

/// Least part of the share served before that must be served while connections come to one host.
const MIN_SHARE: f64 = 0.75;

/// Least share that is to be served while connections come to all hosts.
const MIN_BEFORE: f64 = 0.9;

/// What limits the service of requests.
#[derive(Clone, Copy, Debug)]
enum Load {
    /// Nothing.
    Light,
    /// Servers state a limit, of which somewhat over half is used.
    Limited,
    /// One server of two rejects everything, so that every other request needs a second attempt.
    Rejecting,
    /// One server of two fails everything.
    Failing,
}

/// How the host ends that the connections come to.
#[derive(Clone, Copy, Debug)]
enum End {
    Stop,
    Kill,
}

/// A request: when it was sent, and whether it was served. Requests that weren't read are left out.
type Sample = (Instant, bool);

async fn site(load: Load) -> Site {
    let mut backend = backend().await;
    for number in 3..=6 {
        let settings = Settings::model(&format!("lm-{number}"), "lm", &engine(), &["welcome"]);
        backend.add(settings).await.expect("the server starts");
        let settings = Settings::plain(&format!("app-{number}"), "app");
        backend.add(settings).await.expect("the server starts");
    }
    backend.script(|script| {
        script.work_time = Duration::from_millis(20);
        if let Load::Limited = load {
            script.limit = Some(Arc::from("14"));
        }
    });
    let fault = match load {
        Load::Light | Load::Limited => None,
        Load::Rejecting => Some(Fault::NotRun(http::StatusCode::SERVICE_UNAVAILABLE)),
        Load::Failing => Some(Fault::Failed(http::StatusCode::INTERNAL_SERVER_ERROR)),
    };
    let change = |script: &mut Script| script.default_fault = fault;
    ["app-1", "lm-1"].into_iter().for_each(|id| backend.server(id).script(change));
    backend.declare(&declaration());
    let site = start_site(backend, HOSTS).await;
    site.wait_until_ready().await;
    site
}

/// Sends a request on a new connection each 20 ms for a time, of ten nine through one host and one
/// through another; if none is named, through all in turn.
async fn send(site: &Site, hot: Option<usize>, hosts: Range<usize>, time: Duration) -> Vec<Sample> {
    let (start, mut due, mut requests) =
        (Instant::now(), interval(Duration::from_millis(20)), JoinSet::new());
    let specs = [page(), draft(), chat()];
    for number in 0_usize.. {
        if time <= start.elapsed() {
            break;
        }
        let sent_at = due.tick().await;
        let even = hosts.start + number % hosts.len();
        let host = hot.filter(|_| !number.is_multiple_of(SKEW)).unwrap_or(even);
        let mut caller = site.hosts[host].caller();
        let spec: RequestSpec = specs[number % specs.len()].with_new_prompt();
        requests.spawn(async move {
            match caller.fetch(&spec.deadline(Some(Duration::from_secs(2)))).await {
                Err(Failure::Connect | Failure::Closed) => None,
                answer => Some((
                    sent_at,
                    answer.is_ok_and(|answer| answer.status.is_success() && answer.is_complete),
                )),
            }
        });
    }
    requests.join_all().await.into_iter().flatten().collect()
}

/// Part of the requests sent from this moment on that were served.
fn served(samples: &[Sample], from: Instant) -> f64 {
    let counted: Vec<bool> =
        samples.iter().filter(|(at, _)| from <= *at).map(|(_, is_served)| *is_served).collect();
    assert!(20 <= counted.len(), "{} requests are too few to judge", counted.len());
    counted.iter().filter(|is_served| **is_served).count() as f64 / counted.len() as f64
}

#[rstest]
#[tokio::test]
async fn one_host_serves_what_all_served(
    #[values(Load::Light, Load::Limited, Load::Rejecting, Load::Failing)] load: Load,
    #[values(End::Stop, End::Kill)] end: End,
) {
    let mut site = site(load).await;
    let start = Instant::now();
    let even = send(&site, None, 0..HOSTS, EVEN).await;
    let before = served(&even, start + EVEN / 2);
    let skewed_at = Instant::now();
    let skewed = send(&site, Some(0), 0..HOSTS, SKEWED).await;
    match end {
        End::Stop => site.hosts[0].signal(Signal::SIGTERM),
        End::Kill => site.hosts[0].kill(),
    }
    let moved_at = Instant::now();
    let moved = send(&site, Some(1), 1..HOSTS, MOVED).await;
    let (during, after) =
        (served(&skewed, skewed_at + CONTACT), served(&moved, moved_at + CONTACT));
    assert!(MIN_BEFORE <= before, "all hosts serve {before}, soon after their start");
    assert!(MIN_SHARE * before <= during, "one host serves {during} where all served {before}");
    assert!(MIN_SHARE * before <= after, "another host serves {after} where all served {before}");
}
