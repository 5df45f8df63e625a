//! The parameters of a request: those that the server reads, and the request that they make.
use super::figures::parse_figures;
use super::records::decode_pairs;
use super::requests::{InvalidStream, Rejection};
use crate::messages::{Payload, Request};
use crate::server::validation::{parse_id, Field, InvalidRequest, RequestRules, StatedRequest};

/// The parameters that the server reads; empty if the client did not send them.
#[derive(Default)]
pub(super) struct Parameters {
    script_name: String,
    request_uri: String,
    content_length: String,
    id: String,
    wait_ms: String,
    retry: String,
    token: String,
    key: String,
    owner: String,
    more: String,
}

impl Parameters {
    /// Decodes a complete parameter stream.
    ///
    /// # Errors
    /// Fails if the last pair announces more bytes than there are, if a pair has no name, if a parameter that
    /// the server reads is no text, or if it is stated twice with different values.
    pub fn decode(stream: &[u8]) -> Result<Self, Rejection> {
        let mut parameters = Parameters::default();
        for pair in decode_pairs(stream) {
            let (name, value) = pair.map_err(|_| InvalidStream::TruncatedPair)?;
            if name.is_empty() {
                return Err(InvalidStream::UnnamedParameter.into());
            }
            if let Some((parameter, field)) = parameters.parameter(name) {
                let value = std::str::from_utf8(value).map_err(|_| InvalidRequest::Malformed(field))?;
                if !parameter.is_empty() && parameter != value {
                    return Err(InvalidRequest::Ambiguous(field).into());
                }
                value.clone_into(parameter);
            }
        }
        Ok(parameters)
    }

    fn parameter(&mut self, name: &[u8]) -> Option<(&mut String, Field)> {
        Some(match name {
            b"SCRIPT_NAME" => (&mut self.script_name, Field::Path),
            b"REQUEST_URI" => (&mut self.request_uri, Field::Path),
            b"CONTENT_LENGTH" => (&mut self.content_length, Field::BodyLength),
            b"HTTP_REQ_ID" => (&mut self.id, Field::Id),
            b"HTTP_REQ_WAIT_MS" => (&mut self.wait_ms, Field::Wait),
            b"HTTP_REQ_RETRY" => (&mut self.retry, Field::Retry),
            b"HTTP_REQ_TOKEN" => (&mut self.token, Field::IdempotencyKey),
            b"HTTP_REQ_KEY" => (&mut self.key, Field::Function),
            b"HTTP_REQ_OWNER" => (&mut self.owner, Field::Tenant),
            b"HTTP_X_MORE" => (&mut self.more, Field::Figures),
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
    pub fn into_request(self, body: Vec<u8>, rules: &RequestRules) -> Result<Request, InvalidRequest> {
        self.check_body_length(body.len())?;
        let class = self.path().strip_prefix("/v1/").ok_or(InvalidRequest::Malformed(Field::Path))?;
        rules.validate(StatedRequest {
            wire_id: parse_id(&self.id).ok_or(InvalidRequest::Malformed(Field::Id))?,
            class: class.to_owned(),
            function: parse_id(&self.key).ok_or(InvalidRequest::Malformed(Field::Function))?,
            wait_ms: self.wait_ms.trim().parse().map_err(|_| InvalidRequest::Malformed(Field::Wait))?,
            is_retry: self.is_retry()?,
            figures: parse_figures(&self.more)?,
            tenant: self.owner,
            idempotency_key: (!self.token.is_empty()).then_some(self.token),
            payload: Payload::Bytes(body),
        })
    }

    fn is_retry(&self) -> Result<bool, InvalidRequest> {
        match self.retry.trim() {
            "1" => Ok(true),
            "" | "0" => Ok(false),
            _ => Err(InvalidRequest::Malformed(Field::Retry)),
        }
    }

    /// As CGI asks for, a stated length must be that of the body.
    fn check_body_length(&self, actual: usize) -> Result<(), InvalidRequest> {
        let stated = self.content_length.trim();
        if stated.is_empty() {
            return Ok(());
        }
        let is_number = stated.bytes().all(|b| b.is_ascii_digit());
        match stated.parse::<usize>() {
            Ok(length) if is_number && length == actual => Ok(()),
            Ok(_) if is_number => Err(InvalidRequest::OutOfRange(Field::BodyLength)),
            _ => Err(InvalidRequest::Malformed(Field::BodyLength)),
        }
    }
}
