//! The operators' page on failed requests: its commands are run over real hosts' logs, and what
//! they print is what it shows.

use std::time::Duration;

use serde_json::json;
use standin::{
    page::is_shown,
    routed::{caller::RequestSpec, server::Fault, site::Site, until},
};

use crate::{
    site::{HOST, chat, draft, ticket, usual_site},
    stories::report,
};

const PAGE: &str = include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md"));
const LOG: &str = "host-0-1.log";
const SOON: Duration = Duration::from_millis(500);

/// Longer than the pause that the stream's route allows.
const PAUSE: Duration = Duration::from_millis(700);

/// What the page shows below a command over the host's log.
fn shown(question: &str) -> Vec<&'static str> {
    let command = format!("$ cyclamenctl explain {question} --logs {LOG}\n");
    let (_, rest) = PAGE.split_once(&command).unwrap_or_else(|| panic!("no {command}"));
    rest.split("```").next().unwrap().lines().collect()
}

/// What the command prints over the host's log.
async fn printed(site: &Site, question: &str) -> Vec<String> {
    let log = site.hosts[0].log_file();
    assert!(log.ends_with(LOG));
    report(site, question).await.text.lines().map(str::to_owned).collect()
}

/// Whether a line is told as a belief; which of these were formed meanwhile differs between runs.
fn is_belief(line: &str) -> bool {
    line.contains(" ~ ")
}

/// The lines that are shown come in their order, and none but beliefs come between them.
fn check(printed: &[String], shown: &[&str]) {
    let mut shown = shown.iter();
    let mut next = shown.next();
    for line in printed {
        if next.is_some_and(|shown| is_shown(line, shown)) {
            next = shown.next();
        } else {
            assert!(
                is_belief(line),
                "shown is {next:?}, but there is\n{line}\nof\n{}",
                printed.join("\n")
            );
        }
    }
    assert_eq!(next, None, "not in\n{}", printed.join("\n"));
}

/// Asks, and checks the page once the request's end is written.
async fn check_request(site: &Site, id: &str, ask: RequestSpec) {
    let mut caller = site.hosts[0].caller();
    caller.fetch(&ask.with_id(id)).await.expect("an answer");
    check_told(site, id).await;
}

async fn check_told(site: &Site, id: &str) {
    let is_end = |line: &serde_json::Value| line["request"] == id && line["kind"] == "ended";
    until("its end is told", async || site.hosts[0].log().iter().any(is_end)).await;
    check(&printed(site, id).await, &shown(id));
}

#[tokio::test]
async fn a_refused_request_is_told_as_the_page_shows() {
    let mut site = usual_site().await;
    site.backend.deregister("other-1");
    site.wait_until_observed().await;
    let ask = RequestSpec::to(HOST, "/pages/deep/home").deadline(Some(SOON));
    check_request(&site, "refused-1", ask).await;
}

#[tokio::test]
async fn an_unclear_request_is_told_as_the_page_shows() {
    let site = usual_site().await;
    site.backend.script(|script| script.default_fault = Some(Fault::Lost));
    check_request(&site, "unclear-1", ticket()).await;
}

#[tokio::test]
async fn a_cut_stream_is_told_as_the_page_shows() {
    let site = usual_site().await;
    site.backend.script(|script| script.default_fault = Some(Fault::Broken { events: 2 }));
    check_request(&site, "cut-1", chat()).await;
}

#[tokio::test]
async fn a_late_stream_is_told_as_the_page_shows() {
    let site = usual_site().await;
    site.backend.script(|script| script.default_fault = Some(Fault::Stalled { events: 2 }));
    let ask = draft().with_id("late-1");
    let mut caller = site.hosts[0].caller();
    let mut opened = caller.open(&ask).await.expect("a head");
    assert!(opened.event(2).await);
    tokio::time::sleep(PAUSE).await;
    site.backend.script(|script| script.default_fault = None);
    let first = site.backend.servers.iter().find(|server| server.runs_of("late-1") == 1);
    first.expect("the server that has it").kill();
    assert!(opened.finish().await.expect("an end").is_complete);
    check_told(&site, "late-1").await;
}

/// The fencing number of a real term isn't known before; the page's stands for it.
#[tokio::test]
async fn a_term_is_told_as_the_page_shows() {
    const FENCE: &str = "41";
    let site = usual_site().await;
    let orders = || site.hosts[0].log().into_iter().filter(|line| line["kind"] == "order");
    until("all is placed", async || {
        orders().filter(|line| line["answer"] == "accepted").count() == 3
    })
    .await;
    let fence = orders().next().expect("an order")["fence"].clone();
    assert!(orders().all(|line| line["fence"] == fence));
    assert_ne!(fence, json!(null));
    let mut told = printed(&site, &format!("--term {fence}")).await;
    told.iter_mut().for_each(|line| {
        *line = line.replace(&format!("fence={fence}"), &format!("fence={FENCE}"));
    });
    check(&told, &shown(&format!("--term {FENCE}")));
}
