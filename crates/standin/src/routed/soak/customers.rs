//! Customers of a soak, the holders of their keys, and the keys that callers present.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use crate::routed::site::Customer;

/// Names of the customers whose keys change.
const NAMES: [&str; 4] = ["harbour", "mill", "quarry", "smithy"];

/// Customer whose only key is held during the whole soak. Poison requests, readers and pressing
/// callers present it.
const STEADY: &str = "steady";

/// Key of [`STEADY`].
const STEADY_KEY: &str = "steady-key";

/// Number of keys that declarations add, move and remove.
const CHANGING_KEYS: u32 = 12;

/// Number of keys that customers hold at the start.
const FIRST_KEYS: u32 = 8;

/// Key that no declaration ever holds.
const FOREIGN_KEY: &str = "foreign-key";

/// Percentages of requests without a key, and of requests with any key, held or not.
const MISSING_PERCENT: u32 = 4;
const ANY_PERCENT: u32 = 12;

/// The holder of each key, under one declaration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Holders(BTreeMap<String, String>);

fn key(number: u32) -> String {
    format!("key-{number}")
}

impl Holders {
    /// The holders under the first declaration.
    pub(super) fn first() -> Holders {
        let name = |number: u32| NAMES[number as usize % NAMES.len()].to_owned();
        let held = (0..FIRST_KEYS).map(|number| (key(number), name(number)));
        let steady = (STEADY_KEY.to_owned(), STEADY.to_owned());
        Holders(held.chain([steady]).collect())
    }

    /// Adds, moves or removes a key, as drawn from the seed.
    pub(super) fn change(&mut self, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let key = key(random.random_range(0..CHANGING_KEYS));
        let name = NAMES.choose(&mut random).copied().unwrap_or(NAMES[0]).to_owned();
        // Without a removal in two of three changes of a held key, no key would be unheld for long.
        match self.0.contains_key(&key) && random.random_range(0..3) < 2 {
            true => self.0.remove(&key),
            false => self.0.insert(key, name),
        };
    }

    /// Holders of these keys, each with the name of its holder.
    pub fn of(held: &[(&str, &str)]) -> Holders {
        let held = held.iter().map(|(key, name)| ((*key).to_owned(), (*name).to_owned()));
        Holders(held.collect())
    }

    /// Returns the name of the customer that holds a key.
    pub fn holder(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    /// The customers as operators declare them; those without a key are declared, too.
    pub(super) fn customers(&self) -> Vec<Customer> {
        let names = NAMES.into_iter().chain([STEADY]);
        let customer = |name: &str| {
            let held = self.0.iter().filter(|(_, holder)| **holder == *name);
            Customer {
                keys: held.map(|(key, _)| key.clone()).collect(),
                ..Customer::new(name, &[])
            }
        };
        names.map(customer).collect()
    }

    /// Draws the key of a request, which is mostly a held one; `None` for a request without a key.
    fn draw(&self, random: &mut ChaCha8Rng) -> Option<String> {
        let percent = random.random_range(0..100);
        if percent < MISSING_PERCENT {
            return None;
        }
        if percent < MISSING_PERCENT + ANY_PERCENT {
            let number = random.random_range(0..=CHANGING_KEYS);
            return Some(if number == CHANGING_KEYS { FOREIGN_KEY.into() } else { key(number) });
        }
        let held: Vec<&String> = self.0.keys().collect();
        held.choose(random).map(|key| (*key).clone())
    }
}

/// Draws the key of a caller's request, if callers are identified.
pub(super) fn draw_key(holders: Option<&Holders>, random: &mut ChaCha8Rng) -> Option<String> {
    holders?.draw(random)
}

/// The key that is held during the whole soak, if callers are identified.
pub(super) fn steady_key(holders: Option<&Holders>) -> Option<String> {
    holders.map(|_| STEADY_KEY.to_owned())
}
