//! Validation of a declared configuration beyond its types.
//!
//! The same check runs on the file at an operator's machine and on the patched configuration on a
//! host, so that neither accepts what the other refuses.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use types::{
    backend,
    config::Config,
    model::Model,
    service::{Offer, Service},
};

use super::pointer;

/// HTTP request methods except CONNECT.
const METHODS: [&str; 8] = ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "TRACE"];

const MAX_NAME_BYTES: usize = 200;

/// Finding in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Problem {
    /// JSON pointer (RFC 6901) of the invalid value.
    pub path: String,
    /// What is wrong with the value.
    pub message: String,
}

/// Returns every finding in a configuration, in the order of its sections and names.
pub fn problems(config: &Config) -> Vec<Problem> {
    let mut problems = Problems::default();
    weights(config, &mut problems);
    customers(config, &mut problems);
    for (id, model) in &config.models {
        self::model(&pointer(&["models", id]), id, model, &mut problems);
    }
    for (id, service) in &config.services {
        self::service(config, &pointer(&["services", id]), id, service, &mut problems);
    }
    groups(config, &mut problems);
    problems.0
}

#[derive(Default)]
struct Problems(Vec<Problem>);

impl Problems {
    fn push(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.0.push(Problem { path: path.into(), message: message.into() });
    }

    fn positive(&mut self, path: String, value: u64) {
        if value == 0 {
            self.push(path, "must be positive");
        }
    }

    fn name(&mut self, path: &str, name: &str) {
        let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() || MAX_NAME_BYTES < name.len() || !name.chars().all(is_plain) {
            self.push(path, "a name has letters, digits, `-`, `_` and `.`, 1 to 200 of them");
        }
    }

    fn label(&mut self, path: String, label: &str) {
        if label.trim().is_empty() {
            self.push(path, "must not be empty");
        }
    }
}

fn weights(config: &Config, problems: &mut Problems) {
    let weights = [
        ("/weights/attainment", config.weights.attainment),
        ("/weights/moves", config.weights.moves),
    ];
    for (path, weight) in weights {
        if !(weight.is_finite() && 0.0 <= weight) {
            problems.push(path, "must be zero or more");
        }
    }
}

fn customers(config: &Config, problems: &mut Problems) {
    for (id, customer) in &config.customers {
        let path = pointer(&["customers", id]);
        problems.name(&path, id);
        problems.positive(path + "/share", customer.share.into());
    }
}

fn model(path: &str, id: &str, model: &Model, problems: &mut Problems) {
    problems.name(path, id);
    problems.label(format!("{path}/group"), &model.group);
    problems.label(format!("{path}/version"), &model.version);
    problems.positive(format!("{path}/memory"), model.memory);
    problems.positive(format!("{path}/replicas"), model.replicas.into());
    for (id, adapter) in &model.adapters {
        let path = format!("{path}{}", pointer(&["adapters", id]));
        problems.name(&path, id);
        problems.label(format!("{path}/version"), &adapter.version);
        problems.positive(path + "/memory", adapter.memory);
    }
    if model.memory.checked_add(model.kv).is_none() {
        problems.push(format!("{path}/kv"), "the sum of `memory` and `kv` is too large");
    }
}

fn service(config: &Config, path: &str, id: &str, service: &Service, problems: &mut Problems) {
    problems.name(path, id);
    if !config.customers.contains_key(&service.customer) {
        let message = format!("no customer `{}` is declared", service.customer);
        problems.push(format!("{path}/customer"), message);
    }
    offer(config, &format!("{path}/offer"), &service.offer, problems);
    problems.positive(format!("{path}/share"), service.share.into());
    if service.target.first_token.is_zero() {
        problems.push(format!("{path}/target/first_token_ms"), "must be positive");
    }
    if service.target.between_tokens.is_zero() {
        problems.push(format!("{path}/target/between_tokens_ms"), "must be positive");
    }
    for (index, method) in service.non_idempotent.iter().enumerate() {
        if !METHODS.contains(&&**method) {
            let message = format!("no method `{method}`, expected one of {METHODS:?}");
            problems.push(format!("{path}/non_idempotent/{index}"), message);
        }
    }
}

fn offer(config: &Config, path: &str, offer: &Offer, problems: &mut Problems) {
    let models = match offer {
        Offer::Plain(group) => return problems.label(format!("{path}/plain"), group),
        Offer::Models(models) => models,
    };
    if models.is_empty() {
        problems.push(format!("{path}/models"), "must name a model");
    }
    let mut seen = BTreeSet::new();
    for (index, model) in models.iter().enumerate() {
        let path = format!("{path}/models/{index}");
        if !config.models.contains_key(model) {
            problems.push(path.clone(), format!("no model `{model}` is declared"));
        }
        if !seen.insert(model) {
            problems.push(path, format!("model `{model}` is named twice"));
        }
    }
}

/// Checks that no group contains both engines and plain servers.
fn groups(config: &Config, problems: &mut Problems) {
    let mut engines: BTreeMap<&backend::Group, &str> = BTreeMap::new();
    for (id, model) in &config.models {
        engines.entry(&model.group).or_insert(id);
    }
    for (id, service) in &config.services {
        if let Offer::Plain(group) = &service.offer
            && let Some(model) = engines.get(group)
        {
            let path = pointer(&["services", id, "offer", "plain"]);
            problems.push(path, format!("`{group}` holds model `{model}`, so it has engines"));
        }
    }
}
