//! Decisions on patches: concurrent, stale, repeated and invalid ones.

use std::{collections::BTreeMap, sync::Arc};

use policy::config::{
    Decision, Draft, Patch, Root, decide,
    decide::Current,
    fit::Server,
    holder::{Holder, Progress},
    merge, part,
};
use rstest::rstest;
use serde_json::{Value, json};
use types::config::{Config, Number};

fn servers() -> Vec<Server> {
    (0..4)
        .map(|i| Server { id: format!("e{i}").into(), group: "lm".into(), capacity: 1000 })
        .collect()
}

fn patch(id: &str, against: Number, changes: Value) -> Patch {
    Patch { id: id.into(), against, changes }
}

fn model(memory: u64) -> Value {
    json!({"group": "lm", "version": "1", "memory": memory})
}

fn accept(current: &Current, patch: &Patch) -> Draft {
    match decide(current, patch, &servers()) {
        Decision::Accept(draft) => *draft,
        other => panic!("{other:?}"),
    }
}

fn after(current: &Current, patch: &Patch) -> Current {
    let draft = accept(current, patch);
    Current { root: draft.root, config: draft.config }
}

/// Returns configuration 1, with two models and a customer.
fn first() -> Current {
    let changes = json!({
        "customers": {"guests": {"share": 2}},
        "models": {"welcome": model(100), "terms": model(100)}
    });
    after(&Current::default(), &patch("first", 0, changes))
}

/// Returns configuration 1, too large to be stored in the root.
fn large() -> Current {
    let models: BTreeMap<String, Value> =
        (0..700).map(|i| (format!("filler-{i:03}"), model(1))).collect();
    after(&Current::default(), &patch("first", 0, json!({"models": models})))
}

/// Returns the configuration that a root and parts make.
fn assemble(root: &Root, parts: &BTreeMap<part::Name, Vec<u8>>) -> Config {
    let mut holder = Holder::default();
    holder.observe_root(root.clone()).unwrap();
    add_all_parts(&mut holder, parts);
    holder.in_force().unwrap().config.clone()
}

#[test]
fn each_accepted_patch_makes_the_next_number() {
    let one = first();
    assert_eq!(one.root.number, 1);
    let two = after(&one, &patch("b", 1, json!({"models": {"terms": {"memory": 120}}})));
    assert_eq!((two.root.number, two.config.models["terms"].memory), (2, 120));
    assert_eq!(two.config.models["welcome"], one.config.models["welcome"]);
}

#[test]
fn null_removes() {
    let two = after(&first(), &patch("b", 1, json!({"models": {"terms": null}})));
    assert_eq!(two.config.models.keys().map(|id| &**id).collect::<Vec<_>>(), ["welcome"]);
}

#[rstest]
#[case::same_value(json!({"models": {"terms": {"memory": 130}}}), &["/models/terms/memory"])]
#[case::removal_of_what_changed(json!({"models": {"terms": null}}), &["/models/terms"])]
#[case::other_value(json!({"models": {"welcome": {"memory": 130}}}), &[])]
#[case::both(
    json!({"weights": {"moves": 2}, "models": {"terms": {"memory": 1}, "welcome": {"kv": 1}}}),
    &["/models/terms/memory"]
)]
fn a_stale_patch_is_refused_with_the_number_and_the_paths_that_clash(
    #[case] changes: Value,
    #[case] clashes: &[&str],
) {
    let two = after(&first(), &patch("b", 1, json!({"models": {"terms": {"memory": 120}}})));
    let Decision::Stale(stale) = decide(&two, &patch("c", 1, changes), &servers()) else {
        panic!("the patch was not refused as stale");
    };
    assert_eq!(
        (stale.current, stale.clashes),
        (2, clashes.iter().map(|p| p.to_string()).collect())
    );
}

#[test]
fn a_patch_against_a_number_not_reached_is_refused() {
    let decision = decide(&first(), &patch("b", 9, json!({"weights": {"moves": 2}})), &servers());
    assert!(matches!(decision, Decision::Stale(stale) if stale.current == 1));
}

#[test]
fn a_patch_older_than_what_is_kept_clashes_with_all_it_touches() {
    let mut current = first();
    for number in 1..300 {
        let changes = json!({"weights": {"moves": number + 9}});
        current = after(&current, &patch(&format!("p{number}"), number, changes));
    }
    let Decision::Stale(stale) =
        decide(&current, &patch("late", 1, json!({"models": {"terms": {"kv": 1}}})), &servers())
    else {
        panic!("the patch was not refused as stale");
    };
    assert_eq!((stale.current, stale.clashes), (300, vec!["/models/terms/kv".to_string()]));
}

#[test]
fn a_retry_gets_the_first_outcome_whatever_came_since() {
    let request = patch("b", 1, json!({"models": {"terms": {"memory": 120}}}));
    let two = after(&first(), &request);
    let three = after(&two, &patch("c", 2, json!({"models": {"terms": null}})));
    for current in [&two, &three] {
        assert_eq!(decide(current, &request, &servers()), Decision::Repeated(2));
    }
}

#[test]
fn a_retry_after_its_entry_has_gone_is_stale_and_not_run_again() {
    let request = patch("b", 1, json!({"models": {"terms": null}}));
    let mut current = after(&first(), &request);
    for number in 2..300 {
        let changes = json!({"weights": {"moves": number + 9}});
        current = after(&current, &patch(&format!("p{number}"), number, changes));
    }
    assert!(current.root.accepted("b").is_none());
    assert!(matches!(decide(&current, &request, &servers()), Decision::Stale(_)));
}

#[test]
fn another_patch_under_a_name_that_is_taken_is_refused() {
    let two = after(&first(), &patch("b", 1, json!({"models": {"terms": {"memory": 120}}})));
    for other in [
        patch("b", 1, json!({"models": {"terms": {"memory": 121}}})),
        patch("b", 2, json!({"models": {"terms": {"memory": 120}}})),
    ] {
        assert_eq!(decide(&two, &other, &servers()), Decision::Reused);
    }
}

#[rstest]
#[case::empty(json!({}))]
#[case::same_values(json!({"models": {"terms": {"memory": 100}}, "customers": {"nobody": null}}))]
fn a_patch_that_changes_nothing_makes_no_number(#[case] changes: Value) {
    assert_eq!(decide(&first(), &patch("b", 1, changes), &servers()), Decision::Unchanged(1));
}

#[rstest]
#[case::not_an_object(json!([]), "")]
#[case::unknown_section(json!({"modles": {}}), "/modles")]
#[case::unknown_field(json!({"models": {"terms": {"size": 1}}}), "/models/terms/size")]
#[case::wrong_type(json!({"models": {"terms": {"memory": "x"}}}), "/models/terms/memory")]
#[case::missing(json!({"models": {"new": {"group": "lm"}}}), "/models/new")]
#[case::zero(json!({"models": {"terms": {"memory": 0}}}), "/models/terms/memory")]
fn what_would_be_no_configuration_is_refused(#[case] changes: Value, #[case] path: &str) {
    match decide(&first(), &patch("b", 1, changes), &servers()) {
        Decision::Invalid(problems) => assert_eq!(problems[0].path, path, "{problems:?}"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn removing_what_another_entry_names_is_refused_where_it_dangles() {
    let service = json!({
        "customer": "guests", "offer": {"models": ["terms"]}, "target": {"first_token_ms": 800}
    });
    let two = after(&first(), &patch("b", 1, json!({"services": {"lobby": service}})));
    let removal = patch("c", 2, json!({"models": {"terms": null}, "customers": {"guests": null}}));
    let Decision::Invalid(problems) = decide(&two, &removal, &servers()) else {
        panic!("the removal was not refused as invalid");
    };
    let paths: Vec<_> = problems.iter().map(|problem| problem.path.as_str()).collect();
    assert_eq!(paths, ["/services/lobby/customer", "/services/lobby/offer/models/0"]);
}

/// Object API with one root and its parts, for concurrent writers.
#[derive(Default)]
struct Platform {
    version: u64,
    current: Current,
    parts: BTreeMap<part::Name, Vec<u8>>,
}

impl Platform {
    fn write(&mut self, version: u64, draft: Draft) -> bool {
        self.parts.extend(draft.parts.into_iter().map(|part| (part.name, part.bytes)));
        if version != self.version {
            return false;
        }
        self.version += 1;
        self.current = Current { root: draft.root, config: draft.config };
        true
    }
}

#[test]
fn of_patches_that_race_one_wins_each_number_and_the_losers_garbage_is_safe_to_sweep() {
    let mut platform = Platform::default();
    let first = large();
    assert!(platform.write(0, Draft::new(1, Config::clone(&first.config), &[]).unwrap()));
    assert!(platform.parts.len() > 20);
    for round in 0..40 {
        let (version, base) = (platform.version, platform.current.clone());
        // Three writers read the same root; each tries to write its own draft.
        let drafts: Vec<Draft> = (0..3)
            .map(|writer| {
                let name = format!("m{}", (round * 7 + writer) % 11);
                let changes = json!({"models": {name: model(10 + round + writer)}});
                accept(&base, &patch(&format!("p{round}-{writer}"), base.root.number, changes))
            })
            .collect();
        let winners = drafts.into_iter().filter(|draft| platform.write(version, draft.clone()));
        assert_eq!(winners.count(), 1);
        assert_eq!(platform.current.root.number, base.root.number + 1);

        // One garbage collector has the newest root, another was paused since the root before it.
        for root in [&base.root, &platform.current.root.clone()] {
            for name in part::garbage(root, platform.parts.keys().cloned().collect::<Vec<_>>()) {
                platform.parts.remove(&name);
            }
        }
        assert_eq!(assemble(&platform.current.root, &platform.parts), *platform.current.config);
    }
}

fn add_all_parts(holder: &mut Holder, parts: &BTreeMap<part::Name, Vec<u8>>) -> Option<Number> {
    let mut number = None;
    for name in holder.needs() {
        let bytes = parts[&name].as_slice().into();
        if let Progress::InForce(numbered) = holder.add_part(name, bytes).unwrap() {
            number = Some(numbered.number);
        }
    }
    number
}

/// Returns the configurations of numbers 1 to 5, and every part that their roots name.
fn history() -> (Vec<Current>, BTreeMap<part::Name, Vec<u8>>) {
    let first = Draft::new(1, Config::clone(&large().config), &[]).unwrap();
    let mut parts: BTreeMap<_, _> =
        first.parts.into_iter().map(|part| (part.name, part.bytes)).collect();
    let mut all = vec![Current { root: first.root, config: first.config }];
    for number in 1..5 {
        let base = all[number as usize - 1].clone();
        let changes = json!({"models": {format!("m{number}"): model(10 + number)}});
        let draft = accept(&base, &patch(&format!("p{number}"), number, changes));
        parts.extend(draft.parts.iter().map(|part| (part.name.clone(), part.bytes.clone())));
        all.push(Current { root: draft.root, config: draft.config });
    }
    (all, parts)
}

#[test]
fn a_host_never_goes_back_whatever_order_it_hears_in() {
    let (history, parts) = history();
    let mut holder = Holder::default();
    let mut highest = 0;
    for received in [2, 0, 1, 2, 4, 3, 0, 4] {
        holder.observe_root(history[received].root.clone()).unwrap();
        add_all_parts(&mut holder, &parts);
        highest = highest.max(received as Number + 1);
        assert_eq!(holder.number(), highest);
        assert_eq!(holder.in_force().unwrap().config, *history[highest as usize - 1].config);
    }
}

#[test]
fn a_newer_number_overtakes_one_whose_parts_are_missing() {
    let (history, parts) = history();
    let mut holder = Holder::default();
    holder.observe_root(history[0].root.clone()).unwrap();
    assert_eq!((holder.number(), holder.newest_number()), (0, 1));
    holder.observe_root(history[3].root.clone()).unwrap();
    // A part of number 1 arrives late.
    let named = |root: &Root| root.parts().to_vec();
    let newest = named(&history[3].root);
    let late = named(&history[0].root).into_iter().find(|name| !newest.contains(name)).unwrap();
    let bytes = parts[&late].as_slice().into();
    assert_eq!(holder.add_part(late, bytes).unwrap(), Progress::Known);
    assert_eq!(holder.number(), 0);
    assert_eq!(add_all_parts(&mut holder, &parts), Some(4));
}

#[test]
fn a_part_that_is_not_what_its_name_says_is_refused_and_still_needed() {
    let (history, parts) = history();
    let mut holder = Holder::default();
    holder.observe_root(history[0].root.clone()).unwrap();
    let needs = holder.needs();
    let name = needs[0].clone();
    let mut bytes = parts[&name].clone();
    bytes[3] ^= 1;
    assert!(holder.add_part(name, bytes.into()).is_err());
    assert_eq!(holder.needs(), needs);
    assert_eq!(add_all_parts(&mut holder, &parts), Some(1));
}

#[test]
fn roots_and_keys_are_read_back() {
    let (history, _) = history();
    let root = &history[4].root;
    assert_eq!(&serde_json::from_value::<Root>(json!(root)).unwrap(), root);
    let name = &root.parts()[0];
    assert_eq!(part::Name::of_key(&name.key()).as_ref(), Some(name));
    for other in ["config/root", "config/part/", "config/part/x", "config/part/x-1"] {
        assert_eq!(part::Name::of_key(other), None, "{other}");
    }
}

#[test]
fn a_small_configuration_stands_in_the_root_and_a_large_one_in_parts() {
    let small = first();
    assert_eq!(small.root.parts(), []);
    let text = json!(small.root).to_string();
    assert!(text.contains("\"config\":{"), "{text}");
    let mut holder = Holder::default();
    let progress = holder.observe_root(serde_json::from_str(&text).unwrap()).unwrap();
    assert!(matches!(progress, Progress::InForce(numbered) if numbered.config == *small.config));

    let large = large();
    assert!(large.root.parts().len() > 20);
    assert!(!json!(large.root).to_string().contains("filler"));
    let none = large.config.models.keys().map(|id| (id.to_string(), Value::Null));
    let none: BTreeMap<String, Value> = none.collect();
    let emptied = after(&large, &patch("b", 1, json!({"models": none})));
    assert_eq!(emptied.root.parts(), []);
    assert_eq!(part::garbage(&emptied.root, large.root.parts().to_vec()), large.root.parts());
}

#[rstest]
#[case::both(json!({"number": 1, "config": {}, "weights": {"attainment": 1, "moves": 1}}))]
#[case::neither(json!({"number": 1}))]
#[case::parts_without_weights(json!({"number": 1, "parts": []}))]
#[case::unknown(json!({"number": 1, "config": {}, "color": 1}))]
fn a_root_of_no_kind_is_refused(#[case] root: Value) {
    assert!(serde_json::from_value::<Root>(root).is_err());
}

#[test]
fn an_empty_first_configuration_gets_a_number() {
    let one = after(&Current::default(), &patch("a", 0, json!({})));
    assert_eq!((one.root.number, one.config), (1, Arc::new(Config::default())));
    assert_eq!(merge::changes(&Config::default(), &Config::default()).unwrap(), json!({}));
}
