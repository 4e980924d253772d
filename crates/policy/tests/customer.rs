//! Identification of callers: changes of keys in any order, with late, repeated and faulty
//! declarations.

use std::collections::BTreeMap;

use policy::customer::{self, Caller, Change, Conflict, Directory, Rejection};
use proptest::prelude::*;
use rstest::rstest;
use types::{
    customer::{KeyDigest, Quota, Unit},
    routed::{Customer, Declaration, Kind, Rate, Route, Version},
};

/// Keys of the drawn customers, by number.
const KEYS: u8 = 6;

const NAMES: [&str; 4] = ["harbour", "mill", "quarry", "smithy"];

fn key(number: u8) -> KeyDigest {
    KeyDigest::of(&[number])
}

fn customer(name: &str, keys: &[u8]) -> Customer {
    Customer {
        name: name.into(),
        keys: keys.iter().copied().map(key).collect(),
        priority: None,
        weight: 1,
        quota: None,
    }
}

fn declaration(version: Version, customers: Option<Vec<Customer>>) -> Declaration {
    Declaration { version, customers, ..Declaration::default() }
}

fn route(public: bool) -> Route {
    Route {
        name: "pages".into(),
        host: "desk.example".into(),
        prefix: "/pages/".into(),
        kind: Kind::Idempotent,
        resumable: false,
        sticky: false,
        timeout: std::time::Duration::from_secs(10),
        goal: std::time::Duration::from_secs(1),
        gap: None,
        silence: None,
        attempts: 3,
        priority: 1,
        split: Vec::new(),
        public,
    }
}

#[rstest]
#[case::name(&[("mill", &[1][..]), ("mill", &[2])], Conflict::Name("mill".into()))]
#[case::key(&[("mill", &[1][..]), ("quarry", &[2, 1])], Conflict::Key("mill".into(), "quarry".into()))]
fn customers_that_cannot_be_told_apart_are_refused(
    #[case] customers: &[(&str, &[u8])],
    #[case] conflict: Conflict,
) {
    let customers: Vec<Customer> =
        customers.iter().map(|(name, keys)| customer(name, keys)).collect();
    assert_eq!(Directory::new(&customers).map(drop), Err(vec![conflict.clone()]));
    let named = customers[1].name.to_string();
    assert!(conflict.to_string().contains(&named), "{conflict}");
}

#[test]
fn a_customer_may_hold_a_key_twice() {
    let directory = Directory::new(&[customer("mill", &[1, 1])]).expect("no conflict");
    assert_eq!(directory.identify(key(1)).map(|found| &*found.name), Some("mill"));
}

#[rstest]
#[case::known_key(Some(1), false, Some("mill"))]
#[case::known_key_on_a_public_route(Some(1), true, Some("mill"))]
#[case::unknown_key(Some(2), false, None)]
#[case::no_key(None, false, None)]
fn a_route_that_is_not_public_needs_a_known_key(
    #[case] number: Option<u8>,
    #[case] public: bool,
    #[case] name: Option<&str>,
) {
    let directory = Directory::new(&[customer("mill", &[1])]).expect("no conflict");
    let caller = Caller::identify(Some(&directory), &route(public), number.map(key));
    let found = caller.as_ref().and_then(Caller::customer).map(|customer| &*customer.name);
    assert_eq!((caller.is_some(), found), (name.is_some(), name));
}

#[test]
fn a_public_route_needs_no_key() {
    let directory = Directory::new(&[customer("mill", &[1])]).expect("no conflict");
    for number in [None, Some(2)] {
        let caller = Caller::identify(Some(&directory), &route(true), number.map(key));
        assert_eq!(caller, Some(Caller::Anonymous));
    }
}

/// Guards against a key that servers get because the customers were withdrawn while its request
/// waited.
#[test]
fn an_identified_caller_is_anonymous_once_nobody_is_identified() {
    let directory = Directory::new(&[customer("mill", &[1])]).expect("no conflict");
    let caller = Caller::identify(Some(&directory), &route(false), Some(key(1))).expect("known");
    assert_eq!(caller.renew(None, &route(false), Some(key(1))), Some(Caller::Anonymous));
    let unmanaged = Caller::identify(None, &route(false), Some(key(1))).expect("nobody is checked");
    assert_eq!(unmanaged.renew(None, &route(false), Some(key(1))), Some(Caller::Unmanaged));
    assert_eq!(unmanaged.renew(Some(&directory), &route(false), Some(key(2))), None);
}

#[test]
fn a_change_counts_moved_keys_twice_and_names_changed_limits() {
    let quota = |rate| {
        Some(Quota { rate: Rate::per_second(rate).unwrap(), burst: 1.0, unit: Unit::Requests })
    };
    let before = [
        Customer { quota: quota(1.0), ..customer("mill", &[1, 2]) },
        customer("quarry", &[3]),
        customer("smithy", &[4]),
    ];
    let after = [
        Customer { quota: quota(2.0), ..customer("mill", &[1]) },
        customer("smithy", &[4, 2]),
        customer("harbour", &[5]),
    ];
    let expected = Change {
        added: vec!["harbour".into()],
        removed: vec!["quarry".into()],
        keys_added: 2,
        keys_removed: 2,
        limits_changed: vec!["mill".into()],
    };
    assert_eq!(Change::between(&before, &after), expected);
    assert!(Change::between(&after, &after).is_empty());
}

/// Customers in which keys and names may be given twice.
fn customers() -> impl Strategy<Value = Option<Vec<Customer>>> {
    let keys = prop::collection::vec(0..KEYS, 0..3);
    let one = (prop::sample::select(NAMES.to_vec()), keys);
    let some = prop::collection::vec(one, 0..4).prop_map(|drawn| {
        let customers: Vec<Customer> =
            drawn.iter().map(|(name, keys)| customer(name, keys)).collect();
        Some(customers)
    });
    prop_oneof![1 => Just(None), 6 => some]
}

/// Holders of keys under customers; `None` if two of them share a name or a key.
fn holders(customers: &[Customer]) -> Option<BTreeMap<KeyDigest, String>> {
    let mut holders = BTreeMap::new();
    for (index, one) in customers.iter().enumerate() {
        if customers[..index].iter().any(|other| other.name == one.name) {
            return None;
        }
        for key in &one.keys {
            let before = holders.insert(*key, one.name.to_string());
            if before.is_some_and(|before| *before != *one.name) {
                return None;
            }
        }
    }
    Some(holders)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Whatever order declarations arrive in, late and repeated ones included, each key belongs to
    /// the holder under the newest sound declaration so far, and a request that was identified
    /// earlier is told the same as one that arrives now.
    #[test]
    fn the_newest_sound_declaration_decides(
        arrivals in prop::collection::vec((0_u64..8, 0_u64..8, customers()), 1..20),
        public in any::<bool>(),
    ) {
        // A version is declared with one content only, whenever it arrives.
        let mut contents = BTreeMap::new();
        let mut current: Option<(Version, Option<Directory>)> = None;
        let mut expected: Option<(Version, Option<BTreeMap<KeyDigest, String>>)> = None;
        let route = route(public);
        let mut waiting: Vec<(u8, Caller)> = Vec::new();
        for (version, repeated, drawn) in arrivals {
            let version = if contents.contains_key(&repeated) { repeated } else { version };
            let content = contents.entry(version).or_insert(drawn).clone();
            let in_force = current.as_ref().map(|(version, _)| *version);
            match customer::accept(in_force, &declaration(version, content.clone())) {
                Ok(directory) => current = Some((version, directory)),
                Err(Rejection::Outdated) => prop_assert!(Some(version) <= in_force),
                Err(Rejection::Conflicts(conflicts)) => prop_assert!(!conflicts.is_empty()),
            }
            let sound = content.as_deref().map(holders);
            if expected.as_ref().is_none_or(|(newest, _)| *newest < version) && sound != Some(None) {
                expected = Some((version, sound.flatten()));
            }
            prop_assert_eq!(current.as_ref().map(|(version, _)| *version),
                expected.as_ref().map(|(version, _)| *version));
            let directory = current.as_ref().and_then(|(_, directory)| directory.as_ref());
            let held = expected.as_ref().and_then(|(_, held)| held.as_ref());

            waiting.retain_mut(|(number, caller)| {
                match caller.renew(directory, &route, Some(key(*number))) {
                    Some(renewed) => { *caller = renewed; true }
                    None => false,
                }
            });
            for (number, caller) in &waiting {
                let holder = held.and_then(|held| held.get(&key(*number)));
                let name = caller.customer().map(|customer| customer.name.to_string());
                prop_assert_eq!(name.as_ref(), holder);
                prop_assert!(held.is_none() || holder.is_some() || public);
            }
            for number in 0..KEYS {
                let caller = Caller::identify(directory, &route, Some(key(number)));
                let holder = held.and_then(|held| held.get(&key(number)));
                match (&caller, held) {
                    (Some(Caller::Unmanaged), held) => prop_assert!(held.is_none()),
                    (Some(Caller::Anonymous), Some(_)) => {
                        prop_assert!(public && holder.is_none());
                    }
                    (Some(Caller::Customer(customer)), Some(_)) => {
                        prop_assert_eq!(Some(&*customer.name), holder.map(|name| &**name));
                    }
                    (None, Some(_)) => prop_assert!(!public && holder.is_none()),
                    (other, None) => prop_assert!(false, "{:?} though nobody is identified", other),
                }
                waiting.extend(caller.map(|caller| (number, caller)));
            }
        }
    }

    /// The differences of two declarations lead from one to the other.
    #[test]
    fn a_change_leads_from_one_declaration_to_the_other(before in customers(), after in customers()) {
        let (before, after) = (before.unwrap_or_default(), after.unwrap_or_default());
        prop_assume!(holders(&before).is_some() && holders(&after).is_some());
        let change = Change::between(&before, &after);
        let count = |customers: &[Customer]| holders(customers).map_or(0, |held| held.len() as u32);
        prop_assert_eq!(count(&before) + change.keys_added, count(&after) + change.keys_removed);
        prop_assert_eq!(before.len() + change.added.len(), after.len() + change.removed.len());
    }
}
