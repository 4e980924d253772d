//! A request marked non-idempotent runs at most once.

use rstest::rstest;
use standin::{
    engine::IDEMPOTENCY_KEY,
    fault::{Direction, Fault, Interception, NewConnections, Proxy},
    plain::Plain,
};

use crate::common::{Answer, Builder, Site, try_send};

const TICKETS: &str = "/services/tickets/issue";

async fn site() -> Site {
    let (first, second) = (Plain::start("app-0").await, Plain::start("app-1").await);
    Builder::new(3).plain(first.unwrap()).plain(second.unwrap()).with_proxies().start().await
}

async fn issue(site: &Site, host: usize, key: &str) -> Option<Answer> {
    let address = site.hosts()[host].callers();
    try_send(address, "POST", TICKETS, &[(IDEMPOTENCY_KEY, key)], "a ticket").await
}

fn runs(site: &Site, key: &str) -> u64 {
    site.plains().iter().filter_map(|plain| plain.runs_by_key().get(key).copied()).sum()
}

fn refuse_connections(link: &Proxy) {
    link.reset_connections();
    link.set_new_connections(NewConnections::Reset);
}

fn cut_request(link: &Proxy) {
    link.set(Direction::ToTarget, Fault::ResetAfter(20));
}

fn cut_answer(link: &Proxy) {
    link.set(Direction::ToClient, Fault::ResetAfter(10));
}

fn lose_answers(link: &Proxy) {
    (0..10).for_each(|_| {
        link.intercept("POST /issue", Interception::LoseAnswer);
    });
}

/// Each ticket is requested once, and the answer must agree with the runs that the service counted.
#[rstest]
#[case::refuse_connections(refuse_connections)]
#[case::request_cut(cut_request)]
#[case::answer_cut(cut_answer)]
#[case::answers_lost(lose_answers)]
#[tokio::test]
async fn ticket_is_issued_at_most_once_when_a_link_breaks(#[case] break_link: fn(&Proxy)) {
    let site = site().await;
    break_link(site.links().server("app-0"));

    for number in 0..6 {
        let key = format!("ticket-{number}");
        let answer = issue(&site, number % 3, &key).await.expect("each request is answered");
        let ran = runs(&site, &key);
        assert!(ran <= 1, "{key} ran {ran} times");
        match (answer.status, answer.json()["ran"].as_str()) {
            (200, _) => assert_eq!(ran, 1, "{key} was answered with status 200"),
            (_, Some("did-not-run")) => assert_eq!(ran, 0, "{key} was refused with did-not-run"),
            (_, Some("may-have-run")) => {}
            (status, reported) => {
                panic!("{key}: status {status}, ran {reported:?}: {}", answer.text())
            }
        }
    }
    site.links().server("app-0").heal();
    site.shut_down().await;
}
