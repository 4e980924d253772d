//! Deserializes a type from a tree and collects every error.
//!
//! Serde stops at the first error. Here the path of an error is recorded, and the type is
//! deserialized again with a [`placeholder::Placeholder`] at that path, until a pass succeeds.
//! The cost of a pass for each finding is negligible in practice: files are small and errors few.

mod placeholder;
mod reader;

use std::{collections::BTreeSet, fmt};

use serde::de::DeserializeOwned;

use crate::{
    finding::{Finding, Place},
    node::Node,
};

/// Maximum number of findings that one read collects. A file with this many is most likely not of
/// the expected kind at all.
pub const MAX_FINDINGS: usize = 200;

/// Result of deserializing a type from a tree.
#[derive(Debug)]
pub struct Reading<T> {
    /// The value, with a placeholder for each value that has a finding; none if no complete value
    /// could be built.
    pub value: Option<T>,
    /// Errors, in the order in which the passes found them.
    pub findings: Vec<Finding>,
}

impl<T> Reading<T> {
    /// Whether the value at a JSON pointer, or one that encloses it, is a placeholder, so that
    /// further checks of it would be meaningless.
    pub fn is_placeholder(&self, path: &str) -> bool {
        let covers = |rest: &str| rest.is_empty() || rest.starts_with('/');
        self.findings.iter().any(|finding| path.strip_prefix(&finding.path).is_some_and(covers))
    }
}

/// Deserializes a type from a tree and collects every finding, up to [`MAX_FINDINGS`].
pub fn read<T: DeserializeOwned>(node: &Node) -> Reading<T> {
    let mut faulty = BTreeSet::new();
    let mut findings = Vec::new();
    while findings.len() < MAX_FINDINGS {
        let reader = reader::Reader::new(node, String::new(), &faulty);
        let fault = match T::deserialize(reader) {
            Ok(value) => return Reading { value: Some(value), findings },
            Err(fault) => fault,
        };
        let finding = fault.into_finding(node);
        let is_new = faulty.insert(finding.path.clone());
        findings.push(finding);
        if !is_new {
            break;
        }
    }
    Reading { value: None, findings }
}

/// A deserialization error. Serde creates it without a location; the innermost reader that returns
/// it adds the location.
#[derive(Debug)]
pub(crate) struct Fault {
    message: String,
    missing_field: Option<&'static str>,
    location: Option<(String, Place)>,
}

impl Fault {
    fn with_location(mut self, path: &str, place: &Place) -> Fault {
        if self.location.is_none() {
            let path = match self.missing_field {
                Some(field) => crate::node::join(path, field),
                None => path.to_owned(),
            };
            self.location = Some((path, place.clone()));
        }
        self
    }

    fn into_finding(self, root: &Node) -> Finding {
        let (path, place) = self.location.unwrap_or_else(|| (String::new(), root.place.clone()));
        Finding { place, path, message: self.message }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Fault {}

impl serde::de::Error for Fault {
    fn custom<T: fmt::Display>(message: T) -> Fault {
        Fault { message: message.to_string(), missing_field: None, location: None }
    }

    fn missing_field(field: &'static str) -> Fault {
        Fault { message: "missing".into(), missing_field: Some(field), location: None }
    }
}
