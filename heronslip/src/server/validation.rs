//! Validation of requests before they reach the core.
//!
//! The server of each protocol decodes a request into a [`StatedRequest`]. Only [`RequestRules::validate`] turns
//! that into a [`Request`], so that what is malformed or out of range is never sent on.
use crate::limits::Limits;
use crate::messages::{Payload, Request};
use heronslip_policy::{FunctionId, Micros, RetrySafety, Settings};
use std::fmt;
use std::ops::RangeInclusive;
use std::time::Instant;

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY: usize = 128;
/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1000.0;

/// A field of a request, under the name that it has in no particular protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// The id that the client chose.
    Id,
    /// The path, which names the class.
    Path,
    /// The class.
    Class,
    /// The tenant.
    Tenant,
    /// The function to call.
    Function,
    /// How long the client waits.
    Wait,
    /// Whether the request is a retry.
    Retry,
    /// The idempotency key.
    IdempotencyKey,
    /// The list of further figures.
    Figures,
    /// Memory of a copy.
    Memory,
    /// Calls that a copy runs at the same time.
    Lanes,
    /// Usual time to load a copy.
    LoadTime,
    /// Length of the body.
    BodyLength,
    /// The body.
    Body,
    /// The input tensors in the body.
    Inputs,
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Field::Id => "id",
            Field::Path => "path",
            Field::Class => "class",
            Field::Tenant => "tenant",
            Field::Function => "function",
            Field::Wait => "wait",
            Field::Retry => "retry mark",
            Field::IdempotencyKey => "idempotency key",
            Field::Figures => "list of figures",
            Field::Memory => "memory of a copy",
            Field::Lanes => "number of lanes",
            Field::LoadTime => "load time",
            Field::BodyLength => "body length",
            Field::Body => "body",
            Field::Inputs => "input tensors",
        })
    }
}

/// Why a request is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// A required field is absent.
    #[error("the {0} is missing")]
    Missing(Field),
    /// A field does not have the form that the protocol gives it.
    #[error("the {0} is malformed")]
    Malformed(Field),
    /// A field is stated twice with different values.
    #[error("the {0} is stated twice, with different values")]
    Ambiguous(Field),
    /// A number is not within its range.
    #[error("the {0} is out of range")]
    OutOfRange(Field),
    /// The settings have no such class or tenant.
    #[error("the {0} is unknown")]
    Unknown(Field),
}

impl InvalidRequest {
    /// The HTTP or CGI status of the response.
    pub fn status(self) -> &'static str {
        match self {
            // A well-formed request that this deployment does not serve.
            InvalidRequest::Unknown(_) | InvalidRequest::Missing(Field::IdempotencyKey) => {
                "500 Internal Server Error"
            }
            _ => "400 Bad Request",
        }
    }
}

/// What a client may state of a function's copies. `None`: not stated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Memory of a copy, in MB.
    pub memory_mb: Option<f64>,
    /// Calls that a copy runs at the same time.
    pub lanes: Option<f64>,
    /// Usual time to load a copy, in ms.
    pub load_ms: Option<f64>,
}

/// A decoded request, as its client stated it.
#[derive(Debug)]
pub struct StatedRequest {
    /// The id that workers receive.
    pub wire_id: u64,
    /// Name of the class.
    pub class: String,
    /// Name of the tenant; empty: not stated.
    pub tenant: String,
    /// The function to call.
    pub function: FunctionId,
    /// How long the client waits, in ms.
    pub wait_ms: f64,
    /// Whether it is marked as a retry.
    pub is_retry: bool,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// What is stated of the function's copies.
    pub figures: Figures,
    /// The body.
    pub payload: Payload,
}

/// A class that requests may name.
#[derive(Clone, Debug)]
struct ClassRule {
    name: String,
    /// Whether workers recognize its duplicates by their idempotency key.
    requires_idempotency_key: bool,
}

/// What a request must satisfy in this deployment.
#[derive(Clone, Debug)]
pub struct RequestRules {
    classes: Vec<ClassRule>,
    /// Names of the tenants. If there are none, the tenant of a request has no meaning.
    tenants: Vec<String>,
    max_wait_ms: f64,
    max_memory_mb: f64,
    max_lanes: f64,
}

impl RequestRules {
    /// The rules that follow from the settings and the limits.
    pub fn new(settings: &Settings, limits: &Limits) -> Self {
        let largest_machine_mb = settings.machine_memory_mb.iter().copied().fold(0.0, f64::max);
        // No machine can hold a larger copy; where the settings do not state machines, the limit stands alone.
        let max_memory_mb = if largest_machine_mb > 0.0 {
            largest_machine_mb.min(limits.max_copy_memory_mb)
        } else {
            limits.max_copy_memory_mb
        };
        let class = |class: &heronslip_policy::ClassSettings| ClassRule {
            name: class.name.clone(),
            requires_idempotency_key: class.retry_safety == RetrySafety::Deduplicated,
        };
        RequestRules {
            classes: settings.classes.iter().map(class).collect(),
            tenants: settings.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            max_wait_ms: limits.max_wait as f64 / MICROS_PER_MS,
            max_memory_mb,
            max_lanes: limits.max_copy_lanes,
        }
    }

    /// Checks each field of a request.
    ///
    /// # Errors
    /// Returns the first field that cannot be used.
    pub fn validate(&self, stated: StatedRequest) -> Result<Request, InvalidRequest> {
        let class_index = self.class_index(&stated.class)?;
        let tenant_index = self.tenant_index(&stated.tenant)?;
        self.check_idempotency_key(class_index, stated.idempotency_key.as_deref())?;
        let Figures { memory_mb, lanes, load_ms } = stated.figures;
        Ok(Request {
            wire_id: stated.wire_id,
            class: stated.class,
            class_index,
            tenant: stated.tenant,
            tenant_index,
            function: stated.function,
            wait: self.wait(stated.wait_ms)?,
            received_at: Instant::now(),
            idempotency_key: stated.idempotency_key,
            is_retry: stated.is_retry,
            memory_mb: memory_mb.map_or(Ok(0.0), |memory| self.memory_mb(memory))?,
            lanes: lanes.map_or(Ok(0), |lanes| self.lanes(lanes))?,
            load_time: load_ms.map_or(Ok(0), |time| self.load_time(time))?,
            payload: stated.payload,
            reservation: None,
            incoming: None,
        })
    }

    fn class_index(&self, name: &str) -> Result<usize, InvalidRequest> {
        let index = self.classes.iter().position(|class| class.name == name);
        index.ok_or(InvalidRequest::Unknown(Field::Class))
    }

    fn tenant_index(&self, name: &str) -> Result<Option<usize>, InvalidRequest> {
        if self.tenants.is_empty() {
            return Ok(None);
        }
        let index = self.tenants.iter().position(|tenant| tenant == name);
        index.map(Some).ok_or(InvalidRequest::Unknown(Field::Tenant))
    }

    fn check_idempotency_key(&self, class_index: usize, key: Option<&str>) -> Result<(), InvalidRequest> {
        match key {
            Some(key) if !is_valid_idempotency_key(key) => {
                Err(InvalidRequest::Malformed(Field::IdempotencyKey))
            }
            None if self.classes[class_index].requires_idempotency_key => {
                Err(InvalidRequest::Missing(Field::IdempotencyKey))
            }
            _ => Ok(()),
        }
    }

    /// A client that does not wait at all can get no response.
    fn wait(&self, wait_ms: f64) -> Result<Micros, InvalidRequest> {
        let wait = micros(wait_ms, 0.0..=self.max_wait_ms, Field::Wait)?;
        if wait == 0 {
            return Err(InvalidRequest::OutOfRange(Field::Wait));
        }
        Ok(wait)
    }

    /// Every copy takes memory.
    fn memory_mb(&self, memory_mb: f64) -> Result<f64, InvalidRequest> {
        let memory_mb = in_range(memory_mb, 0.0..=self.max_memory_mb, Field::Memory)?;
        if memory_mb == 0.0 {
            return Err(InvalidRequest::OutOfRange(Field::Memory));
        }
        Ok(memory_mb)
    }

    /// A copy runs a whole number of calls, at least one.
    fn lanes(&self, lanes: f64) -> Result<u32, InvalidRequest> {
        let lanes = in_range(lanes, 1.0..=self.max_lanes, Field::Lanes)?;
        if lanes.fract() != 0.0 {
            return Err(InvalidRequest::OutOfRange(Field::Lanes));
        }
        Ok(lanes as u32)
    }

    /// A load may take no time, as far as its client can measure it.
    fn load_time(&self, load_ms: f64) -> Result<Micros, InvalidRequest> {
        micros(load_ms, 0.0..=self.max_wait_ms, Field::LoadTime)
    }
}

/// Checks the range of a number; NaN and -0 are in none.
fn in_range(value: f64, range: RangeInclusive<f64>, field: Field) -> Result<f64, InvalidRequest> {
    let valid = range.contains(&value) && value.is_sign_positive();
    valid.then_some(value).ok_or(InvalidRequest::OutOfRange(field))
}

/// Checks the range of a time in ms, and converts it to microseconds.
fn micros(time_ms: f64, range_ms: RangeInclusive<f64>, field: Field) -> Result<Micros, InvalidRequest> {
    in_range(time_ms, range_ms, field).map(|time_ms| (time_ms * MICROS_PER_MS) as Micros)
}

/// Whether an idempotency key can be sent in all protocols: no separators, no blanks.
fn is_valid_idempotency_key(key: &str) -> bool {
    !key.is_empty()
        && key.len() <= MAX_IDEMPOTENCY_KEY
        && key.bytes().all(|b| b.is_ascii_graphic() && !b",=;\"\\".contains(&b))
}

/// Parses an id of 16 hexadecimal digits.
pub fn parse_id(text: &str) -> Option<u64> {
    (text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit()))
        .then(|| u64::from_str_radix(text, 16).ok())
        .flatten()
}
