//! HTTP/1.1 parsing and encoding for the admin interface: one request per connection.

use quartzcleat_admin::{parse_request, AdminRequest, RequestError};
use serde_json::json;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// Parses the request in `bytes`; returns `None` if it is incomplete. Head and body may be `max_bytes` long each.
pub(super) fn parse(bytes: &[u8], max_bytes: usize) -> Option<Result<AdminRequest, RequestError>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let head_length = match head.parse(bytes) {
        Err(_) => return Some(Err(RequestError::MalformedHttp)),
        Ok(httparse::Status::Partial) if bytes.len() > max_bytes => {
            return Some(Err(RequestError::HeadTooLong));
        }
        Ok(httparse::Status::Partial) => return None,
        Ok(httparse::Status::Complete(length)) => length,
    };
    let body_length = match body_length(head.headers) {
        Err(error) => return Some(Err(error)),
        Ok(length) if length > max_bytes => return Some(Err(RequestError::BodyTooLong)),
        Ok(length) => length,
    };
    let body = bytes.get(head_length..head_length + body_length)?;
    let method = head.method.unwrap_or_default();
    let path = head.path.unwrap_or_default();
    Some(parse_request(method, path, body))
}

fn body_length(headers: &[httparse::Header<'_>]) -> Result<usize, RequestError> {
    let mut length = 0;
    for header in headers {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(RequestError::TransferEncoding);
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            length = parse_length(header.value).ok_or(RequestError::InvalidContentLength)?;
        }
    }
    Ok(length)
}

fn parse_length(value: &[u8]) -> Option<usize> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Encodes a response with a status and a one-sentence text.
pub(super) fn encode(status: u16, text: &str) -> String {
    let body = json!({ "ok": status < 300, "text": text }).to_string();
    let reason = reason(status);
    let length = body.len();
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{body}"
    )
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        _ => "Service Unavailable",
    }
}
