//! Properties of merge patches and parts over random configurations.

use std::collections::{BTreeMap, VecDeque};

use policy::config::{Root, merge, part, root::Content};
use proptest::{
    prelude::*,
    test_runner::{Config as RunConfig, RngSeed},
};
use serde_json::{Value, json};
use types::config::Config;

const SEED: u64 = 0xc0_4f16;

fn run_config() -> RunConfig {
    RunConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..RunConfig::default()
    }
}

fn name() -> impl Strategy<Value = String> {
    prop_oneof!["[a-c]", "[a-z]{1,6}-[0-9]{1,3}", "[a-z~/]{1,4}"]
}

fn model() -> impl Strategy<Value = Value> {
    let adapter = (1..50u64, "[1-3]")
        .prop_map(|(memory, version)| json!({"memory": memory, "version": version}));
    let adapters = prop::collection::btree_map(name(), adapter, 0..4);
    ("[1-3]", 1..100u64, 1..4u32, adapters).prop_map(|(version, memory, replicas, adapters)| {
        json!({
            "group": "lm", "version": version, "memory": memory, "replicas": replicas,
            "adapters": adapters
        })
    })
}

fn config() -> impl Strategy<Value = Config> {
    let models = prop::collection::btree_map(name(), model(), 0..60);
    let customers = prop::collection::btree_map(
        name(),
        (1..9u32).prop_map(|share| json!({"share": share})),
        0..20,
    );
    (models, customers, 0..5u8).prop_map(|(models, customers, moves)| {
        serde_json::from_value(json!({
            "models": models, "customers": customers,
            "weights": {"attainment": 1, "moves": moves}
        }))
        .unwrap()
    })
}

proptest! {
    #![proptest_config(run_config())]

    #[test]
    fn the_difference_applied_gives_the_other(from in config(), to in config()) {
        let changes = merge::changes(&from, &to).unwrap();
        prop_assert_eq!(merge::apply(&from, &changes).unwrap(), to.clone());
        prop_assert_eq!(merge::changes(&to, &to).unwrap(), json!({}));
    }

    #[test]
    fn every_value_that_differs_lies_at_a_path_of_the_difference(
        from in config(),
        to in config(),
    ) {
        let paths = merge::paths(&merge::changes(&from, &to).unwrap());
        let (from, to) = (json!(from), json!(to));
        for path in &paths {
            prop_assert_ne!(from.pointer(path), to.pointer(path), "{}", path);
        }
        prop_assert_eq!(paths.is_empty(), from == to);
    }

    #[test]
    fn parts_joined_give_the_whole(config in config()) {
        let split = part::split(&config, 7, &[]).unwrap();
        prop_assert_eq!(split.names.len(), split.new.len());
        let parts = split.new.iter().map(|part| (&part.name, &*part.bytes));
        prop_assert_eq!(part::join(config.weights, parts).unwrap(), config);
    }

    #[test]
    fn parts_that_stay_keep_their_names(from in config(), to in config()) {
        let first = part::split(&from, 1, &[]).unwrap();
        let second = part::split(&to, 2, &first.names).unwrap();
        let mut stored: BTreeMap<_, _> =
            first.new.iter().map(|part| (part.name.clone(), part.bytes.clone())).collect();
        for part in &second.new {
            prop_assert!(stored.insert(part.name.clone(), part.bytes.clone()).is_none());
        }
        let parts = second.names.iter().map(|name| (name, &*stored[name]));
        prop_assert_eq!(part::join(to.weights, parts).unwrap(), to.clone());

        let content = Content::Parts { weights: to.weights, names: second.names.clone() };
        let root = Root { number: 2, content, patches: VecDeque::new() };
        let garbage = part::garbage(&root, stored.keys().cloned());
        prop_assert_eq!(garbage.len() + second.names.len(), stored.len());
    }

    #[test]
    fn any_patch_is_applied_or_refused(changes in any_json(), config in config()) {
        if let Ok(patched) = merge::apply(&config, &changes) {
            let again = merge::apply(&patched, &changes).unwrap();
            prop_assert_eq!(again, patched);
        }
        merge::paths(&changes);
    }

    #[test]
    fn any_bytes_of_a_root_or_part_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..64)) {
        let _ = serde_json::from_slice::<Root>(&bytes);
        let split = part::split(&Config::default(), 1, &[]).unwrap();
        prop_assert!(split.names.is_empty());
        let named = part::Name::of_key("config/part/000000000001-00").unwrap();
        prop_assert!(part::read(&named, &bytes).is_err());
    }
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![Just(Value::Null), any::<u32>().prop_map(Value::from), Just(json!("x"))];
    let names = prop::sample::select(vec!["models", "customers", "weights", "a", "memory", "x"]);
    leaf.prop_recursive(4, 16, 4, move |inner| {
        let map =
            prop::collection::btree_map(names.clone().prop_map(String::from), inner.clone(), 0..4);
        prop_oneof![
            prop::collection::vec(inner, 0..3).prop_map(Value::from),
            map.prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}
