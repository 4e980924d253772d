//! The configuration that operators declare and keep in version control.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    customer::{self, Customer},
    model::{self, Model},
    service::{self, Service},
};

/// Number of a configuration; each accepted patch increases it by one.
pub type Number = u64;

/// Weights of the two terms that placement trades off: met latency targets and model moves.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of attainment, the share of requests that meet their latency target; not negative.
    pub attainment: f64,
    /// Weight of the cost of a move, which loads or unloads a model; not negative.
    pub moves: f64,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights { attainment: 1.0, moves: 1.0 }
    }
}

/// The declared configuration: weights, customers, models and services.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Weights that placement uses.
    #[serde(default)]
    pub weights: Weights,
    /// Declared customers, by name.
    #[serde(default)]
    pub customers: BTreeMap<customer::Id, Customer>,
    /// Declared models, by name.
    #[serde(default)]
    pub models: BTreeMap<model::Id, Model>,
    /// Declared services, by name.
    #[serde(default)]
    pub services: BTreeMap<service::Id, Service>,
}

/// A configuration together with its number.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NumberedConfig {
    /// Number that the latest patch in `config` was accepted as; zero before the first patch.
    pub number: Number,
    /// The configuration after that patch.
    pub config: Config,
}
