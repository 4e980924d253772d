//! What on-call finds of a request afterwards: its story by its id alone, and the metrics.

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

use crate::site::{backend, chat, declaration, draft, page, ticket, undeclared, usual_site};

const SOON: Duration = Duration::from_secs(2);
const FULL: Fault = Fault::NotRun(StatusCode::SERVICE_UNAVAILABLE);

/// What `cyclamenctl explain` tells of a request, from the hosts' logs.
async fn explain(site: &Site, id: &str) -> Vec<Value> {
    let report = report(site, id).await.json;
    report["lines"].as_array().cloned().unwrap_or_default()
}

/// What `cyclamenctl explain` says to a question, from the hosts' logs.
pub async fn report(site: &Site, question: &str) -> Report {
    let logs: Vec<PathBuf> = site.hosts.iter().map(|host| host.log_file().to_owned()).collect();
    let question: Vec<PathBuf> = question.split(' ').map(Into::into).collect();
    let asked = tokio::task::spawn_blocking(move || {
        let words = ["cyclamenctl".into(), "explain".into()].into_iter().chain(question);
        let words = words.chain(["--logs".into()]).chain(logs);
        Flags::try_parse_from(words).expect("flags").report().expect("a report")
    });
    asked.await.expect("it ends")
}

/// The story of a request, once its end is written.
async fn story(site: &Site, id: &str) -> Vec<Value> {
    let mut story = Vec::new();
    until("the story is told", async || {
        story = explain(site, id).await;
        story.iter().any(|line| line["kind"] == "ended")
    })
    .await;
    story
}

/// The lines of a kind, in order.
fn of<'a>(story: &'a [Value], kind: &str) -> Vec<&'a Value> {
    story.iter().filter(|line| line["kind"] == kind).collect()
}

async fn failing(fault: Fault, ask: &RequestSpec) -> (Site, Answer) {
    let site = usual_site().await;
    site.backend.script(|script| script.default_fault = Some(fault));
    let answer = site.hosts[0].caller().fetch(ask).await.unwrap();
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

/// The value of the series whose line begins so.
pub fn value(text: &str, series: &str) -> Option<f64> {
    let line = text.lines().find(|line| line.starts_with(series))?;
    line.rsplit(' ').next()?.parse().ok()
}

#[rstest]
#[case::idempotent(page())]
#[case::non_idempotent(ticket())]
#[case::stream(chat())]
#[tokio::test]
async fn a_refusal_is_explained(#[case] ask: RequestSpec) {
    let ask = ask.deadline(Some(SOON));
    let (site, answer) = failing(FULL, &ask).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let story = story(&site, &ask.id()).await;

    assert_eq!(of(&story, "arrived")[0]["version"], 3);
    let ended = of(&story, "attempt-ended");
    assert!(!ended.is_empty(), "{story:#?}");
    for attempt in ended {
        assert_eq!((&attempt["outcome"], &attempt["ran"]), (&json!("full"), &json!("did-not-run")));
    }
    let refused = of(&story, "refused");
    assert_eq!(refused.len(), 1, "{story:#?}");
    let end = of(&story, "ended")[0];
    assert_eq!((&end["outcome"], &end["status"]), (&json!("refused"), &json!(503)));
    assert_eq!(end["why"], refused[0]["why"]);
    assert!(!of(&story, "declaration").is_empty(), "what it was decided on: {story:#?}");

    let text = metrics(&site.hosts[0]).await;
    let series = format!(
        "cyclamenstage_routed_refusals_total{{cause=\"{}\"}}",
        end["why"].as_str().unwrap()
    );
    assert_eq!(value(&text, &series), Some(1.0), "{text}");
}

/// Where there is budget left, a request that no server ran ends for want of attempts or of places.
#[tokio::test]
async fn a_refusal_with_budget_left_is_not_put_down_to_it() {
    let backend = backend().await;
    backend.declare(&declaration());
    let mut site = undeclared(backend, 0).await;
    site.add(|settings| {
        settings["log"] = json!({"level": "info"});
        settings["routed"]["retry"]["extra"] = json!(1000);
    })
    .await
    .unwrap();
    site.wait_until_ready().await;
    site.backend.script(|script| script.default_fault = Some(FULL));
    let ask = ticket().deadline(Some(SOON));
    let answer = site.hosts[0].caller().fetch(&ask).await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let story = story(&site, &ask.id()).await;
    let why = of(&story, "ended")[0]["why"].clone();
    assert!([json!("attempts"), json!("full")].contains(&why), "{story:#?}");
}

#[tokio::test]
async fn a_request_that_no_route_takes_is_explained() {
    let site = usual_site().await;
    let ask = RequestSpec::to("nowhere.example", "/");
    site.hosts[0].caller().fetch(&ask).await.unwrap();
    let story = story(&site, &ask.id()).await;
    let end = of(&story, "ended")[0];
    assert_eq!((&end["outcome"], &end["why"]), (&json!("refused"), &json!("no-route")));
}

#[rstest]
#[case::lost(Fault::Lost, "cut")]
#[case::garbled(Fault::Garbled, "garbled")]
#[tokio::test]
async fn a_failure_after_a_server_had_it_is_explained(#[case] fault: Fault, #[case] how: &str) {
    let ask = ticket();
    let (site, answer) = failing(fault, &ask).await;
    let story = story(&site, &ask.id()).await;

    let attempts = of(&story, "attempt");
    assert_eq!(attempts.len(), 1, "{story:#?}");
    let server = attempts[0]["server"].as_str().unwrap();
    assert_eq!(site.backend.server(server).runs_of(&ask.id()), 1);
    let ended = of(&story, "attempt-ended")[0];
    assert_eq!((&ended["outcome"], &ended["ran"]), (&json!(how), &json!("may-have-run")));
    assert_eq!(ended["server"], server);
    let end = of(&story, "ended")[0];
    assert_eq!(
        (&end["outcome"], &end["status"]),
        (&json!("unclear"), &json!(answer.status.as_u16()))
    );
    let seen = of(&story, "server");
    assert!(seen.iter().any(|line| line["server"] == server), "its standing: {story:#?}");
}

#[tokio::test]
async fn a_cut_stream_is_explained() {
    let ask = chat();
    let (site, answer) = failing(Fault::Broken { events: 2 }, &ask).await;
    assert!(!answer.is_complete);
    assert_eq!(answer.events(), [1, 2]);
    let story = story(&site, &ask.id()).await;

    let ended = of(&story, "attempt-ended")[0];
    assert_eq!((&ended["outcome"], &ended["ran"]), (&json!("cut"), &json!("may-have-run")));
    let end = of(&story, "ended")[0];
    assert_eq!((&end["outcome"], &end["status"]), (&json!("cut"), &json!(200)));
    assert_eq!((&end["events"], &end["model"]), (&json!(2), &json!("welcome")));
    assert!(end["first"].is_u64(), "{end:#}");
}

#[tokio::test]
async fn a_resumed_stream_is_explained() {
    let site = usual_site().await;
    site.backend.script(|script| script.faults = [Fault::Broken { events: 2 }].into());
    let mut caller = site.hosts[0].caller();
    let ask = draft();
    let answer = caller.fetch(&ask).await.unwrap();
    let story = story(&site, &ask.id()).await;
    let resumed = of(&story, "resumed");
    assert_eq!(resumed[0]["after"], 2, "{story:#?}");
    assert_eq!(resumed[0]["attempt"], 2);
    let end = of(&story, "ended")[0];
    assert_eq!(end["events"], answer.events().len());
}

#[rstest]
#[case::plain(page(), 0)]
#[case::stream(chat(), 5)]
#[tokio::test]
async fn a_request_that_goes_well_is_one_line(#[case] ask: RequestSpec, #[case] events: u64) {
    let site = usual_site().await;
    assert_eq!(site.hosts[0].caller().fetch(&ask).await.unwrap().status, StatusCode::OK);
    story(&site, &ask.id()).await;
    let lines: Vec<_> =
        site.hosts[0].log().into_iter().filter(|line| line["request"] == *ask.id()).collect();
    assert_eq!(lines.len(), 1, "{lines:#?}");
    assert_eq!((&lines[0]["outcome"], &lines[0]["events"]), (&json!("answered"), &json!(events)));
    assert_eq!((&lines[0]["version"], &lines[0]["attempts"]), (&json!(3), &json!(1)));
    let text = metrics(&site.hosts[0]).await;
    assert_eq!(value(&text, "cyclamenstage_routed_attempts_total{end=\"whole\"}"), Some(1.0));
    assert_eq!(value(&text, "cyclamenstage_routed_declaration "), Some(3.0), "{text}");
}

#[tokio::test]
async fn sighup_sets_the_level_of_the_log() {
    let site = usual_site().await;
    let host = &site.hosts[0];
    let start = host.log().into_iter().find(|line| line["kind"] == "start").expect("its start");
    let mut settings = start["settings"].clone();
    let steps = async |ask: &RequestSpec| {
        assert_eq!(host.caller().fetch(ask).await.unwrap().status, StatusCode::OK);
        story(&site, &ask.id()).await.iter().filter(|line| line["kind"] == "attempt").count()
    };
    assert_eq!(steps(&page()).await, 0);

    settings["log"]["level"] = json!("debug");
    std::fs::write(host.settings(), settings.to_string()).unwrap();
    host.signal(Signal::SIGHUP);
    let reloads = || host.log().iter().filter(|line| line["kind"] == "reload").count();
    until("the settings are read", async || reloads() == 1).await;
    assert_eq!(steps(&page()).await, 1);

    settings["log"]["level"] = json!("loud");
    settings["extra"] = json!(1);
    std::fs::write(host.settings(), settings.to_string()).unwrap();
    host.signal(Signal::SIGHUP);
    until("the findings are told", async || host.log().iter().any(|line| line["level"] == "ERROR"))
        .await;
    assert_eq!((steps(&page()).await, reloads()), (1, 1), "the old ones stay in force");
}

#[tokio::test]
async fn the_path_fills_its_metrics() {
    let site = usual_site().await;
    let host = &site.hosts[0];
    for ask in [page(), page(), chat()] {
        assert_eq!(host.caller().fetch(&ask).await.unwrap().status, StatusCode::OK);
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

/// All requests come to one of two hosts, and all fail.
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
    let mut site = undeclared(backend, 0).await;
    for _ in 0..2 {
        let retry = json!({"ratio": 0.0, "extra": EXTRA, "window_s": 60});
        site.add(|settings| settings["routed"]["retry"] = retry).await.unwrap();
    }
    site.wait_until_ready().await;
    let (mut asked, mut retries) = (0, 0);
    until("a host passes its share", async || {
        let ask = page().deadline(Some(Duration::from_millis(500)));
        asked += usize::from(site.hosts[0].caller().fetch(&ask).await.is_ok());
        let arrivals: usize = site.backend.servers.iter().map(|it| it.arrivals().len()).sum();
        retries = arrivals.saturating_sub(asked);
        SHARE < retries
    })
    .await;
    assert!(retries <= EXTRA, "{retries}");
}

/// Repeated reports would count a request again within the pause.
#[tokio::test]
async fn the_host_that_plans_is_given_each_request_of_every_host_once() {
    const REPEATS: Duration = Duration::from_millis(500);
    let backend = backend().await;
    backend.declare(&declaration());
    let site = undeclared(backend, 2).await;
    site.wait_until_ready().await;
    for host in &site.hosts {
        for _ in 0..3 {
            assert_eq!(host.caller().fetch(&chat()).await.unwrap().status, StatusCode::OK);
        }
    }
    let given = async |host: usize| {
        let text = metrics(&site.hosts[host]).await;
        ["own", "others"].map(|origin| {
            let series = format!(r#"cyclamenstage_routed_demand_total{{origin="{origin}"}}"#);
            value(&text, &series).unwrap_or(0.0)
        })
    };
    let all = async || [given(0).await, given(1).await].contains(&[3.0, 3.0]);
    until("one host is given all requests", all).await;
    tokio::time::sleep(REPEATS).await;
    assert!(all().await, "{:?} {:?}", given(0).await, given(1).await);
}
