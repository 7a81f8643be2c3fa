//! The requests of the admin interface: method, path and body parsed into a typed request, or the error in them.

use serde_json::Value;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// A request of an operator, or of the program that starts the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Whether this process accepts clients.
    Ready,
    /// Take a host out of service, by discovery's id.
    Disable(String),
    /// Put a host back into service.
    Enable(String),
    /// Drain the clients.
    Drain,
    /// Stop draining.
    Undrain,
}

/// Why a request is refused; the text says how to make a sound one.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RequestError {
    /// The bytes are no HTTP request.
    #[error("this is no HTTP/1.1; send a request line and headers")]
    NotHttp,
    /// The head is longer than allowed.
    #[error("the call is too long; send a head and a body of a few hundred bytes")]
    HeadTooLong,
    /// The body is sent in chunks.
    #[error("send the body with a Content-Length")]
    ChunkedBody,
    /// The length of the body is no number.
    #[error("Content-Length is no number")]
    LengthNotNumber,
    /// The body is longer than allowed.
    #[error("the body is too long; send {{\"host\":\"ID\"}}")]
    BodyTooLong,
    /// The request did not arrive completely in time.
    #[error("the call did not end in time; send it at once")]
    Timeout,
    /// The path is not one of the interface's.
    #[error("the paths are /ready, /servers/disable, /servers/enable, /drain, /undrain")]
    UnknownPath,
    /// The path is for GET.
    #[error("use GET for /ready")]
    GetOnly,
    /// The path is for PUT.
    #[error("use PUT for this path")]
    PutOnly,
    /// The body is not JSON.
    #[error("the body is not JSON; send {{\"host\":\"ID\"}}")]
    BodyNotJson,
    /// The host is no text, or an empty one.
    #[error("host is no text with an id in it; send {{\"host\":\"ID\"}}")]
    HostNotText,
    /// The body names no host.
    #[error("host is missing; send {{\"host\":\"ID\"}}")]
    HostMissing,
}

impl RequestError {
    /// The HTTP status of the answer.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            RequestError::NotHttp
            | RequestError::ChunkedBody
            | RequestError::LengthNotNumber
            | RequestError::BodyNotJson => 400,
            RequestError::UnknownPath => 404,
            RequestError::GetOnly | RequestError::PutOnly => 405,
            RequestError::Timeout => 408,
            RequestError::HeadTooLong | RequestError::BodyTooLong => 413,
            RequestError::HostNotText | RequestError::HostMissing => 422,
        }
    }
}

/// Parses a request.
///
/// # Errors
/// The path, the method or the body is not one of the interface's; the request then changes nothing.
pub fn parse_request(method: &str, path: &str, body: &[u8]) -> Result<AdminRequest, RequestError> {
    let path = path.split('?').next().unwrap_or_default();
    check_method(method, path)?;
    match path {
        "/ready" => Ok(AdminRequest::Ready),
        "/drain" => Ok(AdminRequest::Drain),
        "/undrain" => Ok(AdminRequest::Undrain),
        "/servers/disable" => Ok(AdminRequest::Disable(parse_host(body)?)),
        _ => Ok(AdminRequest::Enable(parse_host(body)?)),
    }
}

fn check_method(method: &str, path: &str) -> Result<(), RequestError> {
    match (path, method) {
        ("/ready", "GET")
        | ("/servers/disable" | "/servers/enable" | "/drain" | "/undrain", "PUT") => Ok(()),
        ("/ready", _) => Err(RequestError::GetOnly),
        ("/servers/disable" | "/servers/enable" | "/drain" | "/undrain", _) => {
            Err(RequestError::PutOnly)
        }
        _ => Err(RequestError::UnknownPath),
    }
}

fn parse_host(body: &[u8]) -> Result<String, RequestError> {
    let body: Value = serde_json::from_slice(body).map_err(|_| RequestError::BodyNotJson)?;
    match body.get("host") {
        Some(Value::String(id)) if !id.is_empty() => Ok(id.clone()),
        Some(_) => Err(RequestError::HostNotText),
        None => Err(RequestError::HostMissing),
    }
}
