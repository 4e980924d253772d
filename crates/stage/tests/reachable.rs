//! Every declared model stays reachable during a long random sequence of changes: models added and
//! removed, new versions, more and fewer replicas, and adapters.

#![allow(clippy::print_stdout, reason = "counts are read with --nocapture")]

mod common;

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use common::{Site, get, post_chat, send, until};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde_json::{Value, json};
use standin::engine;
use tokio_util::sync::CancellationToken;

const SEED: u64 = 20_261_202;
const CHANGES: u64 = 120;
const MAX_MODELS: usize = 6;
const CALL_INTERVAL: Duration = Duration::from_millis(10);

/// Calls one model through all hosts in turn until stopped.
struct Caller {
    stop: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

/// Counts of answered calls, and descriptions of failed calls.
#[derive(Clone, Default)]
struct Results {
    answered: Arc<AtomicU64>,
    unreachable: Arc<Mutex<Vec<String>>>,
}

impl Caller {
    fn start(hosts: Vec<std::net::SocketAddr>, model: &str, results: &Results) -> Caller {
        let stop = CancellationToken::new();
        let (token, results, model) = (stop.clone(), results.clone(), model.to_owned());
        let task = tokio::spawn(async move {
            for host in hosts.into_iter().cycle() {
                if token.is_cancelled() {
                    return;
                }
                let answer = post_chat(host, &chat_body(&model)).await;
                if answer.status == 200 {
                    results.answered.fetch_add(1, Ordering::Relaxed);
                } else {
                    let what = format!("{model}: {} {}", answer.status, answer.text());
                    results.unreachable.lock().unwrap().push(what);
                }
                tokio::time::sleep(CALL_INTERVAL).await;
            }
        });
        Caller { stop, task }
    }

    async fn stop(self) {
        self.stop.cancel();
        self.task.await.unwrap();
    }
}

fn chat_body(model: &str) -> Value {
    json!({"model": model, "max_tokens": 2, "messages": [{"role": "user", "content": "hi"}]})
}

/// Returns a random change to the models, and the model that it removes, if any.
fn random_change(
    rng: &mut ChaCha8Rng,
    step: u64,
    models: &[String],
    memory: u64,
) -> (Value, Option<String>) {
    let model = models.choose(rng).unwrap().clone();
    match rng.random_range(0..6) {
        0 | 1 if models.len() < MAX_MODELS => {
            let entry = json!({"group": "lm", "version": "1", "memory": memory});
            (json!({format!("m{step}"): entry}), None)
        }
        2 if 2 < models.len() => (json!({model.clone(): Value::Null}), Some(model)),
        3 => (json!({model: {"replicas": rng.random_range(1..3)}}), None),
        4 => {
            let adapter = json!({"memory": 100, "version": step.to_string()});
            (json!({model: {"adapters": {"es": adapter}}}), None)
        }
        _ => (json!({model: {"version": step.to_string()}}), None),
    }
}

/// Each of three engines with 80,000 MiB has room for four replicas, or for two.
#[rstest]
#[case::with_room(20_000, 0)]
#[case::at_the_edge_of_memory(39_000, 10)]
#[tokio::test]
async fn every_model_stays_reachable_through_a_walk_of_changes(
    #[case] memory: u64,
    #[case] min_short: u64,
) {
    let engines = (0..3).map(|index| {
        engine::Settings::new(&format!("lm-{index}")).with_model(&format!("m-{index}"), "1", memory)
    });
    let site = Site::start(2, engines.collect()).await;
    let operators = site.hosts()[0].operators();
    let hosts: Vec<_> = site.hosts().iter().map(|host| host.callers()).collect();
    let results = Results::default();
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut callers: BTreeMap<String, Caller> = BTreeMap::new();
    let mut outcomes: BTreeMap<String, u64> = BTreeMap::new();

    for step in 0..CHANGES {
        let current = get(operators, "/config").await.unwrap();
        let models = current["config"]["models"].as_object().unwrap();
        for model in models.keys() {
            if !callers.contains_key(model) {
                // Calls start once a new model has answered through both hosts. From then on it
                // must stay reachable.
                until("a new model answers through both hosts", async || {
                    post_chat(hosts[0], &chat_body(model)).await.status == 200
                        && post_chat(hosts[1], &chat_body(model)).await.status == 200
                })
                .await;
                callers.insert(model.clone(), Caller::start(hosts.clone(), model, &results));
            }
        }
        let names: Vec<String> = models.keys().cloned().collect();
        let (changes, removed) = random_change(&mut rng, step, &names, memory);
        let mut offered = names;
        offered.extend(changes.as_object().unwrap().keys().cloned());
        offered.sort();
        offered.dedup();
        if let Some(removed) = &removed {
            offered.retain(|model| model != removed);
            callers.remove(removed).unwrap().stop().await;
        }
        let offer = json!({"chat": {"offer": {"models": offered}}});
        let patch = json!({
            "id": format!("step-{step}"), "against": current["number"],
            "changes": {"models": changes, "services": offer}
        });
        let headers = [("content-type", "application/json")];
        let answer = send(operators, "POST", "/config/patches", &headers, &patch.to_string()).await;
        let outcome = answer.json()["outcome"].as_str().unwrap().to_owned();
        assert!(["accepted", "unchanged", "short"].contains(&&*outcome), "{}", answer.text());
        *outcomes.entry(outcome).or_default() += 1;
    }
    // Callers go on until all open orders are settled.
    until("no order is open", async || {
        let moves = get(operators, "/status/moves").await.unwrap();
        moves["open"].as_array().is_some_and(|open| open.is_empty())
    })
    .await;
    for caller in callers.into_values() {
        caller.stop().await;
    }
    let unreachable = results.unreachable.lock().unwrap().clone();
    let answered = results.answered.load(Ordering::Relaxed);
    assert_eq!(
        unreachable,
        Vec::<String>::new(),
        "failed calls beside {answered} answered ones; patches: {outcomes:?}"
    );
    assert!(CHANGES / 2 < outcomes["accepted"], "{outcomes:?}");
    let short = outcomes.get("short").copied().unwrap_or_default();
    assert!(min_short <= short, "{outcomes:?}");
    assert!(CHANGES < answered, "{answered}");
    println!("{answered} answered, none unreachable; {outcomes:?}");
    site.shut_down().await;
}
