//! The configuration in force on one host.
//!
//! A host receives roots from watches and peers in any order, late and more than once. The number
//! in force never falls: an older root is ignored, and a newer one comes into force when all its
//! parts are present. Parts shared by two roots are fetched once.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use types::config::{Config, Number, NumberedConfig};

use super::{Root, part, root::Content};

/// Content of a part, in JSON.
pub type Bytes = Arc<[u8]>;

/// Root in force, newest root, and the parts of both, on one host.
#[derive(Debug, Default)]
pub struct Holder {
    in_force: Option<InForce>,
    pending: Option<Root>,
    parts: BTreeMap<part::Name, Bytes>,
}

#[derive(Debug)]
struct InForce {
    root: Arc<Root>,
    numbered: Arc<NumberedConfig>,
}

/// Effect of a received root or part.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// Nothing changed.
    Known,
    /// The newest root still needs these parts.
    Needs(Vec<part::Name>),
    /// This configuration is in force from now on.
    InForce(Arc<NumberedConfig>),
}

impl Holder {
    /// Returns the configuration in force; `None` before the first.
    pub fn in_force(&self) -> Option<&Arc<NumberedConfig>> {
        self.in_force.as_ref().map(|in_force| &in_force.numbered)
    }

    /// Returns the root in force; `None` before the first.
    pub fn root(&self) -> Option<&Arc<Root>> {
        self.in_force.as_ref().map(|in_force| &in_force.root)
    }

    /// Returns the number in force; zero before the first.
    pub fn number(&self) -> Number {
        self.in_force.as_ref().map_or(0, |in_force| in_force.numbered.number)
    }

    /// Returns the highest number received, in force or not.
    pub fn newest_number(&self) -> Number {
        self.pending.as_ref().map_or(self.number(), |root| root.number)
    }

    /// Returns the content of a part, for a peer that asks for it.
    pub fn part(&self, name: &part::Name) -> Option<&Bytes> {
        self.parts.get(name)
    }

    /// Applies a root that was read or received from a peer.
    ///
    /// # Errors
    ///
    /// All parts of the root were present, but don't make a configuration.
    pub fn observe_root(&mut self, root: Root) -> Result<Progress, part::Error> {
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

    /// Adds a part that was fetched.
    ///
    /// # Errors
    ///
    /// The content doesn't match the part's name; the holder is unchanged and still needs the part.
    pub fn add_part(&mut self, name: part::Name, bytes: Bytes) -> Result<Progress, part::Error> {
        let is_needed = self.needs().contains(&name);
        if !is_needed {
            return Ok(Progress::Known);
        }
        part::read(&name, &bytes)?;
        self.parts.insert(name, bytes);
        self.advance()
    }

    /// Returns the parts that the newest root names and that are missing.
    pub fn needs(&self) -> Vec<part::Name> {
        let named = self.pending.iter().flat_map(|root| root.parts());
        named.filter(|name| !self.parts.contains_key(*name)).cloned().collect()
    }

    fn advance(&mut self) -> Result<Progress, part::Error> {
        let needs = self.needs();
        if !needs.is_empty() {
            return Ok(Progress::Needs(needs));
        }
        let Some(root) = self.pending.take() else { return Ok(Progress::Known) };
        let config = match &root.content {
            Content::Inline(config) => Config::clone(config),
            Content::Parts { weights, names } => {
                let parts = names.iter().filter_map(|name| Some((name, &**self.parts.get(name)?)));
                part::join(*weights, parts)?
            }
        };
        let numbered = Arc::new(NumberedConfig { number: root.number, config });
        self.in_force = Some(InForce { root: Arc::new(root), numbered: numbered.clone() });
        self.drop_unnamed();
        Ok(Progress::InForce(numbered))
    }

    /// Drops parts that are named neither by the root in force nor by the newest one.
    fn drop_unnamed(&mut self) {
        let in_force = self.in_force.iter().flat_map(|in_force| in_force.root.parts());
        let pending = self.pending.iter().flat_map(|root| root.parts());
        let named: BTreeSet<part::Name> = in_force.chain(pending).cloned().collect();
        self.parts.retain(|name, _| named.contains(name));
    }
}
