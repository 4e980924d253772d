//! Customers of routed services: whose key a caller presents.
//!
//! Only digests of keys are kept. A [`Directory`] is built from each declaration; looking up a key
//! costs one hash lookup however many keys there are. A host that can't reach the store keeps to the
//! last declaration that it has: it goes on serving the keys of that declaration, and learns of
//! added and removed keys once it reaches the store again.

mod caller;
mod change;

pub mod quota;

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, DefaultHasher},
    sync::Arc,
};

use types::{
    customer::{self, KeyDigest},
    routed::{Customer, Declaration, Version},
};

pub use self::{caller::Caller, change::Change};

/// A map with a fixed hasher seed. Its iteration order never affects a decision.
type Map<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;

/// The customers of one declaration, by key.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    by_key: Map<KeyDigest, Arc<Customer>>,
}

/// Why the customers of a declaration can't be told apart.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Conflict {
    /// Two customers have one name.
    #[error("customer {0:?} is declared twice")]
    Name(customer::Id),
    /// Two customers hold one key.
    #[error("customers {0:?} and {1:?} hold the same key")]
    Key(customer::Id, customer::Id),
}

/// Why a declaration is not put in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The declaration in force is the same one or a later one.
    Outdated,
    /// The customers of the declaration can't be told apart.
    Conflicts(Vec<Conflict>),
}

/// Returns the customers of a declaration that comes into force after the one of version `current`;
/// `None` if it identifies nobody.
///
/// # Errors
///
/// The declaration is not put in force.
pub fn accept(
    current: Option<Version>,
    declaration: &Declaration,
) -> Result<Option<Directory>, Rejection> {
    if current.is_some_and(|current| declaration.version <= current) {
        return Err(Rejection::Outdated);
    }
    let customers = declaration.customers.as_deref().map(Directory::new).transpose();
    customers.map_err(Rejection::Conflicts)
}

impl Directory {
    /// Indexes the customers of a declaration.
    ///
    /// # Errors
    ///
    /// All conflicts between customers.
    pub fn new(customers: &[Customer]) -> Result<Directory, Vec<Conflict>> {
        let mut conflicts = Vec::new();
        let mut names = Map::default();
        let mut by_key: Map<KeyDigest, Arc<Customer>> = Map::default();
        for customer in customers {
            if names.insert(customer.name.clone(), ()).is_some() {
                conflicts.push(Conflict::Name(customer.name.clone()));
                continue;
            }
            let customer = Arc::new(customer.clone());
            for key in &customer.keys {
                match by_key.insert(*key, customer.clone()) {
                    Some(other) if other.name != customer.name => {
                        conflicts.push(Conflict::Key(other.name.clone(), customer.name.clone()));
                    }
                    Some(_) | None => {}
                }
            }
        }
        if conflicts.is_empty() { Ok(Directory { by_key }) } else { Err(conflicts) }
    }

    /// Returns the customer that holds a key.
    #[must_use]
    pub fn identify(&self, key: KeyDigest) -> Option<&Arc<Customer>> {
        self.by_key.get(&key)
    }
}
