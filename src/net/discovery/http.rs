//! HTTP/1.1 responses of discovery, parsed from the bytes received so far.

use thiserror::Error;

/// The longest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The longest line that announces a chunk, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 64;
const HEAD_END: &[u8] = b"\r\n\r\n";
const LINE_END: &[u8] = b"\r\n";

/// A complete response.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// Bytes that the response takes up in the buffer.
    pub length: usize,
    /// The connection stays open for another request.
    pub keep_alive: bool,
}

/// Why bytes are no response.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ResponseError {
    /// The head is longer than allowed.
    #[error("response from discovery: header section exceeds 16 KiB")]
    EndlessHead,
    /// The head is not UTF-8.
    #[error("response from discovery: header section is not UTF-8")]
    HeadNotText,
    /// The status line is not that of HTTP/1.
    #[error("response from discovery: not an HTTP/1.x status line")]
    NotHttp,
    /// The body has neither a length nor chunks.
    #[error("response from discovery: no valid Content-Length and not chunked")]
    NoLength,
    /// The body is longer than allowed.
    #[error("response from discovery: body is too long")]
    TooLong,
    /// The line before a chunk contains no length.
    #[error("response from discovery: chunk size is missing or malformed")]
    ChunkWithoutLength,
    /// A chunk is not followed by the end of a line.
    #[error("response from discovery: chunk is not followed by CRLF")]
    ChunkOverrun,
}

/// The head of a response.
struct Head {
    status: u16,
    content_length: Option<usize>,
    is_chunked: bool,
    keep_alive: bool,
    /// Where the body starts.
    body_start: usize,
}

/// Parses the response at the start of `bytes`; `None` where it is incomplete. Bodies have a length or are chunked, and
/// are `max_body_bytes` long at most.
///
/// # Errors
/// The bytes are no HTTP/1 response, or exceed a limit.
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
            Err(ResponseError::EndlessHead)
        } else {
            Ok(None)
        };
    };
    let text = std::str::from_utf8(&bytes[..head_end]).map_err(|_| ResponseError::HeadNotText)?;
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

/// The status code of `HTTP/1.1 200 OK`.
fn parse_status(line: &str) -> Option<u16> {
    let remaining = line.strip_prefix("HTTP/1.")?;
    remaining.get(2..5)?.parse().ok()
}

/// A complete body, and where it ends.
struct Body {
    bytes: Vec<u8>,
    end: usize,
}

fn parse_sized_body(
    bytes: &[u8],
    head: &Head,
    max_body_bytes: usize,
) -> Result<Option<Body>, ResponseError> {
    let length = head.content_length.ok_or(ResponseError::NoLength)?;
    if length > max_body_bytes {
        return Err(ResponseError::TooLong);
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
            return Err(ResponseError::TooLong);
        }
        let chunk_start = position + chunk.line_length;
        let chunk_end = chunk_start + chunk.size;
        let next = chunk_end + LINE_END.len();
        if bytes.len() < next {
            return Ok(None);
        }
        body.extend_from_slice(&bytes[chunk_start..chunk_end]);
        if &bytes[chunk_end..next] != LINE_END {
            return Err(ResponseError::ChunkOverrun);
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

/// The line that announces a chunk.
struct ChunkLine {
    /// Length of the line with its end, in bytes.
    line_length: usize,
    /// Length of the chunk, in bytes.
    size: usize,
}

fn parse_chunk_line(bytes: &[u8]) -> Result<Option<ChunkLine>, ResponseError> {
    let Some(end) = find(bytes, LINE_END) else {
        return if bytes.len() > MAX_CHUNK_LINE_BYTES {
            Err(ResponseError::ChunkWithoutLength)
        } else {
            Ok(None)
        };
    };
    let text = std::str::from_utf8(&bytes[..end]).unwrap_or_default();
    let digits = text.split(';').next().unwrap_or_default().trim();
    let size = usize::from_str_radix(digits, 16).map_err(|_| ResponseError::ChunkWithoutLength)?;
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
