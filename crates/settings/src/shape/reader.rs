//! A serde deserializer over a tree, with placeholders for the values known to be faulty.

use std::collections::BTreeSet;

use serde::{
    Deserializer,
    de::{
        DeserializeSeed, EnumAccess, Error, IntoDeserializer, MapAccess, SeqAccess, Unexpected,
        VariantAccess, Visitor, value::StrDeserializer,
    },
};

use super::{Fault, placeholder::Placeholder};
use crate::node::{Member, Node, Value, join};

/// JSON pointers of the values known to be faulty.
type FaultyPaths = BTreeSet<String>;

/// Deserializes the value at one path of a tree.
#[derive(Clone)]
pub(super) struct Reader<'a> {
    node: &'a Node,
    path: String,
    faulty: &'a FaultyPaths,
}

impl<'a> Reader<'a> {
    pub(super) fn new(node: &'a Node, path: String, faulty: &'a FaultyPaths) -> Reader<'a> {
        Reader { node, path, faulty }
    }

    fn is_faulty(&self) -> bool {
        self.faulty.contains(&self.path)
    }

    fn with_location<T>(&self, result: Result<T, Fault>) -> Result<T, Fault> {
        result.map_err(|fault| fault.with_location(&self.path, &self.node.place))
    }

    fn visit<'de, V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Fault> {
        let result = match &self.node.value {
            Value::Null => visitor.visit_unit(),
            Value::Bool(value) => visitor.visit_bool(*value),
            Value::Number(value) => match (value.as_u64(), value.as_i64(), value.as_f64()) {
                (Some(value), ..) => visitor.visit_u64(value),
                (_, Some(value), _) => visitor.visit_i64(value),
                (.., value) => visitor.visit_f64(value.unwrap_or_default()),
            },
            Value::String(value) => visitor.visit_str(value),
            Value::Array(nodes) => visitor.visit_seq(Elements::new(&self, nodes)),
            Value::Object(members) => visitor.visit_map(Members::new(&self, members, &[])),
        };
        self.with_location(result)
    }

    fn child(&self, name: &str, node: &'a Node) -> Reader<'a> {
        Reader::new(node, join(&self.path, name), self.faulty)
    }

    fn unknown_field(&self, members: &[Member], fields: &'static [&'static str]) -> Option<Fault> {
        let unknown = members.iter().find(|member| {
            !fields.contains(&member.name.as_str())
                && !self.faulty.contains(&join(&self.path, &member.name))
        })?;
        let fault = Fault::unknown_field(&unknown.name, fields);
        Some(fault.with_location(&join(&self.path, &unknown.name), &unknown.place))
    }
}

macro_rules! visitor_methods {
    ($($method:ident)*) => {
        $(fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Fault> {
            if self.is_faulty() {
                return Placeholder.$method(visitor);
            }
            self.visit(visitor)
        })*
    };
}

impl<'de> Deserializer<'de> for Reader<'_> {
    type Error = Fault;

    visitor_methods! {
        deserialize_any deserialize_bool deserialize_char deserialize_str deserialize_string
        deserialize_i8 deserialize_i16 deserialize_i32 deserialize_i64
        deserialize_u8 deserialize_u16 deserialize_u32 deserialize_u64
        deserialize_f32 deserialize_f64 deserialize_bytes deserialize_byte_buf
        deserialize_unit deserialize_seq deserialize_map deserialize_identifier
        deserialize_ignored_any
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Fault> {
        match self.node.value {
            _ if self.is_faulty() => visitor.visit_none(),
            Value::Null => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_unit_struct<V: Visitor<'de>>(
        self,
        name: &'static str,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        if self.is_faulty() {
            return Placeholder.deserialize_unit_struct(name, visitor);
        }
        self.visit(visitor)
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_tuple<V: Visitor<'de>>(self, len: usize, visitor: V) -> Result<V::Value, Fault> {
        if self.is_faulty() {
            return Placeholder.deserialize_tuple(len, visitor);
        }
        self.visit(visitor)
    }

    fn deserialize_tuple_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        len: usize,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        self.deserialize_tuple(len, visitor)
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Fault> {
        if self.is_faulty() {
            return Placeholder.deserialize_struct(name, fields, visitor);
        }
        // A derived visitor also accepts an array of its fields in order. The format of these files
        // does not include that, so it is a finding.
        let Value::Object(members) = &self.node.value else {
            let fault = Fault::invalid_type(unexpected(&self.node.value), &"an object");
            return self.with_location(Err(fault));
        };
        if let Some(fault) = self.unknown_field(members, fields) {
            return Err(fault);
        }
        let result = visitor.visit_map(Members::new(&self, members, fields));
        self.with_location(result)
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Fault> {
        if self.is_faulty() {
            return Placeholder.deserialize_enum(name, variants, visitor);
        }
        let result = match &self.node.value {
            Value::String(variant) => visitor.visit_enum(EnumValue { variant, content: None }),
            Value::Object(members) => match members.as_slice() {
                [member] => {
                    let content = Some(self.child(&member.name, &member.node));
                    visitor.visit_enum(EnumValue { variant: &member.name, content })
                }
                _ => Err(Fault::custom(format!(
                    "an object with {} members, expected exactly one of {}",
                    members.len(),
                    quoted(variants)
                ))),
            },
            other => Err(Fault::invalid_type(
                unexpected(other),
                &format!("one of {}", quoted(variants)).as_str(),
            )),
        };
        self.with_location(result)
    }
}

fn quoted(names: &[&str]) -> String {
    names.iter().map(|name| format!("`{name}`")).collect::<Vec<_>>().join(", ")
}

fn unexpected(value: &Value) -> Unexpected<'_> {
    match value {
        Value::Null => Unexpected::Other("null"),
        Value::Bool(value) => Unexpected::Bool(*value),
        Value::Number(_) => Unexpected::Other("number"),
        Value::String(value) => Unexpected::Str(value),
        Value::Array(_) => Unexpected::Seq,
        Value::Object(_) => Unexpected::Map,
    }
}

/// Sequence access to the elements of an array.
struct Elements<'a> {
    parent: Reader<'a>,
    nodes: std::iter::Enumerate<std::slice::Iter<'a, Node>>,
}

impl<'a> Elements<'a> {
    fn new(parent: &Reader<'a>, nodes: &'a [Node]) -> Elements<'a> {
        Elements { parent: parent.clone(), nodes: nodes.iter().enumerate() }
    }
}

impl<'de> SeqAccess<'de> for Elements<'_> {
    type Error = Fault;

    fn next_element_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, Fault> {
        let Some((index, node)) = self.nodes.next() else { return Ok(None) };
        seed.deserialize(self.parent.child(&index.to_string(), node)).map(Some)
    }
}

/// Map access to the members of an object: each name once, unknown names left out, and a
/// placeholder for each field known to be missing.
struct Members<'a> {
    parent: Reader<'a>,
    members: std::vec::IntoIter<(&'a str, Option<&'a Node>)>,
    value: Option<(&'a str, Option<&'a Node>)>,
}

impl<'a> Members<'a> {
    fn new(
        parent: &Reader<'a>,
        members: &'a [Member],
        fields: &'static [&'static str],
    ) -> Members<'a> {
        let is_faulty = |name: &str| parent.faulty.contains(&join(&parent.path, name));
        let is_unknown = |name: &str| !fields.is_empty() && !fields.contains(&name);
        let mut seen = BTreeSet::new();
        let mut list: Vec<(&str, Option<&Node>)> = members
            .iter()
            .filter(|member| !is_unknown(&member.name) && seen.insert(member.name.as_str()))
            .map(|member| (member.name.as_str(), Some(&member.node)))
            .collect();
        let absent = fields.iter().filter(|field| !seen.contains(*field) && is_faulty(field));
        list.extend(absent.map(|field| (*field, None)));
        Members { parent: parent.clone(), members: list.into_iter(), value: None }
    }
}

impl<'de> MapAccess<'de> for Members<'_> {
    type Error = Fault;

    fn next_key_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, Fault> {
        self.value = self.members.next();
        let Some((name, _)) = self.value else { return Ok(None) };
        let name: StrDeserializer<'_, Fault> = name.into_deserializer();
        seed.deserialize(name).map(Some)
    }

    fn next_value_seed<S: DeserializeSeed<'de>>(&mut self, seed: S) -> Result<S::Value, Fault> {
        match self.value.take() {
            Some((name, Some(node))) => seed.deserialize(self.parent.child(name, node)),
            Some((_, None)) => seed.deserialize(Placeholder),
            None => Err(Fault::custom("map value requested before its key")),
        }
    }
}

/// An enum value: the name of the variant, and its content if the value is an object.
struct EnumValue<'a> {
    variant: &'a str,
    content: Option<Reader<'a>>,
}

impl<'a, 'de> EnumAccess<'de> for EnumValue<'a> {
    type Error = Fault;
    type Variant = VariantContent<'a>;

    fn variant_seed<S: DeserializeSeed<'de>>(
        self,
        seed: S,
    ) -> Result<(S::Value, VariantContent<'a>), Fault> {
        let name: StrDeserializer<'_, Fault> = self.variant.into_deserializer();
        let content = VariantContent { variant: self.variant, reader: self.content };
        Ok((seed.deserialize(name)?, content))
    }
}

/// Content of an enum variant; no reader if the value is only the name of the variant.
struct VariantContent<'a> {
    variant: &'a str,
    reader: Option<Reader<'a>>,
}

impl<'a> VariantContent<'a> {
    fn required(self) -> Result<Reader<'a>, Fault> {
        let message = format!("`{}` needs a value: {{\"{0}\": ...}}", self.variant);
        self.reader.ok_or_else(|| Fault::custom(message))
    }
}

impl<'de> VariantAccess<'de> for VariantContent<'_> {
    type Error = Fault;

    fn unit_variant(self) -> Result<(), Fault> {
        match self.reader {
            None => Ok(()),
            Some(_) => Err(Fault::custom(format!("`{}` takes no value", self.variant))),
        }
    }

    fn newtype_variant_seed<S: DeserializeSeed<'de>>(self, seed: S) -> Result<S::Value, Fault> {
        seed.deserialize(self.required()?)
    }

    fn tuple_variant<V: Visitor<'de>>(self, len: usize, visitor: V) -> Result<V::Value, Fault> {
        self.required()?.deserialize_tuple(len, visitor)
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Fault> {
        self.required()?.deserialize_struct("variant", fields, visitor)
    }
}
