//! The number in force on one host.
//!
//! A host hears of numbers from watches and peers in any order, late and more than once. What is
//! in force only ever goes up: an older root is passed over, and a newer one comes into force when
//! all its parts are there. Parts that two roots share are fetched once.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use types::config::{Config, Number, Numbered};

use super::{Root, part, root::Content};

/// Bytes of a part.
pub type Bytes = Arc<[u8]>;

/// What a host holds of the configuration.
#[derive(Debug, Default)]
pub struct Holder {
    in_force: Option<InForce>,
    pending: Option<Root>,
    parts: BTreeMap<part::Name, Bytes>,
}

#[derive(Debug)]
struct InForce {
    root: Arc<Root>,
    numbered: Arc<Numbered>,
}

/// What came of a root or a part.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// Nothing new.
    Known,
    /// These parts are needed.
    Needs(Vec<part::Name>),
    /// This is in force from now on.
    InForce(Arc<Numbered>),
}

impl Holder {
    /// The configuration in force, once there is one.
    pub fn in_force(&self) -> Option<&Arc<Numbered>> {
        self.in_force.as_ref().map(|in_force| &in_force.numbered)
    }

    /// The root in force, once there is one.
    pub fn root(&self) -> Option<&Arc<Root>> {
        self.in_force.as_ref().map(|in_force| &in_force.root)
    }

    /// The number in force; zero before the first.
    pub fn number(&self) -> Number {
        self.in_force.as_ref().map_or(0, |in_force| in_force.numbered.number)
    }

    /// The highest number heard of.
    pub fn newest_number(&self) -> Number {
        self.pending.as_ref().map_or(self.number(), |root| root.number)
    }

    /// A part that is held, for a peer that asks for it.
    pub fn part(&self, name: &part::Name) -> Option<&Bytes> {
        self.parts.get(name)
    }

    /// Takes a root that was read or heard of.
    ///
    /// # Errors
    ///
    /// All its parts were there and don't make a configuration.
    pub fn observe_root(&mut self, root: Root) -> Result<Progress, part::Fault> {
        let is_known = match (&self.pending, &self.in_force) {
            (None, None) => false,
            _ => root.number <= self.newest_number(),
        };
        if is_known {
            return Ok(Progress::Known);
        }
        self.pending = Some(root);
        self.drop_unnamed();
        self.advance()
    }

    /// Takes a part that was fetched.
    ///
    /// # Errors
    ///
    /// Its content isn't what its name says; the holder is as before and still needs it.
    pub fn add_part(&mut self, name: part::Name, bytes: Bytes) -> Result<Progress, part::Fault> {
        let is_needed = self.needs().contains(&name);
        if !is_needed {
            return Ok(Progress::Known);
        }
        part::read(&name, &bytes)?;
        self.parts.insert(name, bytes);
        self.advance()
    }

    /// Parts that the newest root names and that aren't held.
    pub fn needs(&self) -> Vec<part::Name> {
        let named = self.pending.iter().flat_map(|root| root.parts());
        named.filter(|name| !self.parts.contains_key(*name)).cloned().collect()
    }

    fn advance(&mut self) -> Result<Progress, part::Fault> {
        let needs = self.needs();
        if !needs.is_empty() {
            return Ok(Progress::Needs(needs));
        }
        let Some(root) = self.pending.take() else { return Ok(Progress::Known) };
        let config = match &root.content {
            Content::Whole(config) => Config::clone(config),
            Content::Parts { weights, names } => {
                let parts = names.iter().filter_map(|name| Some((name, &**self.parts.get(name)?)));
                part::join(*weights, parts)?
            }
        };
        let numbered = Arc::new(Numbered { number: root.number, config });
        self.in_force = Some(InForce { root: Arc::new(root), numbered: numbered.clone() });
        self.drop_unnamed();
        Ok(Progress::InForce(numbered))
    }

    /// Drops parts that neither the root in force nor the newest one names.
    fn drop_unnamed(&mut self) {
        let in_force = self.in_force.iter().flat_map(|in_force| in_force.root.parts());
        let pending = self.pending.iter().flat_map(|root| root.parts());
        let named: BTreeSet<part::Name> = in_force.chain(pending).cloned().collect();
        self.parts.retain(|name, _| named.contains(name));
    }
}
