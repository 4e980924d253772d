//! Properties of the reader with arbitrary and damaged input: it never panics, and it accepts
//! exactly what serde itself accepts, except for objects written as arrays of their values. Serde
//! accepts those, but the file format does not include them.

use std::path::Path;

use proptest::{
    prelude::*,
    test_runner::{Config as RunConfig, RngSeed},
};
use serde_json::{Value, json};
use settings::{node::Node, shape};
use types::config::Config;

const SEED: u64 = 0x5e77_1265;

fn run_config() -> RunConfig {
    RunConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..RunConfig::default()
    }
}

fn sample() -> Value {
    json!({
        "weights": {"attainment": 3.5, "moves": 1},
        "customers": {"guests": {"share": 2}, "a/b~c": {}},
        "models": {"welcome": {
            "group": "lm", "version": "1", "memory": 100, "kv": 10, "replicas": 2,
            "adapters": {"es": {"memory": 3, "version": "2"}}
        }},
        "services": {
            "lobby": {
                "customer": "guests", "offer": {"models": ["welcome"]}, "priority": "urgent",
                "target": {"first_token_ms": 800, "between_tokens_ms": 60},
                "non_idempotent": ["POST"], "share": 3
            },
            "login": {
                "customer": "guests", "offer": {"plain": "app"},
                "target": {"first_token_ms": 250}
            }
        }
    })
}

/// Appends the JSON pointers of a value and of all values nested in it to `all`.
fn pointers(value: &Value, path: String, all: &mut Vec<String>) {
    match value {
        Value::Object(members) => members.iter().for_each(|(name, value)| {
            let name = name.replace('~', "~0").replace('/', "~1");
            pointers(value, format!("{path}/{name}"), all);
        }),
        Value::Array(items) => items
            .iter()
            .enumerate()
            .for_each(|(index, value)| pointers(value, format!("{path}/{index}"), all)),
        _ => {}
    }
    all.push(path);
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "\\PC{0,12}".prop_map(Value::from),
        Just(json!("urgent")),
        Just(json!({"plain": "p"})),
    ];
    leaf.prop_recursive(3, 16, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map("[a-z_]{1,8}", inner, 0..4)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

const ARRAY_FOR_OBJECT: &str = "invalid type: sequence, expected an object";

/// Checks that the reader accepts a text and its value exactly if serde does.
fn agrees_with_serde(text: &str) -> Result<(), TestCaseError> {
    let node = Node::parse(Path::new("test.json"), text.as_bytes()).unwrap();
    let reading = shape::read::<Config>(&node);
    match serde_json::from_str::<Config>(text) {
        Ok(config) if reading.findings.is_empty() => {
            prop_assert_eq!(reading.value, Some(config));
        }
        Ok(_) => {
            let stricter = reading.findings.iter().all(|f| f.message == ARRAY_FOR_OBJECT);
            prop_assert!(stricter, "{:?}", reading.findings);
        }
        Err(error) => prop_assert!(!reading.findings.is_empty(), "{error}"),
    }
    Ok(())
}

proptest! {
    #![proptest_config(run_config())]

    #[test]
    fn any_bytes_are_parsed_or_found_faulty(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let parsed = Node::parse(Path::new("test.json"), &bytes);
        let is_json = std::str::from_utf8(&bytes).is_ok()
            && serde_json::from_slice::<Value>(&bytes).is_ok();
        prop_assert_eq!(parsed.is_ok(), is_json);
    }

    #[test]
    fn a_damaged_text_is_parsed_or_found_faulty(
        at in any::<prop::sample::Index>(),
        replacement in any::<char>(),
    ) {
        let mut text: Vec<char> = serde_json::to_string_pretty(&sample()).unwrap().chars().collect();
        let at = at.index(text.len());
        text[at] = replacement;
        let text: String = text.into_iter().collect();
        match Node::parse(Path::new("test.json"), text.as_bytes()) {
            Ok(node) => {
                node.duplicates();
                shape::read::<Config>(&node);
            }
            Err(findings) => prop_assert!(serde_json::from_str::<Value>(&text).is_err(), "{findings}"),
        }
    }

    #[test]
    fn any_json_gets_the_verdict_of_serde(value in any_json()) {
        agrees_with_serde(&value.to_string())?;
    }

    #[test]
    fn each_of_several_replaced_values_is_found(
        picks in prop::collection::vec((any::<prop::sample::Index>(), any_json()), 1..4),
    ) {
        let mut value = sample();
        for (pick, replacement) in picks {
            let mut all = Vec::new();
            pointers(&value, String::new(), &mut all);
            *value.pointer_mut(&all[pick.index(all.len())]).unwrap() = replacement;
        }
        agrees_with_serde(&value.to_string())?;
    }

    #[test]
    fn independent_faults_are_all_found(mask in 1u32..64) {
        let faults = [
            ("/weights/moves", json!("x")),
            ("/customers/a~1b~0c", json!(7)),
            ("/models/welcome/memory", json!(-1)),
            ("/models/welcome/adapters/es/version", json!([])),
            ("/services/lobby/priority", json!("x")),
            ("/services/login/target/first_token_ms", json!(1.5)),
        ];
        let chosen: Vec<_> =
            faults.iter().enumerate().filter(|(i, _)| mask & (1 << i) != 0).map(|(_, f)| f).collect();
        let mut value = sample();
        for (path, replacement) in &chosen {
            *value.pointer_mut(path).unwrap() = replacement.clone();
        }
        let node = Node::parse(Path::new("t.json"), value.to_string().as_bytes()).unwrap();
        let mut found: Vec<_> =
            shape::read::<Config>(&node).findings.into_iter().map(|f| f.path).collect();
        found.sort();
        let mut expected: Vec<_> = chosen.iter().map(|(path, _)| path.to_string()).collect();
        expected.sort();
        prop_assert_eq!(found, expected);
    }
}
