//! JSON values that record their file, line and column.
//!
//! Members of an object are kept as a list, so that a duplicate name is a finding with both of its
//! locations instead of a parse error that hides everything after it.

use std::path::Path;

use json_spanned_value::Spanned;
use policy::config::pointer;
use serde::{
    Deserialize,
    de::{MapAccess, SeqAccess, Visitor},
};

use crate::finding::{Finding, Findings, Place};

/// A JSON value and its location.
#[derive(Clone, Debug)]
pub struct Node {
    /// Location of the first character of the value.
    pub place: Place,
    /// The parsed value.
    pub value: Value,
}

/// A JSON value whose children keep their locations.
#[derive(Clone, Debug)]
pub enum Value {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number, not yet converted to a Rust type.
    Number(serde_json::Number),
    /// A string, with its escapes resolved.
    String(String),
    /// An array, in the order of the file.
    Array(Vec<Node>),
    /// An object: its members in the order of the file, duplicate names included.
    Object(Vec<Member>),
}

/// A member of an object.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name, with its escapes resolved.
    pub name: String,
    /// Location of the name.
    pub place: Place,
    /// Value of the member.
    pub node: Node,
}

impl Node {
    /// Parses the bytes of a file; `file` is only used in locations.
    ///
    /// # Errors
    ///
    /// One finding, at the first byte that isn't UTF-8 or at the first JSON syntax error.
    pub fn parse(file: &Path, bytes: &[u8]) -> Result<Node, Findings> {
        let text = std::str::from_utf8(bytes).map_err(|error| {
            let before = String::from_utf8_lossy(&bytes[..error.valid_up_to()]);
            let place = Lines::new(file, &before).place(before.len());
            Findings(vec![Finding { place, path: String::new(), message: "isn't UTF-8".into() }])
        })?;
        let tree: Spanned<Tree> =
            json_spanned_value::from_str(text).map_err(|error| syntax(file, &error))?;
        Ok(Lines::new(file, text).node(tree))
    }

    /// Returns a finding for each name that an object of the tree contains again.
    pub fn duplicates(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        self.collect_duplicates("", &mut findings);
        findings
    }

    /// Returns the location of the value at a JSON pointer, or of the nearest enclosing value that
    /// exists. The location of an object's member is that of its name.
    pub fn place_of(&self, path: &str) -> &Place {
        let mut node = self;
        let mut place = &self.place;
        for token in path.split('/').skip(1) {
            let name = token.replace("~1", "/").replace("~0", "~");
            match &node.value {
                Value::Object(members) => match members.iter().find(|m| m.name == name) {
                    Some(member) => (node, place) = (&member.node, &member.place),
                    None => return place,
                },
                Value::Array(nodes) => match name.parse().ok().and_then(|i: usize| nodes.get(i)) {
                    Some(element) => (node, place) = (element, &element.place),
                    None => return place,
                },
                _ => return place,
            }
        }
        place
    }

    /// Appends a member to an object; does nothing if the value isn't an object.
    pub(crate) fn push(&mut self, member: Member) {
        if let Value::Object(members) = &mut self.value {
            members.push(member);
        }
    }

    fn collect_duplicates(&self, path: &str, findings: &mut Vec<Finding>) {
        match &self.value {
            Value::Array(nodes) => nodes.iter().enumerate().for_each(|(index, node)| {
                node.collect_duplicates(&join(path, &index.to_string()), findings);
            }),
            Value::Object(members) => {
                let mut first = std::collections::HashMap::new();
                for member in members {
                    let path = join(path, &member.name);
                    if let Some(earlier) = first.get(&member.name) {
                        findings.push(Finding {
                            place: member.place.clone(),
                            path: path.clone(),
                            message: format!("given twice, first at {earlier}"),
                        });
                    } else {
                        first.insert(&member.name, &member.place);
                    }
                    member.node.collect_duplicates(&path, findings);
                }
            }
            _ => {}
        }
    }
}

/// Extends a JSON pointer by one name, which is escaped as RFC 6901 requires.
pub fn join(path: &str, name: &str) -> String {
    format!("{path}{}", pointer(&[name]))
}

fn syntax(file: &Path, error: &serde_json::Error) -> Findings {
    let text = error.to_string();
    let message = text.rsplit_once(" at line ").map_or(text.as_str(), |(message, _)| message);
    let place = Place { file: file.into(), line: error.line(), column: error.column() };
    Findings(vec![Finding { place, path: String::new(), message: format!("not JSON: {message}") }])
}

/// Index of the line starts of a text, which converts byte offsets into lines and columns.
struct Lines<'a> {
    file: std::sync::Arc<Path>,
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    fn new(file: &Path, text: &'a str) -> Lines<'a> {
        let starts = std::iter::once(0)
            .chain(text.bytes().enumerate().filter(|(_, b)| *b == b'\n').map(|(i, _)| i + 1))
            .collect();
        Lines { file: file.into(), text, starts }
    }

    fn place(&self, offset: usize) -> Place {
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
        let column = self.text.get(start..offset).map_or(0, |before| before.chars().count()) + 1;
        Place { file: self.file.clone(), line, column }
    }

    fn node(&self, tree: Spanned<Tree>) -> Node {
        let place = self.place(tree.start());
        let value = match tree.into_inner() {
            Tree::Null => Value::Null,
            Tree::Bool(value) => Value::Bool(value),
            Tree::Number(value) => Value::Number(value),
            Tree::String(value) => Value::String(value),
            Tree::Array(items) => {
                Value::Array(items.into_iter().map(|item| self.node(item)).collect())
            }
            Tree::Object(members) => Value::Object(
                members
                    .into_iter()
                    .map(|(name, value)| Member {
                        place: self.place(name.start()),
                        name: name.into_inner(),
                        node: self.node(value),
                    })
                    .collect(),
            ),
        };
        Node { place, value }
    }
}

/// A JSON value as `json_spanned_value` parses it, with byte offsets.
enum Tree {
    Null,
    Bool(bool),
    Number(serde_json::Number),
    String(String),
    Array(Vec<Spanned<Tree>>),
    Object(Vec<(Spanned<String>, Spanned<Tree>)>),
}

impl<'de> Deserialize<'de> for Tree {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Tree, D::Error> {
        deserializer.deserialize_any(TreeVisitor)
    }
}

struct TreeVisitor;

impl<'de> Visitor<'de> for TreeVisitor {
    type Value = Tree;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Tree, E> {
        Ok(Tree::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Tree, E> {
        Ok(Tree::Bool(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Tree, E> {
        Ok(Tree::Number(value.into()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Tree, E> {
        Ok(Tree::Number(value.into()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Tree, E> {
        Ok(serde_json::Number::from_f64(value).map_or(Tree::Null, Tree::Number))
    }

    fn visit_str<E>(self, value: &str) -> Result<Tree, E> {
        Ok(Tree::String(value.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Tree, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(Tree::Array(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Tree, A::Error> {
        let mut members = Vec::new();
        while let Some(member) = access.next_entry()? {
            members.push(member);
        }
        Ok(Tree::Object(members))
    }
}
