//! Reads JSON without building a tree and without failing on values of the wrong type.
//!
//! A value of the wrong type is kept as it is; the code that needs the key reports the error. If a key is repeated, its
//! last value applies. Only text that is not valid JSON is an error here.

use serde::de::value::{MapAccessDeserializer, SeqAccessDeserializer};
use serde::de::{
    Deserialize, DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor,
};
use serde_json::Value;
use std::borrow::Cow;
use std::fmt;

/// The value of a key, which may have any type. Numbers other than non-negative integers are [`Field::Other`].
#[derive(Debug, Default)]
pub(super) enum Field<'a> {
    #[default]
    Absent,
    Null,
    Flag(bool),
    Number(u64),
    Text(Cow<'a, str>),
    Other(Value),
}

impl Field<'_> {
    pub(super) fn text(&self) -> Option<&str> {
        match self {
            Field::Text(text) => Some(text),
            _ => None,
        }
    }

    pub(super) fn number(&self) -> Option<u64> {
        match self {
            Field::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub(super) fn flag(&self) -> Option<bool> {
        match self {
            Field::Flag(flag) => Some(*flag),
            _ => None,
        }
    }

    /// Whether the key is absent or its value is null.
    pub(super) fn is_empty(&self) -> bool {
        matches!(self, Field::Absent | Field::Null)
    }
}

/// Formats the value as JSON.
impl fmt::Display for Field<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Field::Absent | Field::Null => formatter.write_str("null"),
            Field::Flag(flag) => flag.fmt(formatter),
            Field::Number(number) => number.fmt(formatter),
            Field::Text(text) => Value::from(text.as_ref()).fmt(formatter),
            Field::Other(value) => value.fmt(formatter),
        }
    }
}

impl<'de> Deserialize<'de> for Field<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(FieldVisitor)
    }
}

struct FieldVisitor;

impl<'de> Visitor<'de> for FieldVisitor {
    type Value = Field<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("any JSON value")
    }

    fn visit_unit<E>(self) -> Result<Field<'de>, E> {
        Ok(Field::Null)
    }

    fn visit_bool<E>(self, flag: bool) -> Result<Field<'de>, E> {
        Ok(Field::Flag(flag))
    }

    fn visit_u64<E>(self, number: u64) -> Result<Field<'de>, E> {
        Ok(Field::Number(number))
    }

    fn visit_i64<E>(self, number: i64) -> Result<Field<'de>, E> {
        Ok(Field::Other(number.into()))
    }

    fn visit_f64<E>(self, number: f64) -> Result<Field<'de>, E> {
        Ok(Field::Other(number.into()))
    }

    fn visit_borrowed_str<E>(self, text: &'de str) -> Result<Field<'de>, E> {
        Ok(Field::Text(Cow::Borrowed(text)))
    }

    fn visit_str<E>(self, text: &str) -> Result<Field<'de>, E> {
        Ok(Field::Text(Cow::Owned(text.into())))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, items: A) -> Result<Field<'de>, A::Error> {
        Value::deserialize(SeqAccessDeserializer::new(items)).map(Field::Other)
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Field<'de>, A::Error> {
        Value::deserialize(MapAccessDeserializer::new(map)).map(Field::Other)
    }
}

/// A value that is filled from a JSON object key by key, or from a JSON list item by item, by [`ReadInto`]. The default
/// implementations skip the contents.
pub(super) trait LenientTarget<'de>: Sized {
    /// Reads the value of `_key` from `map`. An implementation must consume the value even if it ignores the key.
    fn read_value<A: MapAccess<'de>>(&mut self, _key: &str, map: &mut A) -> Result<(), A::Error> {
        map.next_value::<IgnoredAny>()?;
        Ok(())
    }

    /// Reads all items of a list.
    fn read_items<A: SeqAccess<'de>>(&mut self, mut items: A) -> Result<(), A::Error> {
        while items.next_element::<IgnoredAny>()?.is_some() {}
        Ok(())
    }
}

/// Deserializes a JSON value into an existing `T`. A value that is neither an object nor a list leaves it unchanged.
pub(super) struct ReadInto<T>(pub(super) T);

impl<'de, T: LenientTarget<'de>> DeserializeSeed<'de> for ReadInto<T> {
    type Value = T;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<T, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de, T: LenientTarget<'de>> Visitor<'de> for ReadInto<T> {
    type Value = T;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("any JSON value")
    }

    fn visit_unit<E>(self) -> Result<T, E> {
        Ok(self.0)
    }

    fn visit_bool<E>(self, _: bool) -> Result<T, E> {
        Ok(self.0)
    }

    fn visit_u64<E>(self, _: u64) -> Result<T, E> {
        Ok(self.0)
    }

    fn visit_i64<E>(self, _: i64) -> Result<T, E> {
        Ok(self.0)
    }

    fn visit_f64<E>(self, _: f64) -> Result<T, E> {
        Ok(self.0)
    }

    fn visit_str<E>(self, _: &str) -> Result<T, E> {
        Ok(self.0)
    }

    fn visit_seq<A: SeqAccess<'de>>(mut self, items: A) -> Result<T, A::Error> {
        self.0.read_items(items)?;
        Ok(self.0)
    }

    fn visit_map<A: MapAccess<'de>>(mut self, mut map: A) -> Result<T, A::Error> {
        while let Some(key) = map.next_key::<Field>()? {
            self.0
                .read_value(key.text().unwrap_or_default(), &mut map)?;
        }
        Ok(self.0)
    }
}
