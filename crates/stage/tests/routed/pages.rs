//! Checks the examples in the operators' page on failed requests: runs its commands over the logs
//! of real hosts and compares their output with the page.

use std::time::Duration;

use serde_json::json;
use standin::{
    page::is_shown,
    routed::{caller::RequestSpec, server::Fault, site::Site, until},
};

use crate::{
    site::{HOST, chat, draft, site_with_info_log, ticket},
    stories::report,
};

const PAGE: &str = include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md"));
const LOG_FILE: &str = "host-0-1.log";
const DEADLINE: Duration = Duration::from_millis(500);

/// Longer than the gap between events that the route allows.
const EVENT_GAP: Duration = Duration::from_millis(700);

/// Output that the page shows below `cyclamenctl explain` with this query.
fn documented(query: &str) -> Vec<&'static str> {
    let command = format!("$ cyclamenctl explain {query} --logs {LOG_FILE}\n");
    let (_, rest) = PAGE.split_once(&command).unwrap_or_else(|| panic!("no {command}"));
    rest.split("```").next().unwrap().lines().collect()
}

/// Output of `cyclamenctl explain` with this query over the log of the site's first host.
async fn printed(site: &Site, query: &str) -> Vec<String> {
    let log = site.hosts[0].log_file();
    assert!(log.ends_with(LOG_FILE));
    report(site, query).await.text.lines().map(str::to_owned).collect()
}

/// Whether a line shows a belief of the host. Which beliefs are logged differs between runs.
fn is_belief(line: &str) -> bool {
    line.contains(" ~ ")
}

/// Asserts that the documented lines are printed in their order, with only beliefs between them.
fn check_lines(printed: &[String], documented: &[&str]) {
    let mut documented = documented.iter();
    let mut next = documented.next();
    for line in printed {
        if next.is_some_and(|documented| is_shown(line, documented)) {
            next = documented.next();
        } else {
            assert!(
                is_belief(line),
                "expected {next:?}, but this line is printed:\n{line}\nof\n{}",
                printed.join("\n")
            );
        }
    }
    assert_eq!(next, None, "a documented line is not printed in\n{}", printed.join("\n"));
}

/// Sends a request under this id, and checks the page once the end of the request is logged.
async fn check_request(site: &Site, id: &str, request: RequestSpec) {
    let mut caller = site.hosts[0].caller();
    caller.fetch(&request.with_id(id)).await.expect("the request is answered");
    check_finished(site, id).await;
}

async fn check_finished(site: &Site, id: &str) {
    let is_end = |line: &serde_json::Value| line["request"] == id && line["kind"] == "ended";
    until("the end of the request is logged", async || site.hosts[0].log().iter().any(is_end))
        .await;
    check_lines(&printed(site, id).await, &documented(id));
}

#[tokio::test]
async fn a_refused_request_is_told_as_the_page_shows() {
    let mut site = site_with_info_log().await;
    site.backend.deregister("other-1");
    site.wait_until_observed().await;
    let request = RequestSpec::to(HOST, "/pages/deep/home").deadline(Some(DEADLINE));
    check_request(&site, "refused-1", request).await;
}

#[tokio::test]
async fn an_unclear_request_is_told_as_the_page_shows() {
    let site = site_with_info_log().await;
    site.backend.script(|script| script.default_fault = Some(Fault::Lost));
    check_request(&site, "unclear-1", ticket()).await;
}

#[tokio::test]
async fn a_cut_stream_is_told_as_the_page_shows() {
    let site = site_with_info_log().await;
    site.backend.script(|script| script.default_fault = Some(Fault::Broken { events: 2 }));
    check_request(&site, "cut-1", chat()).await;
}

#[tokio::test]
async fn a_late_stream_is_told_as_the_page_shows() {
    let site = site_with_info_log().await;
    site.backend.script(|script| script.default_fault = Some(Fault::Stalled { events: 2 }));
    let request = draft().with_id("late-1");
    let mut caller = site.hosts[0].caller();
    let mut opened = caller.open(&request).await.expect("the answer starts");
    assert!(opened.event(2).await);
    tokio::time::sleep(EVENT_GAP).await;
    site.backend.script(|script| script.default_fault = None);
    let first = site.backend.servers.iter().find(|server| server.runs_of("late-1") == 1);
    first.expect("a server has the request").kill();
    assert!(opened.finish().await.expect("the answer ends").is_complete);
    check_finished(&site, "late-1").await;
}

/// The fencing number differs between runs, so it is replaced by the page's before the comparison.
#[tokio::test]
async fn a_term_is_told_as_the_page_shows() {
    const FENCE: &str = "41";
    let site = site_with_info_log().await;
    let orders = || site.hosts[0].log().into_iter().filter(|line| line["kind"] == "order");
    until("all models are placed", async || {
        orders().filter(|line| line["answer"] == "accepted").count() == 3
    })
    .await;
    let fence = orders().next().expect("an order is logged")["fence"].clone();
    assert!(orders().all(|line| line["fence"] == fence));
    assert_ne!(fence, json!(null));
    let mut lines = printed(&site, &format!("--term {fence}")).await;
    lines.iter_mut().for_each(|line| {
        *line = line.replace(&format!("fence={fence}"), &format!("fence={FENCE}"));
    });
    check_lines(&lines, &documented(&format!("--term {FENCE}")));
}
