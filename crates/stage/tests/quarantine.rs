//! Requests that crash the engines that run them, among innocent ones, through real hosts.

mod common;

use common::{Chat, Ending, Site, get, post_chat, send, until};
use futures_util::future::join_all;
use serde_json::{Value, json};
use standin::engine::{POISON, Settings};

const HOSTS: usize = 3;
const ENGINES: usize = 5;
const MODEL: &str = "welcome";

#[tokio::test]
async fn poison_sent_again_through_every_host_costs_two_engines_and_no_innocent() {
    let site = site().await;
    let innocents = innocents(&site, 90);
    until("they run", async || 20 < in_flight(&site)).await;
    let mut refusals = 0;
    for number in 0..9 {
        let answer = post_chat(site.hosts()[number % HOSTS].callers(), &poison()).await;
        assert_ne!(answer.status, 200, "{}", answer.text());
        refusals += u32::from(is_quarantined(&answer.json()));
    }
    assert!(crashes(&site) <= 2, "{} engines lost", crashes(&site));
    assert!(7 <= refusals, "refused at all hosts once known: {refusals} of 9");
    for ending in innocents.await {
        assert_eq!(ending.unwrap(), Ending::Whole);
    }
    site.end().await;
}

#[tokio::test]
async fn plain_crash_puts_nobody_away() {
    let site = site().await;
    let innocents = innocents(&site, 60);
    until("they run", async || 20 < in_flight(&site)).await;
    site.engines()[0].crash();
    for ending in innocents.await {
        assert_eq!(ending.unwrap(), Ending::Whole);
    }
    until("every suspect is cleared", async || {
        let list = list(&site).await;
        list["suspects"] == json!({}) && list["refused"] == json!({})
    })
    .await;
    site.end().await;
}

#[tokio::test]
async fn operator_sees_and_lifts_an_entry() {
    let site = site().await;
    let answer = post_chat(site.hosts()[0].callers(), &poison()).await;
    assert!(is_quarantined(&answer.json()), "{}", answer.text());
    until("every host has heard", async || {
        list(&site).await["refused"].as_object().is_some_and(|refused| refused.len() == 1)
    })
    .await;
    let refused = list(&site).await["refused"].clone();
    let fingerprint = refused.as_object().unwrap().keys().next().unwrap().clone();
    assert_eq!(refused[&fingerprint]["service"], "chat");
    assert_eq!(refused[&fingerprint]["deaths"].as_array().map(Vec::len), Some(2));
    let uri = format!("/quarantine/{fingerprint}");
    let operators = site.hosts()[2].operators();
    assert_eq!(send(operators, "DELETE", &uri, &[], "").await.status, 204);
    assert_eq!(send(operators, "DELETE", &uri, &[], "").await.status, 404);
    until("every host has heard", async || list(&site).await["refused"] == json!({})).await;
    site.end().await;
}

async fn site() -> Site {
    let engine = |number| Settings::new(&format!("lm-{number}")).with_model(MODEL, "v1", 900);
    Site::start(HOSTS, (0..ENGINES).map(engine).collect()).await
}

fn poison() -> Value {
    let content = format!("a letter with {POISON} in it");
    json!({
        "model": MODEL, "stream": true, "max_tokens": 20,
        "messages": [{"role": "user", "content": content}],
    })
}

fn innocents(
    site: &Site,
    count: usize,
) -> impl Future<Output = Vec<Result<Ending, tokio::task::JoinError>>> + use<> {
    let chats = (0..count).map(|number| {
        let callers = site.hosts()[number % HOSTS].callers();
        let chat = Chat::new(format!("innocent-{number}"), MODEL, 60);
        tokio::spawn(async move { chat.send(callers).await })
    });
    join_all(chats.collect::<Vec<_>>())
}

fn in_flight(site: &Site) -> usize {
    site.engines().iter().map(|engine| engine.in_flight()).sum()
}

fn crashes(site: &Site) -> u64 {
    site.engines().iter().map(|engine| engine.counts().crashes).sum()
}

fn is_quarantined(problem: &Value) -> bool {
    problem["type"] == "urn:cyclamenstage:problem:quarantined"
}

/// What the host that heard last says.
async fn list(site: &Site) -> Value {
    let mut list = Value::Null;
    for host in site.hosts() {
        list = get(host.operators(), "/quarantine").await.unwrap_or_default();
    }
    list
}
