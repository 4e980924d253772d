//! A deserializer that produces a value of any requested type, in place of a faulty value.

use serde::{
    Deserializer,
    de::{
        DeserializeSeed, EnumAccess, IntoDeserializer, MapAccess, SeqAccess, VariantAccess,
        Visitor, value::StrDeserializer,
    },
};

use super::Fault;

/// A valid name and a valid socket address, since string fields may be parsed into either.
const TEXT: &str = "127.0.0.1:1";

/// Gives each type a value that its `Deserialize` implementation accepts.
pub(super) struct Placeholder;

macro_rules! numbers {
    ($($method:ident)*) => {
        $(fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Fault> {
            visitor.visit_u64(1)
        })*
    };
}

macro_rules! texts {
    ($($method:ident)*) => {
        $(fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Fault> {
            visitor.visit_str(TEXT)
        })*
    };
}

impl<'de> Deserializer<'de> for Placeholder {
    type Error = Fault;

    numbers! {
        deserialize_i8 deserialize_i16 deserialize_i32 deserialize_i64
        deserialize_u8 deserialize_u16 deserialize_u32 deserialize_u64
        deserialize_f32 deserialize_f64
    }

    texts! { deserialize_str deserialize_string deserialize_identifier deserialize_any }

    fn deserialize_bool<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Fault> {
        visitor.visit_bool(false)
    }

    fn deserialize_char<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Fault> {
        visitor.visit_char('1')
    }

    fn deserialize_bytes<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Fault> {
        visitor.visit_bytes(TEXT.as_bytes())
    }

    fn deserialize_byte_buf<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Fault> {
        visitor.visit_bytes(TEXT.as_bytes())
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Fault> {
        visitor.visit_none()
    }

    fn deserialize_unit<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Fault> {
        visitor.visit_unit()
    }

    fn deserialize_ignored_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Fault> {
        visitor.visit_unit()
    }

    fn deserialize_unit_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        visitor.visit_unit()
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Fault> {
        visitor.visit_seq(Elements(0))
    }

    fn deserialize_tuple<V: Visitor<'de>>(self, len: usize, visitor: V) -> Result<V::Value, Fault> {
        visitor.visit_seq(Elements(len))
    }

    fn deserialize_tuple_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        len: usize,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        visitor.visit_seq(Elements(len))
    }

    fn deserialize_map<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Fault> {
        visitor.visit_map(Fields(&[]))
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Fault> {
        visitor.visit_map(Fields(fields))
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Fault> {
        visitor.visit_enum(FirstVariant(variants.first().copied().unwrap_or_default()))
    }
}

/// A sequence of this many placeholders.
struct Elements(usize);

impl<'de> SeqAccess<'de> for Elements {
    type Error = Fault;

    fn next_element_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, Fault> {
        if self.0 == 0 {
            return Ok(None);
        }
        self.0 -= 1;
        seed.deserialize(Placeholder).map(Some)
    }
}

/// A map with a placeholder for each of the named fields.
struct Fields(&'static [&'static str]);

impl<'de> MapAccess<'de> for Fields {
    type Error = Fault;

    fn next_key_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, Fault> {
        let Some((field, rest)) = self.0.split_first() else { return Ok(None) };
        self.0 = rest;
        let name: StrDeserializer<'_, Fault> = (*field).into_deserializer();
        seed.deserialize(name).map(Some)
    }

    fn next_value_seed<S: DeserializeSeed<'de>>(&mut self, seed: S) -> Result<S::Value, Fault> {
        seed.deserialize(Placeholder)
    }
}

/// The first variant of an enum, with placeholders as its content.
struct FirstVariant(&'static str);

impl<'de> EnumAccess<'de> for FirstVariant {
    type Error = Fault;
    type Variant = Placeholder;

    fn variant_seed<S: DeserializeSeed<'de>>(
        self,
        seed: S,
    ) -> Result<(S::Value, Placeholder), Fault> {
        let name: StrDeserializer<'_, Fault> = self.0.into_deserializer();
        Ok((seed.deserialize(name)?, Placeholder))
    }
}

impl<'de> VariantAccess<'de> for Placeholder {
    type Error = Fault;

    fn unit_variant(self) -> Result<(), Fault> {
        Ok(())
    }

    fn newtype_variant_seed<S: DeserializeSeed<'de>>(self, seed: S) -> Result<S::Value, Fault> {
        seed.deserialize(Placeholder)
    }

    fn tuple_variant<V: Visitor<'de>>(self, len: usize, visitor: V) -> Result<V::Value, Fault> {
        visitor.visit_seq(Elements(len))
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Fault> {
        visitor.visit_map(Fields(fields))
    }
}
