//! JSON parser that reports duplicate keys.
//!
//! Common JSON parsers keep the last of two equal keys. In a bundle that would silently drop a team
//! that the operator who signs the bundle sees in its text.

use std::fmt;

use serde::de;
use serde_json::{
    Map,
    Value, //
};

use super::fault;

/// Parses a text into a value and the faults of its duplicate keys.
pub(super) fn parse(text: &str) -> Result<(Value, fault::Faults), fault::Faults> {
    let mut faults = fault::Faults::default();
    let mut input = serde_json::Deserializer::from_str(text);
    let node = Node {
        path: fault::Path::root(),
        faults: &mut faults,
    };
    let value = de::DeserializeSeed::deserialize(node, &mut input);
    value
        .and_then(|value| input.end().map(|()| value))
        .map_err(|e| fault::Faults::single(fault::Path::root(), format!("not valid JSON: {e}")))
        .map(|value| (value, faults))
}

/// Deserialization seed of the value at a path.
struct Node<'a> {
    path: fault::Path,
    faults: &'a mut fault::Faults,
}

impl<'de> de::DeserializeSeed<'de> for Node<'_> {
    type Value = Value;

    fn deserialize<D: de::Deserializer<'de>>(self, input: D) -> Result<Value, D::Error> {
        input.deserialize_any(self)
    }
}

impl<'de> de::Visitor<'de> for Node<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut input: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        loop {
            let item = Node {
                path: self.path.index(items.len()),
                faults: self.faults,
            };
            match input.next_element_seed(item)? {
                Some(value) => items.push(value),
                None => return Ok(Value::Array(items)),
            }
        }
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut input: A) -> Result<Value, A::Error> {
        let mut members = Map::new();
        while let Some(key) = input.next_key::<String>()? {
            let path = self.path.key(&key);
            if members.contains_key(&key) {
                self.faults.push(path.clone(), "key occurs twice");
            }
            let faults = &mut *self.faults;
            let value = input.next_value_seed(Node { path, faults })?;
            members.insert(key, value);
        }
        Ok(Value::Object(members))
    }
}
