//! Every declared model stays reachable while the configuration changes.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use standin::engine::Settings;

use types::resident::{State, Unit};

use crate::common::{Builder, Chat, Ending, LoadGenerator, Site, Workload, send, until};

const MODELS: [&str; 2] = ["portal", "notices"];
const STEPS: u64 = 24;
const SEED: u64 = 11;

async fn site() -> Site {
    let engine = |id: &str| {
        let empty = Settings { capacity: 8_000, ..Settings::new(id) };
        MODELS.iter().fold(empty, |settings, model| settings.with_model(model, "v1", 1_000))
    };
    Builder::new(3).engine(engine("lm-1")).engine(engine("lm-2")).start().await
}

/// Returns a random change that adds or removes a model or sets a model's version.
///
/// Models in [`MODELS`], which are called all the time, are never removed.
fn random_change(random: &mut ChaCha8Rng) -> Value {
    let other = format!("other-{}", random.random_range(0..3));
    let called = MODELS[random.random_range(0..MODELS.len())].to_owned();
    let version = format!("v{}", random.random_range(1..4));
    let declared = json!({"group": "lm", "version": version, "memory": 1_000});
    match random.random_range(0..4) {
        0 => json!({"models": {other: Value::Null}}),
        1 => json!({"models": {called: declared}}),
        _ => json!({"models": {other: declared}}),
    }
}

/// Whether each called model is ready on an engine in the version declared last.
fn all_ready(site: &Site) -> bool {
    let (_, root) = site.platform.peek("config/root").expect("a configuration is stored");
    let residents = || site.engines().iter().flat_map(|engine| engine.residents());
    MODELS.iter().all(|name| {
        let declared_version = &root["config"]["models"][name]["version"];
        residents().any(|resident| match &resident.unit {
            Unit::Model { model, version } => {
                &**model == *name
                    && *declared_version == **version
                    && resident.state == State::Ready
            }
            Unit::Adapter { .. } => false,
        })
    })
}

/// Sends a patch; returns the number it was accepted under, or `against` if it was refused.
async fn apply(site: &Site, host: usize, id: u64, against: u64, changes: Value) -> u64 {
    let operators = site.hosts()[host].operators();
    let body = json!({"id": format!("step-{id}"), "against": against, "changes": changes});
    let headers = [("content-type", "application/json")];
    let answer = send(operators, "POST", "/config/patches", &headers, &body.to_string()).await;
    match answer.status {
        200 => answer.json()["number"].as_u64().expect("an accepted patch has a number"),
        _ => against,
    }
}

/// Random changes add, remove and update models while two of them are called all the time.
#[tokio::test]
async fn models_stay_reachable_while_models_are_changed_at_random() {
    let site = site().await;
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let models = MODELS.iter().map(ToString::to_string).collect();
    let generator = LoadGenerator::start(
        4,
        &site.host_addresses(),
        Workload { name: "walk", models, tokens: 10 },
    );

    let mut number = 1;
    for step in 0..STEPS {
        let host = random.random_range(0..3);
        let next = apply(&site, host, step, number, random_change(&mut random)).await;
        if number < next {
            for index in 0..3 {
                until("the configuration is in force", async || next <= site.in_force(index).await)
                    .await;
            }
        }
        number = next;
        let ended = generator.endings().all().len();
        until("more calls end", async || ended + 4 <= generator.endings().all().len()).await;
    }

    until("the last declared versions are ready", async || all_ready(&site)).await;
    let endings = generator.stop().await;
    assert!(STEPS / 4 < number, "too few patches were accepted: the last number is {number}");
    assert_eq!(endings.failures(), [], "failures among {} calls", endings.all().len());
    for (index, model) in MODELS.iter().enumerate() {
        let chat = Chat::new(format!("last-{index}"), model, 5);
        assert_eq!(chat.send(site.hosts()[index].callers()).await, Ending::Complete);
    }
    let moves: u64 = site.engines().iter().map(|engine| engine.counts().moves).sum();
    assert!(STEPS / 4 < moves, "the changes caused too few moves: {moves}");
    assert!(site.engines().iter().all(|engine| engine.counts().overcommits == 0));
    site.shut_down().await;
}
