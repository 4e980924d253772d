//! Servers that limit the rate of requests which all hosts together send them.
//!
//! A server names its limit, in requests per second, in its answers.

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
    site::{chat, engine, page, site, site_with_info_log},
    stories::{metrics, value},
};

/// Duration of a load after which a limit can be checked: the time until a new limit binds, one
/// window of the quota, and some margin.
const OBSERVATION_TIME: Duration = Duration::from_secs(9);

/// Pause of a caller between two requests. Two servers of 8 slots take a far higher rate than this
/// load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

const DEADLINE: Duration = Duration::from_secs(2);

/// Minimum share of a limit that hosts have to use under a load above the limit.
const MIN_UTILIZATION: f64 = 0.9;

/// Status of an answer, time until it arrived, and its `Retry-After`.
type TimedAnswer = (StatusCode, Duration, Option<Duration>);

/// Concurrent callers of each host.
const CALLERS: usize = 6;

/// Sends requests to hosts until a moment; each caller sends at least one.
async fn send_load(
    hosts: &[Host],
    request: impl Fn() -> RequestSpec,
    until: Instant,
) -> Vec<TimedAnswer> {
    let mut callers = JoinSet::new();
    for host in hosts.iter().flat_map(|host| [host; CALLERS]) {
        let (mut caller, request) = (host.caller(), request());
        callers.spawn(async move {
            let mut answers = Vec::new();
            loop {
                let (request, sent_at) =
                    (request.with_new_id().deadline(Some(DEADLINE)), Instant::now());
                // A stopped or killed host gives no answer.
                if let Ok(Ok(answer)) = timeout(DEADLINE, caller.fetch(&request)).await {
                    answers.push((answer.status, sent_at.elapsed(), answer.metadata.retry_after));
                }
                sleep(REQUEST_INTERVAL).await;
                if until <= Instant::now() {
                    return answers;
                }
            }
        });
    }
    callers.join_all().await.concat()
}

fn set_limit(server: &Server, limit: Option<&str>) {
    server.script(|script| script.limit = limit.map(Into::into));
}

fn check_quotas(site: &Site, ids: &[&str]) {
    for id in ids {
        let excess = site.backend.server(id).quota().excess(|_, _| true);
        assert_eq!(excess, None, "{id}");
    }
}

/// Share of a limit that was used in the last `time` of the server's run.
fn utilization(server: &Server, limit: f64, time: Duration) -> f64 {
    let since = server.started_at().elapsed().saturating_sub(time);
    let arrivals = server.quota().arrivals;
    let recent = arrivals.iter().filter(|(_, at)| since < *at).count();
    recent as f64 / (limit * time.as_secs_f64())
}

/// Number of servers with a limit, by the metrics of a host.
async fn limited_servers(host: &Host) -> Option<f64> {
    value(&metrics(host).await, "cyclamenstage_routed_limited_servers")
}

#[tokio::test]
async fn a_server_gets_no_more_than_its_limit_from_all_hosts_together() {
    let site = site(3).await;
    let began = Instant::now();
    let load = send_load(&site.hosts, page, began + OBSERVATION_TIME);
    let limit_changes = async {
        sleep_until(began + Duration::from_millis(300)).await;
        set_limit(site.backend.server("app-1"), Some("2.1"));
    };
    let (answers, ()) = tokio::join!(load, limit_changes);
    check_quotas(&site, &["app-1"]);
    let failed: Vec<_> = answers.iter().filter(|(status, ..)| *status != StatusCode::OK).collect();
    assert!(failed.is_empty(), "the other server could have taken the rest: {failed:?}");
}

/// An overloaded server may state its limit only in answers that are otherwise invalid. Hosts apply
/// that limit, too.
#[rstest]
#[case::no_seal(Fault::Unsealed)]
#[case::another_id(Fault::OtherId)]
#[tokio::test]
async fn a_limit_is_kept_that_only_garbled_answers_name(#[case] fault: Fault) {
    let site = site(3).await;
    let began = Instant::now();
    let load = send_load(&site.hosts, page, began + OBSERVATION_TIME);
    let limit_changes = async {
        sleep_until(began + Duration::from_millis(300)).await;
        site.backend.script(|script| script.default_fault = Some(fault));
        for id in ["app-1", "app-2"] {
            set_limit(site.backend.server(id), Some("0.3"));
        }
    };
    tokio::join!(load, limit_changes);
    check_quotas(&site, &["app-1", "app-2"]);
}

/// Hosts refuse at once each request that no server can take before its deadline, and use at least
/// [`MIN_UTILIZATION`] of the limits.
#[rstest]
#[case::plain(page(), ["app-1", "app-2"])]
#[case::streams(chat(), ["lm-1", "lm-2"])]
#[tokio::test]
async fn all_servers_of_a_service_may_name_limits(
    #[case] request: RequestSpec,
    #[case] ids: [&str; 2],
) {
    const LIMIT: f64 = 4.0;
    let site = site(3).await;
    ids.iter().for_each(|id| set_limit(site.backend.server(id), Some("4")));
    // Hosts don't lend each other shares of a limit right after their start.
    let warmed_up = Instant::now() + Duration::from_secs(7);
    send_load(&site.hosts, || request.clone(), warmed_up).await;
    let answers =
        send_load(&site.hosts, || request.clone(), warmed_up + Duration::from_secs(8)).await;
    check_quotas(&site, &ids);
    let utilization: f64 = ids
        .iter()
        .map(|id| utilization(site.backend.server(id), LIMIT, Duration::from_secs(8)))
        .sum();
    assert!(MIN_UTILIZATION <= utilization / 2.0, "only {utilization} of two limits used");
    let refused = |status: StatusCode| status == StatusCode::SERVICE_UNAVAILABLE;
    assert!(answers.iter().all(|(status, ..)| status.is_success() || refused(*status)));
    let refused: Vec<_> = answers.iter().filter(|(status, ..)| refused(*status)).collect();
    assert!(!refused.is_empty(), "no request was refused at twice the rate of both limits");
    assert!(refused.iter().all(|(_, _, after)| after.is_some()));
    let delayed = refused.iter().filter(|(_, took, _)| DEADLINE / 2 < *took).count();
    assert_eq!(delayed, 0, "refused only after half of the deadline: {refused:?}");
}

#[tokio::test]
async fn a_host_keeps_to_a_limit_that_only_others_have_seen() {
    let site = site(3).await;
    set_limit(site.backend.server("other-1"), Some("0.5"));
    let deep = || RequestSpec::to(crate::site::HOST, "/pages/deep/x");
    until("the first host knows the limit", async || {
        send_load(&site.hosts[..1], deep, Instant::now()).await;
        limited_servers(&site.hosts[0]).await == Some(1.0)
    })
    .await;
    for host in &site.hosts[1..] {
        let learned = until("the limit is known to the other host", async || {
            limited_servers(host).await == Some(1.0)
        });
        timeout(quota::BINDING_DELAY, learned)
            .await
            .expect("every host knows the limit before it binds");
    }
    send_load(&site.hosts[1..], deep, Instant::now() + OBSERVATION_TIME).await;
    check_quotas(&site, &["other-1"]);
}

#[tokio::test]
async fn limits_rise_fall_end_and_come_back() {
    let site = site(3).await;
    let began = Instant::now();
    let limits = [Some("9"), Some("1.5"), Some("0"), Some("20"), None, Some("2.5")];
    let limit_changes = async {
        for (step, limit) in limits.into_iter().enumerate() {
            sleep_until(began + Duration::from_millis(2_600) * step as u32).await;
            set_limit(site.backend.server("app-2"), limit);
        }
    };
    let load = send_load(&site.hosts, page, began + Duration::from_secs(22));
    let (answers, ()) = tokio::join!(load, limit_changes);
    check_quotas(&site, &["app-2"]);
    let failed: Vec<_> = answers.iter().filter(|(status, ..)| *status != StatusCode::OK).collect();
    assert!(failed.is_empty(), "the other server could have taken the rest: {failed:?}");
}

#[rstest]
#[case::killed(Signal::SIGKILL)]
#[case::frozen(Signal::SIGSTOP)]
#[tokio::test]
async fn no_host_is_needed_for_a_limit_to_be_kept(#[case] signal: Signal) {
    let mut site = site(3).await;
    let began = Instant::now();
    ["app-1", "app-2"].iter().for_each(|id| set_limit(site.backend.server(id), Some("6")));
    send_load(&site.hosts, page, began + OBSERVATION_TIME).await;
    // Each host in turn, so that the owner of each server's quota is among them.
    for index in 0..3 {
        site.hosts[index].signal(signal);
        let others: Vec<usize> = (0..3).filter(|other| *other != index).collect();
        let until = Instant::now() + Duration::from_secs(6);
        let load = others
            .iter()
            .map(|other| send_load(std::slice::from_ref(&site.hosts[*other]), page, until));
        futures_util::future::join_all(load).await;
        match signal {
            Signal::SIGSTOP => site.hosts[index].signal(Signal::SIGCONT),
            _ => {
                site.restart(index).await.expect("the host starts");
                site.hosts[index].wait_until_ready().await;
            }
        }
    }
    check_quotas(&site, &["app-1", "app-2"]);
    send_load(&site.hosts, page, Instant::now() + OBSERVATION_TIME).await;
    check_quotas(&site, &["app-1", "app-2"]);
    let utilization = utilization(site.backend.server("app-1"), 6.0, Duration::from_secs(3));
    assert!(0.5 < utilization, "only {utilization} of the limit used after the last host is back");
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
    let site = site_with_info_log().await;
    let server = site.backend.server("other-1");
    set_limit(server, Some(limit));
    let mut caller = site.hosts[0].caller();
    for _ in 0..REQUESTS {
        let request = RequestSpec::to(crate::site::HOST, "/pages/deep/x");
        assert_eq!(caller.fetch(&request).await.unwrap().status, StatusCode::OK);
    }
    let text = metrics(&site.hosts[0]).await;
    let unreadable = value(&text, "cyclamenstage_routed_unreadable_limits_total");
    assert_eq!(unreadable, Some(REQUESTS as f64));
    assert_eq!(limited_servers(&site.hosts[0]).await, Some(0.0));
    let line = "the limit in a server's answer can't be read";
    until("the host logs the error", async || site.hosts[0].has_logged(line)).await;
    let log = site.hosts[0].log();
    assert_eq!(log.iter().filter(|record| record["message"] == line).count(), 1);
}

#[tokio::test]
async fn a_later_run_of_a_server_begins_without_a_limit() {
    let mut site = site(1).await;
    let run =
        |started_at| Settings { started_at, ..Settings::model("lm-1", "lm", &engine(), &["desk"]) };
    site.backend.restart(run(1_000)).await.expect("the address is free again");
    set_limit(site.backend.server("lm-1"), Some("0.3"));
    let desk = || chat().model("desk").deadline(Some(DEADLINE));
    until("the limit is known", async || {
        send_load(&site.hosts, desk, Instant::now()).await;
        limited_servers(&site.hosts[0]).await == Some(1.0)
    })
    .await;
    site.backend.restart(run(2_000)).await.expect("the address is free again");
    until("the next run answers", async || {
        send_load(&site.hosts, desk, Instant::now()).await;
        !site.backend.server("lm-1").runs().is_empty()
    })
    .await;
    for _ in 0..20 {
        let answers = send_load(&site.hosts, desk, Instant::now() + REQUEST_INTERVAL).await;
        assert!(answers.iter().all(|(status, ..)| *status == StatusCode::OK), "{answers:?}");
    }
}

#[tokio::test]
async fn a_change_of_a_limit_is_told_in_the_log() {
    let site = site_with_info_log().await;
    let server = site.backend.server("other-1");
    for limit in [Some("2.5"), Some("4"), None] {
        set_limit(server, limit);
        until("the change of the limit is logged", async || {
            send_load(
                &site.hosts,
                || RequestSpec::to(crate::site::HOST, "/pages/deep/x"),
                Instant::now(),
            )
            .await;
            let log = site.hosts[0].log();
            let last = log.iter().rfind(|record| record["kind"] == "limit");
            let now = limit.and_then(|limit| limit.parse::<f64>().ok());
            last.is_some_and(|record| {
                record["server"] == "other-1"
                    && record["from"] == "itself"
                    && record["now"] == json!(now)
            })
        })
        .await;
    }
}
