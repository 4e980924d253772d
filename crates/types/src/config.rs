//! The declared configuration, which operators keep in version control.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    customer::{self, Customer},
    model::{self, Model},
    service::{self, Service},
};

/// Number of a configuration; each accepted patch makes the next.
pub type Number = u64;

/// How much attainment and moves weigh in placement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of attainment; not negative.
    pub attainment: f64,
    /// Weight of a move; not negative.
    pub moves: f64,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights { attainment: 1.0, moves: 1.0 }
    }
}

/// Everything that operators declare.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Weights of the two measures.
    #[serde(default)]
    pub weights: Weights,
    /// Customers by name.
    #[serde(default)]
    pub customers: BTreeMap<customer::Id, Customer>,
    /// Models by name.
    #[serde(default)]
    pub models: BTreeMap<model::Id, Model>,
    /// Services by name.
    #[serde(default)]
    pub services: BTreeMap<service::Id, Service>,
}

/// A configuration with its number.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Numbered {
    /// Its number.
    pub number: Number,
    /// What is declared.
    pub config: Config,
}
