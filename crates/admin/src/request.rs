//! Requests of the admin interface: method, path and body are parsed into a typed request.

use serde_json::Value;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Request of an operator, or of the program that starts the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Query whether this process accepts clients.
    Ready,
    /// Take the host with this name, its id in discovery, out of service.
    Disable(String),
    /// Put the host with this name back into service.
    Enable(String),
    /// Start draining the clients.
    Drain,
    /// Stop draining.
    Undrain,
}

/// Reason why a request is refused. The message says how to make a valid one.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RequestError {
    /// The bytes are not an HTTP/1.1 request.
    #[error("this is no HTTP/1.1; send a request line and headers")]
    MalformedHttp,
    /// The head is longer than allowed.
    #[error("the call is too long; send a head and a body of a few hundred bytes")]
    HeadTooLong,
    /// The body is sent with a `Transfer-Encoding`, which is not supported.
    #[error("send the body with a Content-Length")]
    TransferEncoding,
    /// The `Content-Length` is not a non-negative integer.
    #[error("Content-Length is no number")]
    InvalidContentLength,
    /// The body is longer than allowed.
    #[error("the body is too long; send {{\"host\":\"ID\"}}")]
    BodyTooLong,
    /// The request did not arrive completely in time.
    #[error("the call did not end in time; send it at once")]
    Timeout,
    /// The interface has no such path.
    #[error("the paths are /ready, /servers/disable, /servers/enable, /drain, /undrain")]
    UnknownPath,
    /// The path accepts GET only.
    #[error("use GET for /ready")]
    GetOnly,
    /// The path accepts PUT only.
    #[error("use PUT for this path")]
    PutOnly,
    /// The body is not JSON.
    #[error("the body is not JSON; send {{\"host\":\"ID\"}}")]
    BodyNotJson,
    /// The value of `host` is not a string, or is empty.
    #[error("host is no text with an id in it; send {{\"host\":\"ID\"}}")]
    InvalidHost,
    /// The body has no key `host`.
    #[error("host is missing; send {{\"host\":\"ID\"}}")]
    HostMissing,
}

impl RequestError {
    /// Returns the HTTP status of the response.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            RequestError::MalformedHttp
            | RequestError::TransferEncoding
            | RequestError::InvalidContentLength
            | RequestError::BodyNotJson => 400,
            RequestError::UnknownPath => 404,
            RequestError::GetOnly | RequestError::PutOnly => 405,
            RequestError::Timeout => 408,
            RequestError::HeadTooLong | RequestError::BodyTooLong => 413,
            RequestError::InvalidHost | RequestError::HostMissing => 422,
        }
    }
}

/// Parses a request. A query string in `path` is ignored.
///
/// # Errors
/// Returns an error if the interface has no such path, the path does not accept the method, or the body is invalid.
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
        Some(_) => Err(RequestError::InvalidHost),
        None => Err(RequestError::HostMissing),
    }
}
