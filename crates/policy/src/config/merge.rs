//! Merge patches between configurations, and the paths that they change.

use std::collections::BTreeSet;

use serde_json::{Map, Value};
use types::config::Config;

use super::{check::Problem, pointer};

/// JSON pointer (RFC 6901) of a value that a patch sets or removes.
pub type Path = String;

/// Returns the merge patch that turns one configuration into another; an empty object when the two
/// are equal.
///
/// # Errors
///
/// A weight that JSON can't represent.
pub fn changes(from: &Config, to: &Config) -> Result<Value, serde_json::Error> {
    let (from, to) = (serde_json::to_value(from)?, serde_json::to_value(to)?);
    Ok(difference(&from, &to).unwrap_or_else(|| Value::Object(Map::new())))
}

/// Applies a merge patch to a configuration.
///
/// # Errors
///
/// The place where the result is not a configuration.
pub fn apply(config: &Config, changes: &Value) -> Result<Config, Problem> {
    if !changes.is_object() {
        return Err(Problem { path: String::new(), message: "changes must be an object".into() });
    }
    let unfit = |error: serde_json::Error| Problem {
        path: String::new(),
        message: format!("can't be written as JSON: {error}"),
    };
    let mut value = serde_json::to_value(config).map_err(unfit)?;
    json_patch::merge(&mut value, changes);
    serde_path_to_error::deserialize(value).map_err(|error| Problem {
        path: path_of(error.path()),
        message: error.inner().to_string(),
    })
}

/// Returns the paths that a merge patch sets or removes.
pub fn paths(changes: &Value) -> BTreeSet<Path> {
    let mut paths = BTreeSet::new();
    collect(changes, String::new(), &mut paths);
    paths
}

/// Returns whether two paths concern the same value: they are equal, or one is below the other.
pub fn clash(one: &str, other: &str) -> bool {
    is_within(one, other) || is_within(other, one)
}

fn is_within(path: &str, above: &str) -> bool {
    path.strip_prefix(above).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn difference(from: &Value, to: &Value) -> Option<Value> {
    let (Value::Object(old), Value::Object(new)) = (from, to) else {
        return (from != to).then(|| to.clone());
    };
    let removed = old.keys().filter(|name| !new.contains_key(*name));
    let mut changes: Map<String, Value> = removed.map(|name| (name.clone(), Value::Null)).collect();
    for (name, value) in new {
        let change = match old.get(name) {
            Some(before) => difference(before, value),
            None => Some(value.clone()),
        };
        changes.extend(change.map(|change| (name.clone(), change)));
    }
    (!changes.is_empty()).then_some(Value::Object(changes))
}

fn collect(changes: &Value, path: String, paths: &mut BTreeSet<Path>) {
    match changes {
        Value::Object(members) if !members.is_empty() => {
            for (name, change) in members {
                collect(change, path.clone() + &pointer(&[name]), paths);
            }
        }
        _ if path.is_empty() => {}
        _ => {
            paths.insert(path);
        }
    }
}

fn path_of(path: &serde_path_to_error::Path) -> Path {
    use serde_path_to_error::Segment;

    path.iter()
        .map(|segment| match segment {
            Segment::Seq { index } => format!("/{index}"),
            Segment::Map { key } => pointer(&[key]),
            Segment::Enum { variant } => pointer(&[variant]),
            Segment::Unknown => String::new(),
        })
        .collect()
}
