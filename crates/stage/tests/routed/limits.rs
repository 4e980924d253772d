//! Servers that name the rate at which they take requests from all hosts together.

use std::time::Duration;

use http::StatusCode;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::json;
use standin::routed::{
    caller::RequestSpec,
    host::Host,
    server::{Fault, Server, Settings, quota},
    site::Site,
    until,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout},
};

use crate::{
    site::{chat, engine, page, site, usual_site},
    stories::{metrics, value},
};

/// Time from the naming until the limit binds, one window, and a little more.
const JUDGED: Duration = Duration::from_secs(9);

/// Between two requests of a caller. Two servers of 8 slots take far more.
const PAUSE: Duration = Duration::from_millis(40);

/// Time that callers give a request.
const DEADLINE: Duration = Duration::from_secs(2);

/// Part of a limit that is to be used while more is asked for.
const USED: f64 = 0.9;

/// An answer's status, how long it took, and when the caller may come back.
type Answered = (StatusCode, Duration, Option<Duration>);

/// Callers of each host.
const CALLERS: usize = 6;

/// Calls hosts until a moment, each caller once at the least.
async fn press(hosts: &[Host], ask: impl Fn() -> RequestSpec, until: Instant) -> Vec<Answered> {
    let mut callers = JoinSet::new();
    for host in hosts.iter().flat_map(|host| [host; CALLERS]) {
        let (mut caller, ask) = (host.caller(), ask());
        callers.spawn(async move {
            let mut answers = Vec::new();
            loop {
                let (ask, from) = (ask.with_new_id().deadline(Some(DEADLINE)), Instant::now());
                // A host that stands still answers nobody.
                if let Ok(Ok(answer)) = timeout(DEADLINE, caller.fetch(&ask)).await {
                    answers.push((answer.status, from.elapsed(), answer.metadata.retry_after));
                }
                sleep(PAUSE).await;
                if until <= Instant::now() {
                    return answers;
                }
            }
        });
    }
    callers.join_all().await.concat()
}

fn name_limit(server: &Server, limit: Option<&str>) {
    server.script(|script| script.limit = limit.map(Into::into));
}

fn check(site: &Site, ids: &[&str]) {
    for id in ids {
        let excess = site.backend.server(id).quota().excess(|_, _| true);
        assert_eq!(excess, None, "{id}");
    }
}

/// Part of a limit that was used in the last seconds.
fn used(server: &Server, limit: f64, time: Duration) -> f64 {
    let since = server.started_at().elapsed().saturating_sub(time);
    let arrivals = server.quota().arrivals;
    let lately = arrivals.iter().filter(|(_, at)| since < *at).count();
    lately as f64 / (limit * time.as_secs_f64())
}

/// The servers that name a limit, as far as a host knows.
async fn limited(host: &Host) -> Option<f64> {
    value(&metrics(host).await, "cyclamenstage_routed_limited_servers")
}

#[tokio::test]
async fn a_server_gets_no_more_than_its_limit_from_all_hosts_together() {
    let site = site(3).await;
    let began = Instant::now();
    let pressing = press(&site.hosts, page, began + JUDGED);
    let naming = async {
        sleep_until(began + Duration::from_millis(300)).await;
        name_limit(site.backend.server("app-1"), Some("2.1"));
    };
    let (answers, ()) = tokio::join!(pressing, naming);
    check(&site, &["app-1"]);
    let failed: Vec<_> = answers.iter().filter(|(status, ..)| *status != StatusCode::OK).collect();
    assert!(failed.is_empty(), "the other server takes the rest: {failed:?}");
}

/// A server in need may be one that fails, too.
#[rstest]
#[case::no_seal(Fault::Unsealed)]
#[case::another_id(Fault::OtherId)]
#[tokio::test]
async fn a_limit_is_kept_that_only_garbled_answers_name(#[case] fault: Fault) {
    let site = site(3).await;
    let began = Instant::now();
    let pressing = press(&site.hosts, page, began + JUDGED);
    let naming = async {
        sleep_until(began + Duration::from_millis(300)).await;
        site.backend.script(|script| script.default_fault = Some(fault));
        for id in ["app-1", "app-2"] {
            name_limit(site.backend.server(id), Some("0.3"));
        }
    };
    tokio::join!(pressing, naming);
    check(&site, &["app-1", "app-2"]);
}

/// Hosts refuse at once what no server can take in time, and use what the servers take.
#[rstest]
#[case::plain(page(), ["app-1", "app-2"])]
#[case::streams(chat(), ["lm-1", "lm-2"])]
#[tokio::test]
async fn all_servers_of_a_service_may_name_limits(
    #[case] ask: RequestSpec,
    #[case] ids: [&str; 2],
) {
    const LIMIT: f64 = 4.0;
    let site = site(3).await;
    ids.iter().for_each(|id| name_limit(site.backend.server(id), Some("4")));
    // Hosts lend no shares right after their start.
    let warm = Instant::now() + Duration::from_secs(7);
    press(&site.hosts, || ask.clone(), warm).await;
    let answers = press(&site.hosts, || ask.clone(), warm + Duration::from_secs(8)).await;
    check(&site, &ids);
    let used: f64 =
        ids.iter().map(|id| used(site.backend.server(id), LIMIT, Duration::from_secs(8))).sum();
    assert!(USED <= used / 2.0, "{used} of both limits used");
    let refused = |status: StatusCode| status == StatusCode::SERVICE_UNAVAILABLE;
    assert!(answers.iter().all(|(status, ..)| status.is_success() || refused(*status)));
    let refused: Vec<_> = answers.iter().filter(|(status, ..)| refused(*status)).collect();
    assert!(!refused.is_empty(), "twice as much is asked for as the servers take");
    assert!(refused.iter().all(|(_, _, after)| after.is_some()));
    let held = refused.iter().filter(|(_, took, _)| DEADLINE / 2 < *took).count();
    assert_eq!(held, 0, "held until their deadline: {refused:?}");
}

#[tokio::test]
async fn a_host_keeps_to_a_limit_that_only_others_have_seen() {
    let site = site(3).await;
    name_limit(site.backend.server("other-1"), Some("0.5"));
    let deep = || RequestSpec::to(crate::site::HOST, "/pages/deep/x");
    until("the first host has an answer", async || {
        press(&site.hosts[..1], deep, Instant::now()).await;
        limited(&site.hosts[0]).await == Some(1.0)
    })
    .await;
    for host in &site.hosts[1..] {
        let news = until("the news", async || limited(host).await == Some(1.0));
        timeout(quota::BINDING_DELAY, news).await.expect("in force everywhere in time");
    }
    press(&site.hosts[1..], deep, Instant::now() + JUDGED).await;
    check(&site, &["other-1"]);
}

#[tokio::test]
async fn limits_rise_fall_end_and_come_back() {
    let site = site(3).await;
    let began = Instant::now();
    let limits = [Some("9"), Some("1.5"), Some("0"), Some("20"), None, Some("2.5")];
    let naming = async {
        for (step, limit) in limits.into_iter().enumerate() {
            sleep_until(began + Duration::from_millis(2_600) * step as u32).await;
            name_limit(site.backend.server("app-2"), limit);
        }
    };
    let pressing = press(&site.hosts, page, began + Duration::from_secs(22));
    let (answers, ()) = tokio::join!(pressing, naming);
    check(&site, &["app-2"]);
    let failed: Vec<_> = answers.iter().filter(|(status, ..)| *status != StatusCode::OK).collect();
    assert!(failed.is_empty(), "the other server takes the rest: {failed:?}");
}

#[rstest]
#[case::killed(Signal::SIGKILL)]
#[case::frozen(Signal::SIGSTOP)]
#[tokio::test]
async fn no_host_is_needed_for_a_limit_to_be_kept(#[case] signal: Signal) {
    let mut site = site(3).await;
    let began = Instant::now();
    ["app-1", "app-2"].iter().for_each(|id| name_limit(site.backend.server(id), Some("6")));
    press(&site.hosts, page, began + JUDGED).await;
    // Each host in turn, so that each server's owner is among them.
    for place in 0..3 {
        site.hosts[place].signal(signal);
        let others: Vec<usize> = (0..3).filter(|other| *other != place).collect();
        let until = Instant::now() + Duration::from_secs(6);
        let pressing = others
            .iter()
            .map(|other| press(std::slice::from_ref(&site.hosts[*other]), page, until));
        futures_util::future::join_all(pressing).await;
        match signal {
            Signal::SIGSTOP => site.hosts[place].signal(Signal::SIGCONT),
            _ => {
                site.restart(place).await.expect("a host");
                site.hosts[place].wait_until_ready().await;
            }
        }
    }
    check(&site, &["app-1", "app-2"]);
    press(&site.hosts, page, Instant::now() + JUDGED).await;
    check(&site, &["app-1", "app-2"]);
    let used = used(site.backend.server("app-1"), 6.0, Duration::from_secs(3));
    assert!(0.5 < used, "{used} of the limit used after the last host is back");
}

#[rstest]
#[case::negative("-1")]
#[case::not_a_number("NaN")]
#[case::infinite("inf")]
#[case::empty("")]
#[case::words("as many as you like")]
#[case::exponent("1e3")]
#[tokio::test]
async fn a_limit_that_cannot_be_read_changes_nothing(#[case] limit: &str) {
    const REQUESTS: usize = 10;
    let site = usual_site().await;
    let server = site.backend.server("other-1");
    name_limit(server, Some(limit));
    let mut caller = site.hosts[0].caller();
    for _ in 0..REQUESTS {
        let ask = RequestSpec::to(crate::site::HOST, "/pages/deep/x");
        assert_eq!(caller.fetch(&ask).await.unwrap().status, StatusCode::OK);
    }
    let text = metrics(&site.hosts[0]).await;
    let unreadable = value(&text, "cyclamenstage_routed_unreadable_limits_total");
    assert_eq!(unreadable, Some(REQUESTS as f64));
    assert_eq!(limited(&site.hosts[0]).await, Some(0.0));
    let line = "the limit in a server's answer can't be read";
    until("the log says so", async || site.hosts[0].has_logged(line)).await;
    let log = site.hosts[0].log();
    assert_eq!(log.iter().filter(|record| record["message"] == line).count(), 1);
}

#[tokio::test]
async fn a_later_run_of_a_server_begins_without_a_limit() {
    let mut site = site(1).await;
    let run =
        |started_at| Settings { started_at, ..Settings::model("lm-1", "lm", &engine(), &["desk"]) };
    site.backend.restart(run(1_000)).await.expect("its address");
    name_limit(site.backend.server("lm-1"), Some("0.3"));
    let desk = || chat().model("desk").deadline(Some(DEADLINE));
    until("the limit is known", async || {
        press(&site.hosts, desk, Instant::now()).await;
        limited(&site.hosts[0]).await == Some(1.0)
    })
    .await;
    site.backend.restart(run(2_000)).await.expect("its address");
    until("the next run answers", async || {
        press(&site.hosts, desk, Instant::now()).await;
        !site.backend.server("lm-1").runs().is_empty()
    })
    .await;
    for _ in 0..20 {
        let answers = press(&site.hosts, desk, Instant::now() + PAUSE).await;
        assert!(answers.iter().all(|(status, ..)| *status == StatusCode::OK), "{answers:?}");
    }
}

#[tokio::test]
async fn a_change_of_a_limit_is_told_in_the_log() {
    let site = usual_site().await;
    let server = site.backend.server("other-1");
    for limit in [Some("2.5"), Some("4"), None] {
        name_limit(server, limit);
        until("the change is told", async || {
            press(
                &site.hosts,
                || RequestSpec::to(crate::site::HOST, "/pages/deep/x"),
                Instant::now(),
            )
            .await;
            let log = site.hosts[0].log();
            let told = log.iter().rfind(|record| record["kind"] == "limit");
            let now = limit.and_then(|limit| limit.parse::<f64>().ok());
            told.is_some_and(|record| {
                record["server"] == "other-1"
                    && record["from"] == "itself"
                    && record["now"] == json!(now)
            })
        })
        .await;
    }
}
