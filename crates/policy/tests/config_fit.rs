//! Changes that don't fit in memory, or can't be made without a gap in service.

use policy::config::fit::{Server, Step, shortages};
use rstest::rstest;
use serde_json::{Value, json};
use types::config::Config;

fn config(models: Value) -> Config {
    serde_json::from_value(json!({"models": models})).unwrap()
}

fn servers(capacities: &[u64]) -> Vec<Server> {
    let server = |(i, capacity): (usize, &u64)| Server {
        id: format!("e{i}").into(),
        group: "lm".into(),
        capacity: *capacity,
    };
    capacities.iter().enumerate().map(server).collect()
}

fn model(version: &str, memory: u64, replicas: u32) -> Value {
    json!({"group": "lm", "version": version, "memory": memory, "replicas": replicas})
}

/// Returns the models that are short of memory, each with the step that fails.
fn short_models(from: Value, to: Value, capacities: &[u64]) -> Vec<(String, Step)> {
    shortages(&config(from), &config(to), &servers(capacities))
        .into_iter()
        .map(|shortage| (shortage.model.to_string(), shortage.step))
        .collect()
}

#[rstest]
#[case::fits(json!({"a": model("1", 60, 2), "b": model("1", 40, 2)}), &[])]
#[case::too_large_for_any_server(json!({"a": model("1", 101, 1)}), &["a"])]
#[case::more_replicas_than_servers(json!({"a": model("1", 10, 3)}), &["a"])]
#[case::one_of_three(
    json!({"a": model("1", 60, 2), "b": model("1", 40, 2), "c": model("1", 41, 1)}), &["c"]
)]
#[case::all_that_are_too_large(
    json!({"a": model("1", 101, 1), "b": model("1", 102, 1), "c": model("1", 10, 1)}), &["a", "b"]
)]
fn added_models(#[case] to: Value, #[case] expected: &[&str]) {
    let found = short_models(json!({}), to, &[100, 100]);
    assert_eq!(found.iter().map(|(model, _)| model.as_str()).collect::<Vec<_>>(), expected);
}

#[test]
fn kv_and_adapters_count() {
    let to = |kv: u64| {
        json!({"a": {
            "group": "lm", "version": "1", "memory": 50, "kv": kv,
            "adapters": {"es": {"memory": 20, "version": "1"}}
        }})
    };
    assert_eq!(short_models(json!({}), to(30), &[100]), []);
    assert_eq!(short_models(json!({}), to(31), &[100]), [("a".into(), Step::Place)]);
}

#[rstest]
#[case::room_on_the_same_server(&[100], 50, &[])]
#[case::room_on_another(&[60, 60], 50, &[])]
#[case::no_room(&[60], 50, &[Step::Replace])]
fn a_new_version_needs_room_beside_the_old(
    #[case] capacities: &[u64],
    #[case] memory: u64,
    #[case] expected: &[Step],
) {
    let old = json!({"a": model("1", memory, 1)});
    let found = short_models(old, json!({"a": model("2", memory, 1)}), capacities);
    assert_eq!(found.iter().map(|(_, step)| *step).collect::<Vec<_>>(), expected);
}

#[test]
fn many_new_versions_take_the_same_room_one_after_the_other() {
    let models = |version: &str| json!({"a": model(version, 40, 2), "b": model(version, 40, 2), "c": model(version, 40, 1)});
    assert_eq!(short_models(models("1"), models("2"), &[120, 120]), []);
    let to = models("2");
    assert_eq!(short_models(models("1"), to, &[110, 110]).len(), 3);
}

#[test]
fn room_that_a_removal_gives_may_be_used_by_the_same_patch() {
    let old = json!({"a": model("1", 60, 1), "b": model("1", 40, 1)});
    assert_eq!(short_models(old.clone(), json!({"a": model("2", 60, 1)}), &[100]).len(), 1);
    assert_eq!(
        short_models(old, json!({"a": model("1", 60, 1), "c": model("1", 40, 1)}), &[100]),
        []
    );
}

#[test]
fn shrinking_goes_before_growing() {
    let old = json!({"a": model("1", 30, 1), "b": model("1", 60, 1)});
    let new = json!({"a": model("1", 60, 1), "b": model("1", 30, 1)});
    assert_eq!(short_models(old, new, &[100]), []);
}

#[rstest]
#[case::room_for_the_adapter(100, &[])]
#[case::not_enough(99, &[Step::Replace])]
fn a_new_version_of_an_adapter_needs_room_beside_the_old(
    #[case] capacity: u64,
    #[case] expected: &[Step],
) {
    let models = |version: &str| {
        json!({"a": {
            "group": "lm", "version": "1", "memory": 60,
            "adapters": {"es": {"memory": 20, "version": version}}
        }})
    };
    let found = short_models(models("1"), models("2"), &[capacity]);
    assert_eq!(found.iter().map(|(_, step)| *step).collect::<Vec<_>>(), expected);
}

#[test]
fn what_gives_memory_back_is_welcome_when_servers_are_lost() {
    let old = json!({"a": model("1", 90, 2), "b": model("1", 90, 2), "c": model("1", 90, 1)});
    let new = json!({"a": model("1", 90, 1), "b": model("1", 80, 2)});
    assert_eq!(short_models(old, new, &[100]), []);
}

#[test]
fn a_model_that_fails_leaves_the_room_of_the_others_as_it_was() {
    let old = json!({"a": model("1", 50, 1), "b": model("1", 30, 1)});
    let new = json!({"a": model("1", 150, 1), "b": model("1", 50, 1)});
    let found = short_models(old, new, &[100]);
    assert_eq!(found, [("a".into(), Step::Place)]);
}

#[test]
fn a_shortage_says_what_is_short_and_where() {
    let new = json!({"a": model("1", 70, 2), "b": model("1", 40, 1)});
    let found = shortages(&Config::default(), &config(new), &servers(&[100, 100]));
    assert_eq!(
        found[0].to_string(),
        "model b needs 40 MiB on one more server of lm: its 2 servers have 60 MiB free, \
         30 MiB at most on one that can take it"
    );
    let gone = json!({"a": {"group": "gone", "version": "1", "memory": 1}});
    let found = shortages(&Config::default(), &config(gone), &servers(&[100]));
    assert_eq!((&*found[0].group, found[0].servers), ("gone", 0));
}
