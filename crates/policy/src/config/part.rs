//! Split of a configuration into parts, each far below the value limit of the object API.
//!
//! Entries of a section are ordered by name, and a part ends after an entry whose name has a hash
//! with a first byte divisible by [`ENTRIES_PER_PART`]. The boundaries therefore depend on the
//! names alone: a change of one entry rewrites one part, and adding or removing an entry moves no
//! other boundary. A part is named by the number for which it was first written and by the hash of
//! its content; the number in the name makes garbage collection safe (see [`garbage`]).

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use types::config::{Config, Number, Weights};

use super::{PART_PREFIX, Root};

/// Average number of entries in a part; a power of two.
const ENTRIES_PER_PART: u8 = 16;

/// Size at which a part ends early, in bytes.
const SPLIT_BYTES: usize = 128 * 1024;

/// Digits of the number in a name, zero-padded so that names sort by number.
const NUMBER_DIGITS: usize = 12;

/// Name of a part: the number for which it was first written, and the hash of its content.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Name(String);

impl Name {
    fn new(number: Number, bytes: &[u8]) -> Name {
        Name(format!("{number:0NUMBER_DIGITS$}-{}", hash(bytes)))
    }

    /// Returns the key of the part in the object API.
    pub fn key(&self) -> String {
        format!("{PART_PREFIX}{}", self.0)
    }

    /// Parses a key of the object API; `None` if it is not the key of a part.
    pub fn of_key(key: &str) -> Option<Name> {
        let name = Name(key.strip_prefix(PART_PREFIX)?.to_owned());
        name.number().map(|_| name)
    }

    /// Returns the number for which the part was first written.
    pub fn number(&self) -> Option<Number> {
        self.0.split_once('-')?.0.parse().ok()
    }

    /// Returns whether the hash in the name is that of `bytes`.
    pub fn matches(&self, bytes: &[u8]) -> bool {
        self.0.split_once('-').is_some_and(|(_, known)| known == hash(bytes))
    }
}

/// Part to create.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Name of the part.
    pub name: Name,
    /// Content, in JSON.
    pub bytes: Vec<u8>,
}

/// Parts of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Split {
    /// Every part, in order.
    pub names: Vec<Name>,
    /// Parts that the earlier root doesn't name.
    pub new: Vec<Part>,
}

/// Failure to read parts of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The content doesn't have the hash in the name.
    #[error("the content of {0} doesn't match the hash in its name")]
    Content(String),
    /// The content can't be parsed.
    #[error("{name} isn't a part of a configuration: {cause}")]
    Format {
        /// Key of the part.
        name: String,
        /// Message of the parser.
        cause: String,
    },
}

/// Splits a configuration into parts for a number; parts equal to `earlier` ones keep their names.
///
/// # Errors
///
/// A value that JSON can't represent.
pub fn split(
    config: &Config,
    number: Number,
    earlier: &[Name],
) -> Result<Split, serde_json::Error> {
    let known: BTreeMap<&str, &Name> =
        earlier.iter().filter_map(|name| Some((name.0.split_once('-')?.1, name))).collect();
    let mut split = Split::default();
    for bytes in chunks(config)? {
        match known.get(hash(&bytes).as_str()) {
            Some(name) => split.names.push((*name).clone()),
            None => {
                let name = Name::new(number, &bytes);
                split.names.push(name.clone());
                split.new.push(Part { name, bytes });
            }
        }
    }
    Ok(split)
}

/// Joins the parts of a root.
///
/// # Errors
///
/// A part whose content doesn't match its name, or that can't be parsed.
pub fn join<'a>(
    weights: Weights,
    parts: impl IntoIterator<Item = (&'a Name, &'a [u8])>,
) -> Result<Config, Error> {
    let mut config = Config { weights, ..Config::default() };
    for (name, bytes) in parts {
        let part = read(name, bytes)?;
        config.customers.extend(part.customers);
        config.models.extend(part.models);
        config.services.extend(part.services);
    }
    Ok(config)
}

/// Reads one part.
///
/// # Errors
///
/// The content doesn't match the name, or can't be parsed.
pub fn read(name: &Name, bytes: &[u8]) -> Result<Config, Error> {
    if !name.matches(bytes) {
        return Err(Error::Content(name.key()));
    }
    serde_json::from_slice(bytes)
        .map_err(|error| Error::Format { name: name.key(), cause: error.to_string() })
}

/// Returns those of the stored parts that no root can name any more.
///
/// A root names parts of the root before it and parts written for its own number. A part written
/// for this root's number or an earlier one that this root doesn't name is therefore named by no
/// later root either, however long the caller has been paused: it may be deleted. A host that is
/// still reading an older root finds the part missing and reads the root again.
pub fn garbage(root: &Root, stored: impl IntoIterator<Item = Name>) -> Vec<Name> {
    let named: BTreeSet<&Name> = root.parts().iter().collect();
    stored
        .into_iter()
        .filter(|name| !named.contains(name))
        .filter(|name| name.number().is_some_and(|number| number <= root.number))
        .collect()
}

fn chunks(config: &Config) -> Result<Vec<Vec<u8>>, serde_json::Error> {
    let mut chunks = Vec::new();
    section("customers", &config.customers, &mut chunks)?;
    section("models", &config.models, &mut chunks)?;
    section("services", &config.services, &mut chunks)?;
    Ok(chunks)
}

fn section<V: Serialize>(
    section: &str,
    entries: &BTreeMap<std::sync::Arc<str>, V>,
    chunks: &mut Vec<Vec<u8>>,
) -> Result<(), serde_json::Error> {
    let mut members = Map::new();
    let mut size = 0;
    let mut entries = entries.iter().peekable();
    while let Some((name, entry)) = entries.next() {
        let value = serde_json::to_value(entry)?;
        size += name.len() + serde_json::to_vec(&value)?.len();
        members.insert(name.to_string(), value);
        if entries.peek().is_none() || SPLIT_BYTES < size || ends_part(name) {
            let members = Value::Object(std::mem::take(&mut members));
            chunks.push(serde_json::to_vec(&json!({ section: members }))?);
            size = 0;
        }
    }
    Ok(())
}

fn ends_part(name: &str) -> bool {
    blake3::hash(name.as_bytes()).as_bytes()[0] & (ENTRIES_PER_PART - 1) == 0
}

fn hash(bytes: &[u8]) -> String {
    let mut hex = blake3::hash(bytes).to_hex().to_string();
    hex.truncate(32);
    hex
}
