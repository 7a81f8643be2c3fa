//! The requests of the admin interface: method, path and body to a typed request, or what is wrong with them.

use serde_json::Value;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// What a caller asks for.
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
#[error("{advice}")]
pub struct RequestError {
    /// The HTTP status of the answer.
    pub status: u16,
    /// One sentence on what would be accepted.
    pub advice: &'static str,
}

const UNKNOWN_PATH: RequestError = RequestError {
    status: 404,
    advice: "the paths are /ready, /servers/disable, /servers/enable, /drain, /undrain",
};
const GET_ONLY: RequestError = RequestError {
    status: 405,
    advice: "use GET for /ready",
};
const PUT_ONLY: RequestError = RequestError {
    status: 405,
    advice: "use PUT for this path",
};
const BODY_NOT_JSON: RequestError = RequestError {
    status: 400,
    advice: "the body is not JSON; send {\"host\":\"ID\"}",
};
const HOST_NOT_TEXT: RequestError = RequestError {
    status: 422,
    advice: "host is no text with an id in it; send {\"host\":\"ID\"}",
};
const HOST_MISSING: RequestError = RequestError {
    status: 422,
    advice: "host is missing; send {\"host\":\"ID\"}",
};

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
    let (expected, error) = match path {
        "/ready" => ("GET", GET_ONLY),
        "/servers/disable" | "/servers/enable" | "/drain" | "/undrain" => ("PUT", PUT_ONLY),
        _ => return Err(UNKNOWN_PATH),
    };
    if method == expected {
        Ok(())
    } else {
        Err(error)
    }
}

fn parse_host(body: &[u8]) -> Result<String, RequestError> {
    let body: Value = serde_json::from_slice(body).map_err(|_| BODY_NOT_JSON)?;
    match body.get("host") {
        Some(Value::String(id)) if !id.is_empty() => Ok(id.clone()),
        Some(_) => Err(HOST_NOT_TEXT),
        None => Err(HOST_MISSING),
    }
}
