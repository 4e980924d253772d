//! A type's serde shape tried against a tree, with every finding.
//!
//! Serde stops at the first fault. Here a fault's place is noted, and the type is read again with
//! a [`placeholder::Placeholder`] standing there, until a pass finds nothing new. One pass for
//! each finding is dear in theory and nothing in practice: files are small and faults are few.

mod placeholder;
mod reader;

use std::{collections::BTreeSet, fmt};

use serde::de::DeserializeOwned;

use crate::{
    finding::{Finding, Place},
    node::Node,
};

/// Most findings that one reading collects; enough to show that the file is of another kind.
pub const MAX_FINDINGS: usize = 200;

/// What a reading gave.
#[derive(Debug)]
pub struct Reading<T> {
    /// The value, with placeholders where findings stand; none when it could not be completed.
    pub value: Option<T>,
    /// What is wrong.
    pub findings: Vec<Finding>,
}

impl<T> Reading<T> {
    /// Whether a placeholder stands at a JSON pointer or above it, so that nothing more can be
    /// said of that place.
    pub fn is_placeholder(&self, path: &str) -> bool {
        let covers = |rest: &str| rest.is_empty() || rest.starts_with('/');
        self.findings.iter().any(|finding| path.strip_prefix(&finding.path).is_some_and(covers))
    }
}

/// Reads a type from a tree and collects every finding.
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

/// A fault as serde reports it; its place is known to the innermost reader that it passes.
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
