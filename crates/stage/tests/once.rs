//! Each request with an idempotency key runs at most once across all hosts, as the service counts.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{Answer, Site, get, send, try_send, until};
use futures_util::future::join_all;
use nix::sys::signal::Signal;
use standin::plain::Plain;
use types::host::{List, ListState};

const HOSTS: usize = 3;

#[tokio::test]
async fn same_key_to_every_host_at_once_runs_once() {
    let site = site().await;
    for round in 0..10 {
        let key = format!("ticket-{round}");
        let sends = (0..12).map(|number| request_ticket(&site, number % HOSTS, &key));
        let answers = join_all(sends).await;
        let answered = answers.iter().filter(|answer| answer.status == 200).count();
        assert!(0 < answered, "no send was answered: {answers:?}");
        answers.iter().filter(|answer| answer.status != 200).for_each(assert_not_denied);
    }
    assert_runs(&site, 10);
    site.shut_down().await;
}

#[tokio::test]
async fn sent_again_the_recorded_answer_comes_from_every_host() {
    let site = site().await;
    let first = request_ticket(&site, 0, "ticket").await;
    assert_eq!(first.status, 200, "{}", first.text());
    for host in 0..HOSTS {
        until("the recorded answer is returned", async || {
            let again = request_ticket(&site, host, "ticket").await;
            again.status == 200 && again.body == first.body
        })
        .await;
        let again = request_ticket(&site, host, "ticket").await;
        assert_eq!(again.headers["idempotent-replayed"], "true");
    }
    assert_runs(&site, 1);
    site.shut_down().await;
}

#[tokio::test]
async fn same_key_with_another_body_is_refused() {
    let site = site().await;
    assert_eq!(request_ticket(&site, 0, "ticket").await.status, 200);
    let headers = [("idempotency-key", "ticket")];
    let callers = site.hosts()[1].callers();
    let conflicting =
        send(callers, "POST", "/services/tickets/issue", &headers, "another guest").await;
    assert_eq!(conflicting.status, 422);
    assert_eq!(conflicting.json()["ran"], "did-not-run");
    assert_runs(&site, 1);
    site.shut_down().await;
}

/// The host is killed while the service processes the request.
#[tokio::test]
async fn sent_again_after_its_host_died_does_not_run_again() {
    let mut site = site().await;
    site.plains()[0].fault(|fault| fault.work_time = Duration::from_secs(2));
    let callers = site.hosts()[0].callers();
    let first = tokio::spawn(async move {
        try_send(callers, "POST", "/services/tickets/issue", &[KEY], BODY).await
    });
    until("the request runs", async || site.plains()[0].total() == 1).await;
    site.hosts()[0].signal(Signal::SIGKILL);
    assert!(first.await.unwrap().is_none(), "the killed host answered");
    site.plains()[0].fault(|fault| fault.work_time = Duration::ZERO);
    for host in [1, 2, 1] {
        let again = request_ticket(&site, host, "ticket").await;
        assert_eq!(again.status, 409, "{}", again.text());
        assert_not_denied(&again);
    }
    site.hosts_mut().remove(0);
    assert_runs(&site, 1);
    site.shut_down().await;
}

/// A host is paused during its claim of a key and resumes after another host handled the same key.
#[tokio::test]
async fn paused_host_that_goes_on_does_not_run_what_another_ran() {
    let site = site().await;
    for round in 0..5 {
        let key = format!("ticket-{round}");
        site.platform.fault(|fault| fault.latency = Duration::from_millis(40));
        let callers = site.hosts()[0].callers();
        let headers = [("idempotency-key".to_owned(), key.clone())];
        let paused = tokio::spawn(async move {
            let headers = [(headers[0].0.as_str(), headers[0].1.as_str())];
            try_send(callers, "POST", "/services/tickets/issue", &headers, BODY).await
        });
        let before = site.platform.calls();
        until("the claim is in flight", async || site.platform.calls().reads != before.reads).await;
        tokio::time::sleep(Duration::from_millis(20 * round)).await;
        site.hosts()[0].signal(Signal::SIGSTOP);
        let other = request_ticket(&site, 1, &key).await;
        site.hosts()[0].signal(Signal::SIGCONT);
        let paused =
            paused.await.unwrap().expect("the request is answered after the host has resumed");
        for answer in [paused, other] {
            if answer.status != 200 {
                assert_not_denied(&answer);
            }
        }
    }
    site.platform.fault(|fault| fault.latency = Duration::ZERO);
    assert!(runs(&site).values().all(|runs| *runs == 1), "{:?}", runs(&site));
    site.shut_down().await;
}

#[tokio::test]
async fn lost_answer_of_a_claim_neither_doubles_nor_loses_the_request() {
    let site = site().await;
    for round in 0..6 {
        site.platform.fault(|fault| fault.lost_answers = 1 + round % 2);
        let answer =
            request_ticket(&site, round as usize % HOSTS, &format!("ticket-{round}")).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert_runs(&site, 6);
    site.shut_down().await;
}

#[tokio::test]
async fn outage_refuses_honestly_and_keys_work_again_after_it() {
    let site = site().await;
    assert_eq!(request_ticket(&site, 0, "before").await.status, 200);
    site.platform.fault(|fault| fault.down = true);
    let again = request_ticket(&site, 1, "before").await;
    assert_eq!(again.status, 503, "{}", again.text());
    assert_eq!(
        again.json()["ran"],
        "may-have-run",
        "without the platform this host cannot know whether it ran"
    );
    let unkeyed = send(site.hosts()[0].callers(), "POST", "/services/tickets/issue", &[], BODY);
    assert_eq!(unkeyed.await.status, 200, "a request without a key needs no claim");
    let refused = request_ticket(&site, 0, "during").await;
    assert_eq!(refused.status, 503);
    assert!(refused.headers.contains_key("retry-after"));
    site.platform.fault(|fault| fault.down = false);
    until("a key can be claimed again", async || {
        request_ticket(&site, 0, "during").await.status == 200
    })
    .await;
    let runs = runs(&site);
    assert_eq!((runs["before"], runs["during"]), (1, 1));
    site.shut_down().await;
}

#[tokio::test]
async fn keys_outlive_every_host() {
    let mut site = site().await;
    let first = request_ticket(&site, 0, "ticket").await;
    assert_eq!(first.status, 200);
    for index in 0..HOSTS {
        replace(&mut site, index, Signal::SIGTERM).await;
        let again = request_ticket(&site, index, "ticket").await;
        assert_eq!((again.status, &again.body), (200, &first.body), "{}", again.text());
    }
    for index in 0..HOSTS {
        replace(&mut site, index, Signal::SIGKILL).await;
        let again = request_ticket(&site, index, "ticket").await;
        assert_eq!((again.status, &again.body), (200, &first.body), "{}", again.text());
    }
    assert_runs(&site, 1);
    site.shut_down().await;
}

/// The service runs the request, and its answer is lost.
#[tokio::test]
async fn answer_lost_by_the_service_is_never_asked_for_again() {
    let site = site().await;
    site.plains()[0].fault(|fault| fault.lost_answers = 1);
    let first = request_ticket(&site, 0, "ticket").await;
    assert_eq!(first.json()["ran"], "may-have-run", "{}", first.text());
    for host in 0..HOSTS {
        let again = request_ticket(&site, host, "ticket").await;
        assert_eq!(again.status, 409, "{}", again.text());
        assert_not_denied(&again);
    }
    assert_runs(&site, 1);
    site.shut_down().await;
}

/// Admission refuses the request before the key is looked up. The host therefore cannot know
/// whether another request with the key ran, and the key stays unclaimed.
#[tokio::test]
async fn refused_before_its_claim_its_key_runs_later() {
    let mut site = site().await;
    site.platform.set_list(with_leaving_servers(&site).await);
    until("no server accepts new requests", async || {
        let callers = site.hosts()[0].callers();
        let unkeyed = send(callers, "POST", "/services/tickets/issue", &[], BODY).await;
        unkeyed.json()["type"] == "urn:cyclamenstage:problem:no-server"
    })
    .await;
    let total = site.plains()[0].total();
    let refused = request_ticket(&site, 0, "ticket").await;
    assert_eq!(refused.json()["ran"], "may-have-run", "{}", refused.text());
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(site.plains()[0].total(), total);
    site.set_list_state(0, ListState::Live);
    until("the request runs", async || request_ticket(&site, 1, "ticket").await.status == 200)
        .await;
    assert_eq!(runs(&site)["ticket"], 1);
    site.shut_down().await;
}

/// The platform's list with every backend server leaving; hosts ignore an empty list.
async fn with_leaving_servers(site: &Site) -> List {
    let list = get(site.hosts()[0].operators(), "/hosts").await.expect("the host answers");
    let mut list: List = serde_json::from_value(list).expect("the answer is a list");
    list.servers.iter_mut().for_each(|entry| entry.state = ListState::Leaving);
    list
}

const KEY: (&str, &str) = ("idempotency-key", "ticket");
const BODY: &str = "room 12, two nights";

async fn site() -> Site {
    Site::start_with(HOSTS, Vec::new(), vec![Plain::start("app-0").await.unwrap()]).await
}

/// Ends a host with a signal, starts it again and waits until all hosts are ready.
async fn replace(site: &mut Site, index: usize, signal: Signal) {
    site.hosts()[index].signal(signal);
    site.hosts_mut()[index].wait_for_exit().await;
    site.restart(index).await;
    site.wait_until_ready().await;
}

async fn request_ticket(site: &Site, host: usize, key: &str) -> Answer {
    let headers = [("idempotency-key", key)];
    let callers = site.hosts()[host].callers();
    send(callers, "POST", "/services/tickets/issue", &headers, BODY).await
}

/// Requires a refusal that does not deny a run: `may-have-run` or `ran`.
fn assert_not_denied(answer: &Answer) {
    let ran = answer.json()["ran"].clone();
    assert!(ran == "may-have-run" || ran == "ran", "{}", answer.text());
}

fn runs(site: &Site) -> BTreeMap<String, u64> {
    site.plains()[0].runs_by_key()
}

fn assert_runs(site: &Site, keys: usize) {
    let runs = runs(site);
    assert_eq!(runs.len(), keys, "{runs:?}");
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}
