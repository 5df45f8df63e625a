//! Runs heronslip-policy behind the simulator's JSON line protocol: reads batches of events from standard
//! input and writes the resulting actions to standard output. It only translates; all decisions are the
//! library's.
#![forbid(unsafe_code)]

use heronslip_policy::json::{as_object, boolean, index_of, millis, number, object, string, unsigned};
use heronslip_policy::*;
use miniserde::json::{self, Number, Object, Value};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// Result with an error message for standard error.
type AdapterResult<T> = Result<T, String>;

/// A simulated front end. The settings map the names of the protocol to indexes.
struct FrontEnd {
    controller: Controller,
    settings: Settings,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("heronslip-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Handles batches until the input ends. A batch is a FRAME line with its time and number, one line per
/// event, and a COMMIT line; the reply is one line per action and a READY line.
fn run() -> AdapterResult<()> {
    let mut front_ends: BTreeMap<u64, FrontEnd> = BTreeMap::new();
    // Time and number of the batch being read.
    let mut batch: Option<(Micros, u64)> = None;
    let (mut actions, mut reply) = (Vec::new(), String::new());
    let mut output = io::stdout().lock();
    for (index, line) in io::stdin().lock().lines().enumerate() {
        let line_number = index + 1;
        let line = line.map_err(|e| format!("line {line_number}: {e}"))?;
        if line.trim().is_empty() {
            continue;
        }
        let (name, fields) = parse_message(&line).map_err(|e| format!("line {line_number}: {e}"))?;
        match (name.as_str(), batch) {
            ("FRAME", None) => {
                let read = || Ok((require_micros(&fields, "moment")?, require_unsigned(&fields, "n")?));
                batch = Some(read().map_err(|e: String| format!("line {line_number}: FRAME: {e}"))?);
            }
            ("COMMIT", Some((_, batch_number))) => {
                write_line(&mut reply, "READY", vec![("n", unsigned_value(batch_number))]);
                let written = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
                written.map_err(|e| format!("standard output: {e}"))?;
                reply.clear();
                batch = None;
            }
            (_, Some((now, _))) => {
                let in_line = |e: String| format!("line {line_number}: {name}: {e}");
                let front_end_id = require_unsigned(&fields, "gateway").map_err(in_line)?;
                handle_event(&mut front_ends, front_end_id, now, &name, &fields, &mut actions)
                    .map_err(in_line)?;
                for action in actions.drain(..) {
                    let (name, body) = encode_action(front_end_id, action);
                    write_line(&mut reply, name, body);
                }
            }
            (_, None) => return Err(format!("line {line_number}: {name} outside a batch")),
        }
    }
    match batch {
        Some((_, batch_number)) => Err(format!("input ended inside batch {batch_number}")),
        None => Ok(()),
    }
}

/// Appends a message to the reply: an object with the name as its only key.
fn write_line(reply: &mut String, name: &str, body: Vec<(&str, Value)>) {
    let body: Object = body.into_iter().map(|(key, value)| (key.to_owned(), value)).collect();
    let mut outer = Object::new();
    outer.insert(name.to_owned(), Value::Object(body));
    reply.push_str(&json::to_string(&outer));
    reply.push('\n');
}

/// Parses a line into the name and the fields of a message.
fn parse_message(line: &str) -> AdapterResult<(String, Object)> {
    let Value::Object(outer) = heronslip_policy::json::parse(line)? else {
        return Err("not an object".into());
    };
    if outer.len() != 1 {
        return Err("not an object with exactly one key".into());
    }
    match outer.into_iter().next() {
        Some((name, Value::Object(fields))) => Ok((name, fields)),
        _ => Err("the value of the message is not an object".into()),
    }
}

fn require_unsigned(fields: &Object, key: &str) -> AdapterResult<u64> {
    unsigned(fields, key).ok_or_else(|| format!("'{key}' is not an unsigned integer"))
}

fn require_string<'a>(fields: &'a Object, key: &str) -> AdapterResult<&'a str> {
    string(fields, key).ok_or_else(|| format!("'{key}' is not a string"))
}

fn require_micros(fields: &Object, key: &str) -> AdapterResult<Micros> {
    number(fields, key).map(|_| millis(fields, key)).ok_or_else(|| format!("'{key}' is not a number"))
}

fn parse_function(fields: &Object) -> AdapterResult<FunctionId> {
    FunctionId::from_str_radix(require_string(fields, "image")?, 16).map_err(|e| format!("'image': {e}"))
}

fn parse_outcome(fields: &Object) -> AdapterResult<Outcome> {
    Ok(match require_string(fields, "status")? {
        "S" => Outcome::Ok,
        "E" => Outcome::Error,
        "F" => Outcome::Rejected,
        "T" => Outcome::Timeout,
        "C" => Outcome::ConnectFailed,
        "R" => Outcome::Reset,
        "X" => Outcome::Cancelled,
        "N" => Outcome::NotSent,
        "M" => Outcome::Miss,
        other => return Err(format!("unknown status '{other}'")),
    })
}

/// Passes an event to its front end and appends the actions. Events of unknown front ends are ignored.
fn handle_event(
    front_ends: &mut BTreeMap<u64, FrontEnd>, front_end_id: u64, now: Micros, name: &str, fields: &Object,
    actions: &mut Vec<Action>,
) -> AdapterResult<()> {
    match name {
        "SPAWN" => {
            let settings = Settings::from_json(object(fields, "conf").ok_or("'conf' is not an object")?);
            let controller = Controller::new(settings.clone(), require_unsigned(fields, "salt")?);
            front_ends.insert(front_end_id, FrontEnd { controller, settings });
            return Ok(());
        }
        "KILLED" => {
            front_ends.remove(&front_end_id);
            return Ok(());
        }
        _ => {}
    }
    let Some(front_end) = front_ends.get_mut(&front_end_id) else {
        return Ok(());
    };
    let event = match name {
        "DISCOVERY" => {
            let mode = require_string(fields, "mode")?;
            if mode == "refused" {
                return Ok(());
            }
            let none = json::Array::new();
            let elements = match fields.get("elements") {
                None | Some(Value::Null) => &none,
                Some(Value::Array(elements)) => elements,
                Some(_) => return Err("'elements' is not an array".into()),
            };
            let entries = elements
                .iter()
                .map(|element| parse_entry(front_end, element))
                .collect::<AdapterResult<Vec<_>>>()?;
            Event::WorkerList { full: mode != "changes", entries }
        }
        "JOB_IN" => Event::Request {
            id: require_unsigned(fields, "id")?,
            class: front_end.settings.class_index(string(fields, "qos").unwrap_or_default()),
            tenant: string(fields, "team").and_then(|name| front_end.settings.tenant_index(name)),
            function: parse_function(fields)?,
            timeout: require_micros(fields, "left")?,
            memory_mb: number(fields, "ram-mb").unwrap_or(0.0),
            // Any number is accepted: rounded down, 0 if negative.
            lanes: millis(fields, "per-copy").div_euclid(1000).min(1 << 16) as u32,
            load_time: millis(fields, "bringup-ms"),
            retry: boolean(fields, "resent"),
        },
        "FINISHED" => {
            let outcome = parse_outcome(fields)?;
            // The low three bits say whether a copy was already loaded at the worker, the others hold the
            // number of requests of the function there.
            let note = unsigned(fields, "note").unwrap_or(0);
            let function_inflight = (note >> 3) as u32;
            Event::Outcome {
                id: require_unsigned(fields, "id")?,
                attempt: require_unsigned(fields, "hop")? as usize,
                outcome,
                elapsed: millis(fields, "elapsed"),
                closed: boolean(fields, "no-more"),
                warm: match note & 7 {
                    1 => Some(true),
                    2 | 3 => Some(false),
                    _ => None,
                },
                function_inflight: (note > 7 && matches!(outcome, Outcome::Ok | Outcome::Rejected))
                    .then_some(function_inflight),
                inflight: object(fields, "feedback").and_then(|feedback| number(feedback, "busy_reqs")),
            }
        }
        "WITHDRAWN" => Event::RequestCancelled { id: require_unsigned(fields, "id")? },
        "ALARM" => Event::Timer { token: require_unsigned(fields, "ctx")? },
        "WARMED" => Event::Loaded {
            worker: require_string(fields, "host")?.to_owned(),
            function: parse_function(fields)?,
            count: unsigned(fields, "copies").unwrap_or(0).min(1 << 16) as u32,
            outcome: parse_outcome(fields)?,
            elapsed: millis(fields, "elapsed"),
        },
        "PONG" => Event::Probed {
            worker: require_string(fields, "host")?.to_owned(),
            outcome: parse_outcome(fields)?,
            inflight: object(fields, "feedback").and_then(|feedback| number(feedback, "busy_reqs")),
        },
        "MAIL" | "ACK_FIRST" => return Ok(()), // the controller sends no mail and streams nothing
        _ => return Err("unknown event".into()),
    };
    front_end.controller.handle(now, event, actions);
    Ok(())
}

fn parse_entry(front_end: &FrontEnd, value: &Value) -> AdapterResult<WorkerEntry> {
    let fields = as_object(value).ok_or("a list entry is not an object")?;
    Ok(WorkerEntry {
        worker: require_string(fields, "host")?.to_owned(),
        state: match string(fields, "mode") {
            Some("on") => WorkerState::Ready,
            Some("fading") => WorkerState::Draining,
            Some("off") => WorkerState::Gone,
            _ => return Err("'mode' of a list entry is unknown".into()),
        },
        started_at: millis(fields, "started-at"),
        zone: index_of(&front_end.settings.zones, string(fields, "az")),
        machine_type: index_of(&front_end.settings.machine_types, string(fields, "kind")),
        cell: unsigned(fields, "cluster").unwrap_or(0),
    })
}

fn unsigned_value(value: u64) -> Value {
    Value::Number(Number::U64(value))
}

/// Name and fields of the message for an action.
fn encode_action(front_end_id: u64, action: Action) -> (&'static str, Vec<(&'static str, Value)>) {
    let ms = |time: Micros| Value::Number(Number::F64(time as f64 / 1000.0));
    let image = |function: FunctionId| ("image", Value::String(format!("{function:016x}")));
    let host = |worker| ("host", Value::String(worker));
    let request = |id| ("id", unsigned_value(id));
    let (name, mut fields) = match action {
        Action::Send { id, worker, timeout } => {
            ("DELIVER", vec![request(id), host(worker), ("allow-for", ms(timeout))])
        }
        Action::Cancel { id, attempt } => {
            ("CALL_OFF", vec![request(id), ("hop", unsigned_value(attempt as u64))])
        }
        Action::Refuse { id, retry_after } => ("SHED", vec![request(id), ("cool-down", ms(retry_after))]),
        Action::Fail { id } => ("ABORT", vec![request(id)]),
        Action::Timer { delay, token } => {
            ("TIMER", vec![("offset", ms(delay)), ("ctx", unsigned_value(token))])
        }
        Action::Load { worker, function, count: copies } => {
            ("START_COPY", vec![host(worker), image(function), ("copies", unsigned_value(copies.into()))])
        }
        Action::Unload { worker, function } => ("RELEASE_IDLE", vec![host(worker), image(function)]),
        Action::Probe { worker } => ("INSPECT", vec![host(worker)]),
        Action::Subscribe => ("WATCH", vec![("on", Value::Bool(true))]),
        Action::Log { text } => ("JOURNAL_LINE", vec![("msg", Value::String(text))]),
    };
    fields.push(("gateway", unsigned_value(front_end_id)));
    (name, fields)
}
