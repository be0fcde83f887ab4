//! Deserialization that ignores unknown fields of records that refuse them.
//!
//! The records of the catalogue refuse unknown fields, so that operators' typing errors show. In a stored value such a
//! field comes from a newer version. [`Lenient`] passes to each record only the fields that it knows.

use ciborium::Value;
use serde::de::value::{Error, MapAccessDeserializer, MapDeserializer, SeqDeserializer};
use serde::de::{DeserializeOwned, Deserializer, Error as _, IntoDeserializer, Visitor};
use serde::forward_to_deserialize_any;

/// The CBOR tag of an unsigned number that has more than 64 bits.
const BIG_UNSIGNED: u64 = 2;

/// Deserializes CBOR `bytes` and ignores all unknown fields.
pub(super) fn read<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let value: Value = ciborium::from_reader(bytes).map_err(Error::custom)?;
    T::deserialize(Lenient(value))
}

struct Lenient(Value);

impl IntoDeserializer<'_, Error> for Lenient {
    type Deserializer = Self;

    fn into_deserializer(self) -> Self {
        self
    }
}

type Pairs = Vec<(Value, Value)>;

fn map_access<'de>(
    pairs: Pairs,
) -> MapDeserializer<'de, impl Iterator<Item = (Lenient, Lenient)>, Error> {
    let pairs = pairs.into_iter();
    MapDeserializer::new(pairs.map(|(key, value)| (Lenient(key), Lenient(value))))
}

fn big_unsigned(bytes: &[u8]) -> Option<u128> {
    let mut wide = [0; 16];
    let from = wide.len().checked_sub(bytes.len())?;
    wide[from..].copy_from_slice(bytes);
    Some(u128::from_be_bytes(wide))
}

fn visit_tagged<'de, V: Visitor<'de>>(
    tag: u64,
    value: Value,
    visitor: V,
) -> Result<V::Value, Error> {
    if let (BIG_UNSIGNED, Value::Bytes(bytes)) = (tag, &value)
        && let Some(number) = big_unsigned(bytes)
    {
        return visitor.visit_u128(number);
    }
    Lenient(value).deserialize_any(visitor)
}

fn visit_integer<'de, V: Visitor<'de>>(number: i128, visitor: V) -> Result<V::Value, Error> {
    if let Ok(number) = u64::try_from(number) {
        return visitor.visit_u64(number);
    }
    match i64::try_from(number) {
        Ok(number) => visitor.visit_i64(number),
        Err(_) => visitor.visit_i128(number),
    }
}

impl<'de> Deserializer<'de> for Lenient {
    type Error = Error;

    fn is_human_readable(&self) -> bool {
        false
    }

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        match self.0 {
            Value::Integer(number) => visit_integer(number.into(), visitor),
            Value::Bytes(bytes) => visitor.visit_byte_buf(bytes),
            Value::Float(number) => visitor.visit_f64(number),
            Value::Text(text) => visitor.visit_string(text),
            Value::Bool(flag) => visitor.visit_bool(flag),
            Value::Null => visitor.visit_unit(),
            Value::Tag(tag, value) => visit_tagged(tag, *value, visitor),
            Value::Array(items) => {
                visitor.visit_seq(SeqDeserializer::new(items.into_iter().map(Lenient)))
            }
            Value::Map(pairs) => visitor.visit_map(map_access(pairs)),
            _ => Err(Error::custom("a CBOR value of an unknown kind")),
        }
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        match self.0 {
            Value::Null => visitor.visit_none(),
            value => visitor.visit_some(Self(value)),
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        let Value::Map(mut pairs) = self.0 else {
            return self.deserialize_any(visitor);
        };
        pairs.retain(|(key, _)| key.as_text().is_some_and(|key| fields.contains(&key)));
        visitor.visit_map(map_access(pairs))
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _: &'static str,
        _: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        match self.0 {
            Value::Text(variant) => visitor.visit_enum(variant.into_deserializer()),
            Value::Map(pairs) => visitor.visit_enum(MapAccessDeserializer::new(map_access(pairs))),
            _ => Err(Error::custom(
                "an enum value that is neither a text nor a map",
            )),
        }
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit unit_struct seq tuple
        tuple_struct map identifier ignored_any
    }
}
