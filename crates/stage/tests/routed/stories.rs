//! `cyclamenctl explain` over the hosts' logs for finished requests, and the metrics.

use std::{path::PathBuf, time::Duration};

use bytes::Bytes;
use clap::Parser;
use ctl::{flags::Flags, report::Report};
use http::{Request, StatusCode, header};
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::{Value, json};
use standin::routed::{
    caller::{Answer, Caller, RequestSpec},
    host::Host,
    server::{Fault, Settings},
    site::Site,
    until,
};

use crate::site::{
    backend, chat, declaration, draft, page, site_with_info_log, start_site, ticket,
};

const DEADLINE: Duration = Duration::from_secs(2);
const FULL: Fault = Fault::NotRun(StatusCode::SERVICE_UNAVAILABLE);

/// Lines that `cyclamenctl explain` finds for a request in the logs of all hosts.
async fn explain(site: &Site, id: &str) -> Vec<Value> {
    let report = report(site, id).await.json;
    report["lines"].as_array().cloned().unwrap_or_default()
}

/// Report of `cyclamenctl explain` with these arguments, separated by spaces, over all hosts' logs.
pub async fn report(site: &Site, query: &str) -> Report {
    let logs: Vec<PathBuf> = site.hosts.iter().map(|host| host.log_file().to_owned()).collect();
    let query: Vec<PathBuf> = query.split(' ').map(Into::into).collect();
    let report = tokio::task::spawn_blocking(move || {
        let arguments = ["cyclamenctl".into(), "explain".into()].into_iter().chain(query);
        let arguments = arguments.chain(["--logs".into()]).chain(logs);
        Flags::try_parse_from(arguments)
            .expect("the flags are valid")
            .report()
            .expect("the logs can be read")
    });
    report.await.expect("the command doesn't panic")
}

/// Lines for a request, once the hosts have logged its end.
pub async fn finished_lines(site: &Site, id: &str) -> Vec<Value> {
    let mut lines = Vec::new();
    until("the end of the request is logged", async || {
        lines = explain(site, id).await;
        lines.iter().any(|line| line["kind"] == "ended")
    })
    .await;
    lines
}

pub fn of_kind<'a>(lines: &'a [Value], kind: &str) -> Vec<&'a Value> {
    lines.iter().filter(|line| line["kind"] == kind).collect()
}

async fn ask_with_fault(fault: Fault, request: &RequestSpec) -> (Site, Answer) {
    let site = site_with_info_log().await;
    site.backend.script(|script| script.default_fault = Some(fault));
    let answer = site.hosts[0].caller().fetch(request).await.unwrap();
    (site, answer)
}

pub async fn metrics(host: &Host) -> String {
    let request = Request::get("/metrics")
        .header(header::HOST, host.operators().to_string())
        .body(Bytes::new())
        .unwrap();
    let mut caller = Caller::new(host.operators());
    let answer = caller.send(request).await.unwrap().finish().await.unwrap();
    String::from_utf8(answer.body.to_vec()).unwrap()
}

/// Value of the first series whose line begins with `series`, in the text of the metrics page.
pub fn value(text: &str, series: &str) -> Option<f64> {
    let line = text.lines().find(|line| line.starts_with(series))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Waits until a host has its share of the retries of a service, which it has once its registration
/// has reached the store.
pub async fn wait_for_retries(host: &Host, service: &str) {
    let series = format!("cyclamenstage_routed_budget{{service=\"{service}\"}}");
    until("the host has retries", async || {
        value(&metrics(host).await, &series).is_some_and(|left| 1.0 <= left)
    })
    .await;
}

#[rstest]
#[case::idempotent(page())]
#[case::non_idempotent(ticket())]
#[case::stream(chat())]
#[tokio::test]
async fn a_refusal_is_explained(#[case] request: RequestSpec) {
    let request = request.deadline(Some(DEADLINE));
    let (site, answer) = ask_with_fault(FULL, &request).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let lines = finished_lines(&site, &request.id()).await;

    assert_eq!(of_kind(&lines, "arrived")[0]["version"], 3);
    let ended = of_kind(&lines, "attempt-ended");
    assert!(!ended.is_empty(), "{lines:#?}");
    for attempt in ended {
        assert_eq!((&attempt["outcome"], &attempt["ran"]), (&json!("full"), &json!("did-not-run")));
    }
    let refused = of_kind(&lines, "refused");
    assert_eq!(refused.len(), 1, "{lines:#?}");
    let end = of_kind(&lines, "ended")[0];
    assert_eq!((&end["outcome"], &end["status"]), (&json!("refused"), &json!(503)));
    assert_eq!(end["why"], refused[0]["why"]);
    assert!(
        !of_kind(&lines, "declaration").is_empty(),
        "no declaration is given as the basis of the decision: {lines:#?}"
    );

    let text = metrics(&site.hosts[0]).await;
    let series = format!(
        "cyclamenstage_routed_refusals_total{{cause=\"{}\"}}",
        end["why"].as_str().unwrap()
    );
    assert_eq!(value(&text, &series), Some(1.0), "{text}");
}

/// With retry budget left, a request that no server ran is refused because its attempts are used up
/// or all servers are full.
#[tokio::test]
async fn a_refusal_with_budget_left_is_not_put_down_to_it() {
    let backend = backend().await;
    backend.declare(&declaration());
    let mut site = start_site(backend, 0).await;
    site.add(|settings| {
        settings["log"] = json!({"level": "info"});
        settings["routed"]["retry"]["extra"] = json!(1000);
    })
    .await
    .unwrap();
    site.wait_until_ready().await;
    site.backend.script(|script| script.default_fault = Some(FULL));
    let request = ticket().deadline(Some(DEADLINE));
    let answer = site.hosts[0].caller().fetch(&request).await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let lines = finished_lines(&site, &request.id()).await;
    let why = of_kind(&lines, "ended")[0]["why"].clone();
    assert!([json!("attempts"), json!("full")].contains(&why), "{lines:#?}");
}

#[tokio::test]
async fn a_request_that_no_route_takes_is_explained() {
    let site = site_with_info_log().await;
    let request = RequestSpec::to("nowhere.example", "/");
    site.hosts[0].caller().fetch(&request).await.unwrap();
    let lines = finished_lines(&site, &request.id()).await;
    let end = of_kind(&lines, "ended")[0];
    assert_eq!((&end["outcome"], &end["why"]), (&json!("refused"), &json!("no-route")));
}

#[rstest]
#[case::lost(Fault::Lost, "cut")]
#[case::garbled(Fault::Garbled, "garbled")]
#[tokio::test]
async fn a_failure_after_a_server_had_it_is_explained(#[case] fault: Fault, #[case] outcome: &str) {
    let request = ticket();
    let (site, answer) = ask_with_fault(fault, &request).await;
    let lines = finished_lines(&site, &request.id()).await;

    let attempts = of_kind(&lines, "attempt");
    assert_eq!(attempts.len(), 1, "{lines:#?}");
    let server = attempts[0]["server"].as_str().unwrap();
    assert_eq!(site.backend.server(server).runs_of(&request.id()), 1);
    let ended = of_kind(&lines, "attempt-ended")[0];
    assert_eq!((&ended["outcome"], &ended["ran"]), (&json!(outcome), &json!("may-have-run")));
    assert_eq!(ended["server"], server);
    let end = of_kind(&lines, "ended")[0];
    assert_eq!(
        (&end["outcome"], &end["status"]),
        (&json!("unclear"), &json!(answer.status.as_u16()))
    );
    assert_eq!(of_kind(&lines, "given-up")[0]["cause"], "attempts");
    let states = of_kind(&lines, "server");
    assert!(
        states.iter().any(|line| line["server"] == server),
        "the state of the server is missing: {lines:#?}"
    );
}

#[tokio::test]
async fn a_cut_stream_is_explained() {
    let request = chat();
    let (site, answer) = ask_with_fault(Fault::Broken { events: 2 }, &request).await;
    assert!(!answer.is_complete);
    assert_eq!(answer.events(), [1, 2]);
    let lines = finished_lines(&site, &request.id()).await;

    let ended = of_kind(&lines, "attempt-ended")[0];
    assert_eq!((&ended["outcome"], &ended["ran"]), (&json!("cut"), &json!("may-have-run")));
    let end = of_kind(&lines, "ended")[0];
    assert_eq!((&end["outcome"], &end["status"]), (&json!("cut"), &json!(200)));
    assert_eq!((&end["why"], &end["cause"]), (&json!("server-cut"), &json!("unresumable")));
    assert_eq!((&end["events"], &end["model"]), (&json!(2), &json!("welcome")));
    assert!(end["first"].is_u64(), "{end:#}");
}

#[tokio::test]
async fn a_resumed_stream_is_explained() {
    let site = site_with_info_log().await;
    site.backend.script(|script| script.faults = [Fault::Broken { events: 2 }].into());
    let mut caller = site.hosts[0].caller();
    let request = draft();
    let answer = caller.fetch(&request).await.unwrap();
    let lines = finished_lines(&site, &request.id()).await;
    let resumed = of_kind(&lines, "resumed");
    assert_eq!(resumed[0]["after"], 2, "{lines:#?}");
    assert_eq!(resumed[0]["attempt"], 2);
    let end = of_kind(&lines, "ended")[0];
    assert_eq!(end["events"], answer.events().len());
}

#[rstest]
#[case::plain(page(), 0)]
#[case::stream(chat(), 5)]
#[tokio::test]
async fn a_request_that_goes_well_is_one_line(#[case] request: RequestSpec, #[case] events: u64) {
    let site = site_with_info_log().await;
    assert_eq!(site.hosts[0].caller().fetch(&request).await.unwrap().status, StatusCode::OK);
    finished_lines(&site, &request.id()).await;
    let lines: Vec<_> =
        site.hosts[0].log().into_iter().filter(|line| line["request"] == *request.id()).collect();
    assert_eq!(lines.len(), 1, "{lines:#?}");
    assert_eq!((&lines[0]["outcome"], &lines[0]["events"]), (&json!("answered"), &json!(events)));
    assert_eq!((&lines[0]["version"], &lines[0]["attempts"]), (&json!(3), &json!(1)));
    let text = metrics(&site.hosts[0]).await;
    assert_eq!(value(&text, "cyclamenstage_routed_attempts_total{end=\"whole\"}"), Some(1.0));
    assert_eq!(value(&text, "cyclamenstage_routed_declaration "), Some(3.0), "{text}");
}

#[tokio::test]
async fn sighup_sets_the_level_of_the_log() {
    let site = site_with_info_log().await;
    let host = &site.hosts[0];
    let start = host
        .log()
        .into_iter()
        .find(|line| line["kind"] == "start")
        .expect("the host logs its start");
    let mut settings = start["settings"].clone();
    let logged_attempts = async |request: &RequestSpec| {
        assert_eq!(host.caller().fetch(request).await.unwrap().status, StatusCode::OK);
        finished_lines(&site, &request.id())
            .await
            .iter()
            .filter(|line| line["kind"] == "attempt")
            .count()
    };
    assert_eq!(logged_attempts(&page()).await, 0);

    settings["log"]["level"] = json!("debug");
    std::fs::write(host.settings(), settings.to_string()).unwrap();
    host.signal(Signal::SIGHUP);
    let reloads = || host.log().iter().filter(|line| line["kind"] == "reload").count();
    until("the settings are reloaded", async || reloads() == 1).await;
    assert_eq!(logged_attempts(&page()).await, 1);

    settings["log"]["level"] = json!("loud");
    settings["extra"] = json!(1);
    std::fs::write(host.settings(), settings.to_string()).unwrap();
    host.signal(Signal::SIGHUP);
    until("the errors of the settings are logged", async || {
        host.log().iter().any(|line| line["level"] == "ERROR")
    })
    .await;
    assert_eq!(
        (logged_attempts(&page()).await, reloads()),
        (1, 1),
        "the previous settings are no longer in force"
    );
}

#[tokio::test]
async fn the_path_fills_its_metrics() {
    let site = site_with_info_log().await;
    let host = &site.hosts[0];
    for request in [page(), page(), chat()] {
        assert_eq!(host.caller().fetch(&request).await.unwrap().status, StatusCode::OK);
    }
    let text = metrics(host).await;
    let connects = r#"cyclamenstage_routed_phase_seconds_count{kind="idempotent",phase="connect"}"#;
    assert_eq!(value(&text, connects), Some(2.0), "{text}");
    for series in ["report_age_seconds_count", r#"budget{service="app"}"#] {
        let filled = value(&text, &format!("cyclamenstage_routed_{series}"));
        assert!(filled.is_some_and(|value| 0.0 < value), "{series}: {text}");
    }
    let waiting = value(&text, r#"cyclamenstage_routed_queue{queue="waiting"}"#);
    assert_eq!(waiting, Some(0.0), "{text}");
}

/// One of two hosts gets all requests, and all of them fail: it needs more than its share of
/// retries.
#[tokio::test]
async fn a_host_that_is_short_of_retries_borrows_from_another() {
    const EXTRA: usize = 40;
    const SHARE: usize = EXTRA * 4 / 10;
    let mut backend = backend().await;
    for number in 3..=8 {
        backend.add(Settings::plain(&format!("app-{number}"), "app")).await.unwrap();
    }
    backend.script(|script| script.default_fault = Some(Fault::Failed(StatusCode::BAD_GATEWAY)));
    backend.declare(&declaration());
    let mut site = start_site(backend, 0).await;
    for _ in 0..2 {
        let retry = json!({"ratio": 0.0, "extra": EXTRA, "window_s": 60});
        site.add(|settings| settings["routed"]["retry"] = retry).await.unwrap();
    }
    site.wait_until_ready().await;
    let (mut answered, mut retries) = (0, 0);
    until("the host exceeds its own share of retries", async || {
        let request = page().deadline(Some(Duration::from_millis(500)));
        answered += usize::from(site.hosts[0].caller().fetch(&request).await.is_ok());
        let arrivals: usize = site.backend.servers.iter().map(|it| it.arrivals().len()).sum();
        retries = arrivals.saturating_sub(answered);
        SHARE < retries
    })
    .await;
    assert!(retries <= EXTRA, "{retries} retries, more than the budget of all hosts");
}

/// Guards against reports of demand that are sent again and counted twice: within
/// `REPORT_REPEAT_TIME` a repeated report would arrive.
#[tokio::test]
async fn the_host_that_plans_is_given_each_request_of_every_host_once() {
    const REPORT_REPEAT_TIME: Duration = Duration::from_millis(500);
    let backend = backend().await;
    backend.declare(&declaration());
    let site = start_site(backend, 2).await;
    site.wait_until_ready().await;
    for host in &site.hosts {
        for _ in 0..3 {
            assert_eq!(host.caller().fetch(&chat()).await.unwrap().status, StatusCode::OK);
        }
    }
    let demand_of = async |host: usize| {
        let text = metrics(&site.hosts[host]).await;
        ["own", "others"].map(|origin| {
            let series = format!(r#"cyclamenstage_routed_demand_total{{origin="{origin}"}}"#);
            value(&text, &series).unwrap_or(0.0)
        })
    };
    let all = async || [demand_of(0).await, demand_of(1).await].contains(&[3.0, 3.0]);
    until("one host has counted all requests", all).await;
    tokio::time::sleep(REPORT_REPEAT_TIME).await;
    assert!(all().await, "{:?} {:?}", demand_of(0).await, demand_of(1).await);
}

/// What a request of a host that stops before it has ended is.
#[derive(Clone, Copy, Debug)]
enum Unfinished {
    Stream,
    Plain,
}

/// Guards against an answer that the host drops and logs as one that its caller has left.
#[rstest]
#[case::stream(Unfinished::Stream, "cut", json!("stopping"))]
#[case::plain(Unfinished::Plain, "unclear", Value::Null)]
#[tokio::test]
async fn a_request_that_outlives_a_planned_stop_is_explained(
    #[case] unfinished: Unfinished,
    #[case] outcome: &str,
    #[case] cause: Value,
) {
    let backend = backend().await;
    backend.declare(&declaration());
    let mut site = start_site(backend, 0).await;
    site.add(|settings| {
        settings["log"] = json!({"level": "info"});
        settings["routed"]["grace_s"] = json!(2);
    })
    .await
    .unwrap();
    site.wait_until_ready().await;
    let request = match unfinished {
        Unfinished::Stream => {
            site.backend.script(|script| script.events = 1_000);
            draft()
        }
        Unfinished::Plain => {
            site.backend.script(|script| script.work_time = Duration::from_secs(30));
            ticket()
        }
    };
    let sent = request.clone();
    let mut caller = site.hosts[0].caller();
    let pending = tokio::spawn(async move { caller.fetch(&sent).await });
    until("the request runs", async || site.backend.runs() == 1).await;
    site.hosts[0].signal(Signal::SIGTERM);
    site.hosts[0].wait_for_exit().await;
    let is_answered = pending.await.unwrap().is_ok_and(|answer| answer.is_complete);
    assert!(!is_answered, "the request ended before the host");
    let lines = finished_lines(&site, &request.id()).await;
    let end = of_kind(&lines, "ended")[0];
    let seen = (&end["outcome"], &end["why"], &end["cause"]);
    assert_eq!(seen, (&json!(outcome), &json!("stopping"), &cause), "{lines:#?}");
}
