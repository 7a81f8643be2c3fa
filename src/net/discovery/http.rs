//! Incremental parser of HTTP/1.1 responses from discovery.

use thiserror::Error;

/// Maximum length of an incomplete header section, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum length of an incomplete chunk-size line, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 64;
const HEAD_END: &[u8] = b"\r\n\r\n";
const LINE_END: &[u8] = b"\r\n";

/// A complete response.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The body, without the chunked transfer coding.
    pub body: Vec<u8>,
    /// Length of the whole response in the input, in bytes.
    pub length: usize,
    /// Whether the connection stays open for another request.
    pub keep_alive: bool,
}

/// The reason why bytes are not a valid response.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ResponseError {
    /// The header section has no end within its maximum length.
    #[error("response from discovery: header section exceeds 16 KiB")]
    HeadTooLong,
    /// The header section is not UTF-8.
    #[error("response from discovery: header section is not UTF-8")]
    HeadNotUtf8,
    /// The first line is not a status line of HTTP/1.
    #[error("response from discovery: not an HTTP/1.x status line")]
    NotHttp,
    /// The body is not chunked, and has no valid `Content-Length`.
    #[error("response from discovery: no valid Content-Length and not chunked")]
    MissingLength,
    /// The body exceeds its maximum length.
    #[error("response from discovery: body is too long")]
    BodyTooLong,
    /// The chunk-size line contains no hexadecimal length, or exceeds its maximum length.
    #[error("response from discovery: chunk size is missing or malformed")]
    InvalidChunkSize,
    /// The data of a chunk is not followed by CRLF.
    #[error("response from discovery: chunk is not followed by CRLF")]
    MissingChunkEnd,
}

/// The status line and the relevant header fields of a response.
struct Head {
    status: u16,
    content_length: Option<usize>,
    is_chunked: bool,
    keep_alive: bool,
    /// Offset of the body in the input, in bytes.
    body_start: usize,
}

/// Parses the response at the start of `bytes`. Returns `None` where it is incomplete.
///
/// The body must have a `Content-Length` or be chunked, and must not exceed `max_body_bytes`.
///
/// # Errors
/// Returns an error if the bytes are not an HTTP/1 response, or if they exceed a limit.
pub fn parse_response(
    bytes: &[u8],
    max_body_bytes: usize,
) -> Result<Option<Response>, ResponseError> {
    let Some(head) = parse_head(bytes)? else {
        return Ok(None);
    };
    let body = if head.is_chunked {
        parse_chunks(bytes, head.body_start, max_body_bytes)?
    } else {
        parse_sized_body(bytes, &head, max_body_bytes)?
    };
    Ok(body.map(|Body { bytes, end }| Response {
        status: head.status,
        body: bytes,
        length: end,
        keep_alive: head.keep_alive,
    }))
}

fn parse_head(bytes: &[u8]) -> Result<Option<Head>, ResponseError> {
    let Some(head_end) = find(bytes, HEAD_END) else {
        return if bytes.len() > MAX_HEAD_BYTES {
            Err(ResponseError::HeadTooLong)
        } else {
            Ok(None)
        };
    };
    let text = std::str::from_utf8(&bytes[..head_end]).map_err(|_| ResponseError::HeadNotUtf8)?;
    let mut lines = text.split("\r\n");
    let mut head = Head {
        status: lines
            .next()
            .and_then(parse_status)
            .ok_or(ResponseError::NotHttp)?,
        content_length: None,
        is_chunked: false,
        keep_alive: true,
        body_start: head_end + HEAD_END.len(),
    };
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        head.apply(name, value.trim());
    }
    Ok(Some(head))
}

impl Head {
    fn apply(&mut self, name: &str, value: &str) {
        match name.to_ascii_lowercase().as_str() {
            "content-length" => self.content_length = value.parse().ok(),
            "transfer-encoding" => self.is_chunked = value.eq_ignore_ascii_case("chunked"),
            "connection" => self.keep_alive = !value.eq_ignore_ascii_case("close"),
            _ => {}
        }
    }
}

/// Returns the status code of a status line such as `HTTP/1.1 200 OK`; `None` where it is malformed.
fn parse_status(line: &str) -> Option<u16> {
    let remaining = line.strip_prefix("HTTP/1.")?;
    remaining.get(2..5)?.parse().ok()
}

/// A complete body.
struct Body {
    bytes: Vec<u8>,
    /// Offset of the end of the response in the input, in bytes.
    end: usize,
}

fn parse_sized_body(
    bytes: &[u8],
    head: &Head,
    max_body_bytes: usize,
) -> Result<Option<Body>, ResponseError> {
    let length = head.content_length.ok_or(ResponseError::MissingLength)?;
    if length > max_body_bytes {
        return Err(ResponseError::BodyTooLong);
    }
    if bytes.len() - head.body_start < length {
        return Ok(None);
    }
    let end = head.body_start + length;
    Ok(Some(Body {
        bytes: bytes[head.body_start..end].to_vec(),
        end,
    }))
}

fn parse_chunks(
    bytes: &[u8],
    start: usize,
    max_body_bytes: usize,
) -> Result<Option<Body>, ResponseError> {
    let mut body = Vec::new();
    let mut position = start;
    loop {
        let Some(chunk) = parse_chunk_line(&bytes[position..])? else {
            return Ok(None);
        };
        if chunk.size > max_body_bytes || body.len() + chunk.size > max_body_bytes {
            return Err(ResponseError::BodyTooLong);
        }
        let chunk_start = position + chunk.line_length;
        let chunk_end = chunk_start + chunk.size;
        let next = chunk_end + LINE_END.len();
        if bytes.len() < next {
            return Ok(None);
        }
        body.extend_from_slice(&bytes[chunk_start..chunk_end]);
        if &bytes[chunk_end..next] != LINE_END {
            return Err(ResponseError::MissingChunkEnd);
        }
        position = next;
        if chunk.size == 0 {
            return Ok(Some(Body {
                bytes: body,
                end: position,
            }));
        }
    }
}

/// The line that precedes the data of a chunk.
struct ChunkLine {
    /// Length of the line including CRLF, in bytes.
    line_length: usize,
    /// Length of the chunk's data, in bytes; zero for the last chunk.
    size: usize,
}

fn parse_chunk_line(bytes: &[u8]) -> Result<Option<ChunkLine>, ResponseError> {
    let Some(end) = find(bytes, LINE_END) else {
        return if bytes.len() > MAX_CHUNK_LINE_BYTES {
            Err(ResponseError::InvalidChunkSize)
        } else {
            Ok(None)
        };
    };
    let text = std::str::from_utf8(&bytes[..end]).unwrap_or_default();
    let digits = text.split(';').next().unwrap_or_default().trim();
    let size = usize::from_str_radix(digits, 16).map_err(|_| ResponseError::InvalidChunkSize)?;
    Ok(Some(ChunkLine {
        line_length: end + LINE_END.len(),
        size,
    }))
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
