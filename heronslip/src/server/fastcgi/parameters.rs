//! The parameters of a request: those that the server reads, and the request that they make.
use super::records::{decode_pairs, TruncatedPair};
use crate::limits::Limits;
use crate::messages::{Payload, Request};
use crate::server::{is_valid_idempotency_key, parse_id, RequestParameters};
use std::time::Instant;

/// The parameters that the server reads; empty if the client did not send them.
#[derive(Default)]
pub(super) struct Parameters {
    script_name: String,
    request_uri: String,
    id: String,
    wait_ms: String,
    is_retry: String,
    token: String,
    key: String,
    owner: String,
    more: String,
}

impl Parameters {
    /// Decodes a complete parameter stream. Of parameters with the same name the last one counts.
    ///
    /// # Errors
    /// Fails if the last pair announces more bytes than there are.
    pub fn decode(stream: &[u8]) -> Result<Self, TruncatedPair> {
        let mut parameters = Parameters::default();
        for pair in decode_pairs(stream) {
            let (name, value) = pair?;
            if let Some(field) = parameters.field(name) {
                *field = String::from_utf8_lossy(value).into_owned();
            }
        }
        Ok(parameters)
    }

    fn field(&mut self, name: &[u8]) -> Option<&mut String> {
        Some(match name {
            b"SCRIPT_NAME" => &mut self.script_name,
            b"REQUEST_URI" => &mut self.request_uri,
            b"HTTP_REQ_ID" => &mut self.id,
            b"HTTP_REQ_WAIT_MS" => &mut self.wait_ms,
            b"HTTP_REQ_RETRY" => &mut self.is_retry,
            b"HTTP_REQ_TOKEN" => &mut self.token,
            b"HTTP_REQ_KEY" => &mut self.key,
            b"HTTP_REQ_OWNER" => &mut self.owner,
            b"HTTP_X_MORE" => &mut self.more,
            _ => return None,
        })
    }

    /// The path that the request names.
    pub fn path(&self) -> &str {
        if self.script_name.is_empty() {
            &self.request_uri
        } else {
            &self.script_name
        }
    }

    /// The request that these parameters make with this body.
    ///
    /// # Errors
    /// Returns what is wrong with them.
    pub fn into_request(self, body: Vec<u8>, limits: &Limits) -> Result<Request, &'static str> {
        let class = self.path().strip_prefix("/v1/").ok_or("its path is not /v1/CLASS")?.to_owned();
        if !self.token.is_empty() && !is_valid_idempotency_key(&self.token) {
            return Err("its idempotency key is invalid");
        }
        let parameters = self.numbers()?;
        parameters.validate(limits)?;
        Ok(Request {
            wire_id: parse_id(&self.id).ok_or("Req-Id is not 16 hexadecimal digits")?,
            class,
            function: parse_id(&self.key).ok_or("Req-Key is not 16 hexadecimal digits")?,
            tenant: self.owner,
            wait: (parameters.wait_ms * 1000.0) as u64,
            received_at: Instant::now(),
            idempotency_key: (!self.token.is_empty()).then_some(self.token),
            is_retry: self.is_retry == "1",
            memory_mb: parameters.memory_mb,
            lanes: parameters.lanes as u32,
            load_time: (parameters.load_ms * 1000.0) as u64,
            payload: Payload::Bytes(body),
            reservation: None,
            incoming: None,
        })
    }

    fn numbers(&self) -> Result<RequestParameters, &'static str> {
        let number = |text: &str| text.trim().parse::<f64>().map_err(|_| "a parameter is not a number");
        let mut parameters =
            RequestParameters { wait_ms: number(&self.wait_ms)?, ..RequestParameters::default() };
        for (name, value) in self.more.split(';').filter_map(|pair| pair.split_once(':')) {
            match name.trim() {
                "memory_mb" => parameters.memory_mb = number(value)?,
                "lanes" => parameters.lanes = number(value)?,
                "load_ms" => parameters.load_ms = number(value)?,
                _ => {}
            }
        }
        Ok(parameters)
    }
}
