//! What a declaration changes about customers, as it is logged.

use std::collections::{BTreeMap, BTreeSet};

use types::{
    customer::{self, KeyDigest},
    routed::Customer,
};

/// Differences between the customers of two declarations, without their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Customers that were added, by name.
    pub added: Vec<customer::Id>,
    /// Customers that were removed, by name.
    pub removed: Vec<customer::Id>,
    /// Number of keys that a customer now holds and did not hold before.
    pub keys_added: u32,
    /// Number of keys that a customer held before and no longer holds. A key that moves to another
    /// customer counts as added and as removed.
    pub keys_removed: u32,
    /// Customers with another quota, priority or weight than before, by name.
    pub limits_changed: Vec<customer::Id>,
}

impl Change {
    /// Compares the customers of a declaration with those of the one before.
    #[must_use]
    pub fn between(before: &[Customer], after: &[Customer]) -> Change {
        let (old, new) = (by_name(before), by_name(after));
        let is_changed = |customer: &&Customer| {
            old.get(&customer.name).is_some_and(|before| limits(before) != limits(customer))
        };
        let names = |of: &[Customer], not_in: &BTreeMap<&customer::Id, &Customer>| {
            let customers = of.iter().filter(|customer| !not_in.contains_key(&customer.name));
            customers.map(|customer| customer.name.clone()).collect()
        };
        let (old_keys, new_keys) = (holdings(before), holdings(after));
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        Change {
            added: names(after, &old),
            removed: names(before, &new),
            keys_added: count(new_keys.difference(&old_keys).count()),
            keys_removed: count(old_keys.difference(&new_keys).count()),
            limits_changed: after
                .iter()
                .filter(is_changed)
                .map(|customer| customer.name.clone())
                .collect(),
        }
    }

    /// Returns whether the declarations agree on customers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Change::default()
    }
}

fn by_name(customers: &[Customer]) -> BTreeMap<&customer::Id, &Customer> {
    customers.iter().map(|customer| (&customer.name, customer)).collect()
}

fn holdings(customers: &[Customer]) -> BTreeSet<(&customer::Id, KeyDigest)> {
    customers
        .iter()
        .flat_map(|customer| customer.keys.iter().map(move |key| (&customer.name, *key)))
        .collect()
}

fn limits(customer: &Customer) -> (Option<customer::Quota>, Option<u8>, u32) {
    (customer.quota, customer.priority, customer.weight)
}
