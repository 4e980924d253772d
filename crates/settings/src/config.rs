//! Reads and writes the declared configuration: one JSON file, or a directory of them kept in
//! version control.
//!
//! Each file of a directory holds a part of the configuration in the same format, so that
//! customers, models and services, or each single model, can have a file of their own. A name that
//! two files declare is a finding; no file overrides another.

use std::{collections::HashMap, path::Path};

use policy::config::check;
use types::config::Config;

use crate::{
    finding::{Finding, Findings, Place, json_files, read_bytes},
    node::{Member, Node, Value, join},
    shape,
};

/// Sections whose entries several files may declare; any other section must be in one file.
const SECTIONS: [&str; 3] = ["customers", "models", "services"];

/// Reads the declared configuration from a file, or from the JSON files of a directory and its
/// subdirectories.
///
/// # Errors
///
/// Every finding in every file: invalid JSON, values of the wrong type, names declared twice,
/// references to undeclared names, zero shares.
pub fn read_config(path: &Path) -> Result<Config, Findings> {
    let files = json_files(path)?;
    if files.is_empty() {
        return Err(Findings::of_file(path, "holds no JSON file"));
    }
    let mut findings = Findings::default();
    let mut nodes = Vec::new();
    for file in &files {
        match read_bytes(file).and_then(|bytes| Node::parse(file, &bytes)) {
            Ok(node) => nodes.push(node),
            Err(mut file_findings) => findings.0.append(&mut file_findings.0),
        }
    }
    let all_parsed = nodes.len() == files.len();
    findings.0.extend(nodes.iter().flat_map(Node::duplicates));
    let root = merge(path, nodes, &mut findings);
    let reading = shape::read::<Config>(&root);
    // Names declared in a file that could not be parsed would be reported as undeclared.
    if let Some(config) = reading.value.as_ref().filter(|_| all_parsed) {
        let problems = check::problems(config).into_iter();
        let is_unreadable = |path: &str| reading.is_placeholder(path);
        findings.0.extend(problems.filter(|problem| !is_unreadable(&problem.path)).map(
            |problem| {
                let place = root.place_of(&problem.path).clone();
                Finding { place, path: problem.path, message: problem.message }
            },
        ));
    }
    findings.0.extend(reading.findings);
    match reading.value {
        Some(config) => findings.or_value(config),
        None => Err(findings.sorted()),
    }
}

/// Writes the declared configuration to a file, sorted by name, so that a line-by-line diff of two
/// versions shows what changed. Reading the file back gives an equal configuration.
///
/// # Errors
///
/// The file can't be written.
pub fn write_config(path: &Path, config: &Config) -> std::io::Result<()> {
    std::fs::write(path, to_text(config)?)
}

/// Formats the configuration as the JSON that [`write_config`] writes.
///
/// # Errors
///
/// A weight is a number that JSON can't represent.
pub fn to_text(config: &Config) -> std::io::Result<String> {
    let mut text = serde_json::to_string_pretty(config)?;
    text.push('\n');
    Ok(text)
}

/// Merges the top-level objects of all files into one, section by section. A single file is
/// returned as it is.
fn merge(path: &Path, nodes: Vec<Node>, findings: &mut Findings) -> Node {
    let mut nodes = nodes.into_iter();
    let place = Place::of_file(path);
    let mut root = match nodes.len() {
        1 => return nodes.next().unwrap_or(Node { place, value: Value::Null }),
        _ => Node { place, value: Value::Object(Vec::new()) },
    };
    let mut declared = HashMap::new();
    for node in nodes {
        let Value::Object(members) = node.value else {
            let message = "must be an object with sections of the configuration".into();
            findings.0.push(Finding { place: node.place, path: String::new(), message });
            continue;
        };
        for member in members {
            merge_member(&mut root, member, &mut declared, findings);
        }
    }
    root
}

/// Adds one section of a file to `root`; `declared` maps the path of each entry to its first place.
fn merge_member(
    root: &mut Node,
    member: Member,
    declared: &mut HashMap<String, Place>,
    findings: &mut Findings,
) {
    let Value::Object(sections) = &mut root.value else { return };
    let section = join("", &member.name);
    let is_spreadable = SECTIONS.contains(&member.name.as_str());
    let existing = sections.iter_mut().find(|existing| existing.name == member.name);
    match (existing, &member.node.value) {
        (None, _) => {
            declared.extend(entry_places(&section, &member));
            sections.push(member);
        }
        (Some(existing), Value::Object(entries)) if is_spreadable => {
            for entry in entries {
                let path = join(&section, &entry.name);
                if let Some(first) = declared.get(&path) {
                    findings.0.push(duplicate(entry, path, first));
                    continue;
                }
                declared.insert(path, entry.place.clone());
                existing.node.push(entry.clone());
            }
        }
        (Some(existing), _) => findings.0.push(duplicate(&member, section, &existing.place)),
    }
}

fn entry_places(section: &str, member: &Member) -> Vec<(String, Place)> {
    let Value::Object(entries) = &member.node.value else { return Vec::new() };
    entries.iter().map(|entry| (join(section, &entry.name), entry.place.clone())).collect()
}

fn duplicate(member: &Member, path: String, first: &Place) -> Finding {
    let message = format!("given twice, first at {first}");
    Finding { place: member.place.clone(), path, message }
}
