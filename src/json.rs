//! Lenient access to JSON values, as used by the simulator's protocol, the platform's files and KServe v2.
//!
//! A key that is absent or has another type reads as "not stated", so that newer senders may add or leave
//! out fields.
use crate::interface::Micros;
use miniserde::json::{self, Number, Object, Value};

/// Parses a text as one JSON value.
pub fn parse(text: &str) -> Result<Value, String> {
    json::from_str(text).map_err(|_| "not JSON".to_owned())
}

/// The value as an object, if it is one.
pub fn as_object(value: &Value) -> Option<&Object> {
    match value {
        Value::Object(fields) => Some(fields),
        _ => None,
    }
}

/// The object at a key.
pub fn object<'a>(fields: &'a Object, key: &str) -> Option<&'a Object> {
    fields.get(key).and_then(as_object)
}

/// The value as an array, if it is one.
pub fn as_array(value: &Value) -> Option<&[Value]> {
    match value {
        Value::Array(items) => Some(items),
        _ => None,
    }
}

/// The array at a key; empty if there is none.
pub fn array<'a>(fields: &'a Object, key: &str) -> &'a [Value] {
    fields.get(key).and_then(as_array).unwrap_or_default()
}

/// The value as a string, if it is one.
pub fn as_str(value: &Value) -> Option<&str> {
    match value {
        Value::String(text) => Some(text),
        _ => None,
    }
}

/// The string at a key.
pub fn string<'a>(fields: &'a Object, key: &str) -> Option<&'a str> {
    fields.get(key).and_then(as_str)
}

/// The value as a number, if it is one.
pub fn as_number(value: &Value) -> Option<f64> {
    match value {
        Value::Number(Number::U64(n)) => Some(*n as f64),
        Value::Number(Number::I64(n)) => Some(*n as f64),
        Value::Number(Number::F64(n)) => Some(*n),
        _ => None,
    }
}

/// The number at a key.
pub fn number(fields: &Object, key: &str) -> Option<f64> {
    fields.get(key).and_then(as_number)
}

/// The unsigned integer at a key.
pub fn unsigned(fields: &Object, key: &str) -> Option<u64> {
    match fields.get(key) {
        Some(Value::Number(Number::U64(n))) => Some(*n),
        _ => None,
    }
}

/// The value as a boolean, if it is one.
pub fn as_bool(value: &Value) -> Option<bool> {
    match value {
        Value::Bool(value) => Some(*value),
        _ => None,
    }
}

/// The boolean at a key; false if absent.
pub fn boolean(fields: &Object, key: &str) -> bool {
    fields.get(key).and_then(as_bool).unwrap_or(false)
}

/// The milliseconds at a key, as microseconds. A negative value or no number counts as 0 (`as` saturates).
pub fn millis(fields: &Object, key: &str) -> Micros {
    (number(fields, key).unwrap_or(0.0) * 1000.0).round() as Micros
}

/// The count at a key, limited to 65,536; 0 if there is no number.
pub fn count(fields: &Object, key: &str) -> u32 {
    number(fields, key).unwrap_or(0.0).clamp(0.0, 65_536.0) as u32
}

/// Index of a name in a list; the list's length if it is not found.
pub fn index_of(names: &[String], name: Option<&str>) -> usize {
    let name = name.unwrap_or_default();
    names.iter().position(|n| n == name).unwrap_or(names.len())
}
