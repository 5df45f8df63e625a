//! The JSON body of a v2 inference request, with the parameters that this server reads from it.
use crate::messages::Payload;
use crate::server::validation::{parse_id, Field, Figures, InvalidRequest, StatedRequest};
use heronslip_policy::json::{as_array, as_bool, as_number, as_object, as_str, parse};
use miniserde::json::{Number, Object, Value};

/// Decodes an inference request to the model `name`. `default_wait_ms` is how long a client waits that does not
/// state it. The body itself is passed on unchanged.
///
/// # Errors
/// Returns the first field that does not have the form that the protocol gives it.
pub fn decode_request(
    name: &str, body: Vec<u8>, default_wait_ms: f64,
) -> Result<StatedRequest, InvalidRequest> {
    let text = std::str::from_utf8(&body).map_err(|_| InvalidRequest::Malformed(Field::Body))?;
    let json = parse(text).map_err(|_| InvalidRequest::Malformed(Field::Body))?;
    let fields = as_object(&json).ok_or(InvalidRequest::Malformed(Field::Body))?;
    if count_stated_members(text) != count_members(&json) {
        return Err(InvalidRequest::Ambiguous(Field::Body));
    }
    if fields.get("inputs").is_some_and(|inputs| !are_tensors(inputs)) {
        return Err(InvalidRequest::Malformed(Field::Inputs));
    }
    let none = Object::new();
    let parameters = optional(fields, "parameters", Field::Figures, as_object)?.unwrap_or(&none);
    let text = |key: &str, field| optional(parameters, key, field, as_str);
    let number = |key: &str, field| optional(parameters, key, field, as_number);
    let class = text("class", Field::Class)?.ok_or(InvalidRequest::Missing(Field::Class))?;
    Ok(StatedRequest {
        wire_id: wire_id(fields)?,
        class: class.to_owned(),
        tenant: text("tenant", Field::Tenant)?.unwrap_or_default().to_owned(),
        function: parse_id(name).ok_or(InvalidRequest::Malformed(Field::Function))?,
        wait_ms: number("wait_ms", Field::Wait)?.unwrap_or(default_wait_ms),
        is_retry: optional(parameters, "retry", Field::Retry, as_bool)?.unwrap_or(false),
        idempotency_key: text("token", Field::IdempotencyKey)?.map(str::to_owned),
        figures: Figures {
            memory_mb: number("memory_mb", Field::Memory)?,
            lanes: number("lanes", Field::Lanes)?,
            load_ms: number("load_ms", Field::LoadTime)?,
        },
        payload: Payload::Json(body),
    })
}

/// The value at a key; `None` if there is none.
fn optional<'a, T>(
    fields: &'a Object, key: &str, field: Field, read: fn(&'a Value) -> Option<T>,
) -> Result<Option<T>, InvalidRequest> {
    let value = fields.get(key);
    value.map(|value| read(value).ok_or(InvalidRequest::Malformed(field))).transpose()
}

/// The id that workers receive: the client's id if it is 16 hexadecimal digits, otherwise a random number.
/// Clients that choose no id may leave it out or state null.
fn wire_id(fields: &Object) -> Result<u64, InvalidRequest> {
    use std::hash::{BuildHasher, RandomState};
    let id = match fields.get("id") {
        Some(Value::Null) => None,
        _ => optional(fields, "id", Field::Id, as_str)?,
    };
    Ok(id.and_then(parse_id).unwrap_or_else(|| RandomState::new().hash_one(id)))
}

/// The number of members of all objects in a JSON text. Members with the same name count each: the parser
/// keeps the last of them, but the worker that gets the text may keep another.
fn count_stated_members(text: &str) -> usize {
    let (mut members, mut in_string, mut escaped) = (0, false, false);
    for byte in text.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' => escaped = in_string,
            b'"' => in_string = !in_string,
            b':' if !in_string => members += 1,
            _ => {}
        }
    }
    members
}

/// The number of members of all objects in a value, which may be nested deeply.
fn count_members(value: &Value) -> usize {
    let (mut members, mut pending) = (0, vec![value]);
    while let Some(value) = pending.pop() {
        match value {
            Value::Array(items) => pending.extend(items),
            Value::Object(fields) => {
                members += fields.len();
                pending.extend(fields.values());
            }
            _ => {}
        }
    }
    members
}

/// Whether a value is an array of tensors.
fn are_tensors(value: &Value) -> bool {
    as_array(value).is_some_and(|items| items.iter().all(|item| as_object(item).is_some_and(is_tensor)))
}

/// Whether a tensor has a name and a datatype, and as many elements as its shape states.
fn is_tensor(tensor: &Object) -> bool {
    let has_text = |key: &str| tensor.get(key).and_then(as_str).is_some_and(|text| !text.is_empty());
    let stated = tensor.get("shape").and_then(as_array).and_then(elements_of_shape);
    let actual = tensor.get("data").filter(|data| as_array(data).is_some()).map(count_elements);
    has_text("name") && has_text("datatype") && stated.is_some() && stated == actual
}

/// The number of elements of a shape; `None` if a dimension is no count, or if there are too many.
fn elements_of_shape(shape: &[Value]) -> Option<u64> {
    shape.iter().try_fold(1_u64, |elements, dimension| match dimension {
        Value::Number(Number::U64(length)) => elements.checked_mul(*length),
        _ => None,
    })
}

/// The number of elements in data that may be nested. Clients may nest it as deeply as their bodies allow, so
/// this does not recurse.
fn count_elements(data: &Value) -> u64 {
    let (mut elements, mut pending) = (0, vec![data]);
    while let Some(value) = pending.pop() {
        match value {
            Value::Array(items) => pending.extend(items),
            _ => elements += 1,
        }
    }
    elements
}
