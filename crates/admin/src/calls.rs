//! The calls of the console: method, path and body to a typed call, or what is wrong and what would do.

use serde_json::Value;

/// What a caller wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process takes clients.
    Ready,
    /// Take a server out of service, by discovery's id.
    Disable(String),
    /// A server may serve again.
    Enable(String),
    /// Send clients away.
    Drain,
    /// Back to work.
    Undrain,
}

/// Why a call is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wrong {
    /// The status of the answer.
    pub status: u16,
    /// One sentence that says what would do.
    pub advice: &'static str,
}

const fn wrong(status: u16, advice: &'static str) -> Wrong {
    Wrong { status, advice }
}

/// Reads a call.
///
/// # Errors
/// What is wrong with it; it then changes nothing.
pub fn understand(method: &str, path: &str, body: &[u8]) -> Result<Call, Wrong> {
    let path = path.split('?').next().unwrap_or_default();
    let (wanted, advice) = match path {
        "/ready" => ("GET", "use GET for /ready"),
        "/servers/disable" | "/servers/enable" | "/drain" | "/undrain" => {
            ("PUT", "use PUT for this path")
        }
        _ => {
            return Err(wrong(
                404,
                "the paths are /ready, /servers/disable, /servers/enable, /drain, /undrain",
            ))
        }
    };
    if method != wanted {
        return Err(wrong(405, advice));
    }
    Ok(match path {
        "/ready" => Call::Ready,
        "/drain" => Call::Drain,
        "/undrain" => Call::Undrain,
        "/servers/disable" => Call::Disable(host(body)?),
        _ => Call::Enable(host(body)?),
    })
}

fn host(body: &[u8]) -> Result<String, Wrong> {
    let body: Value = serde_json::from_slice(body)
        .map_err(|_| wrong(400, "the body is not JSON; send {\"host\":\"ID\"}"))?;
    match body.get("host") {
        Some(Value::String(id)) if !id.is_empty() => Ok(id.clone()),
        Some(_) => Err(wrong(
            422,
            "host is no text with an id in it; send {\"host\":\"ID\"}",
        )),
        None => Err(wrong(422, "host is missing; send {\"host\":\"ID\"}")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_call_is_read_and_every_other_one_is_told_what_would_do() {
        let id = br#"{"host":"s-1"}"#;
        for (method, path, body, expected) in [
            ("GET", "/ready", &b""[..], Ok(Call::Ready)),
            (
                "PUT",
                "/servers/disable",
                id,
                Ok(Call::Disable("s-1".into())),
            ),
            ("PUT", "/servers/enable", id, Ok(Call::Enable("s-1".into()))),
            ("PUT", "/drain", b"", Ok(Call::Drain)),
            ("PUT", "/undrain", b"x", Ok(Call::Undrain)),
            ("GET", "/", b"", Err(404)),
            ("PUT", "/ready", b"", Err(405)),
            ("GET", "/drain", b"", Err(405)),
            ("PUT", "/servers/disable", b"", Err(400)),
            ("PUT", "/servers/disable", b"{\"host\":", Err(400)),
            ("PUT", "/servers/disable", b"[]", Err(422)),
            ("PUT", "/servers/enable", b"{\"host\":7}", Err(422)),
            ("PUT", "/servers/enable", b"{\"host\":\"\"}", Err(422)),
        ] {
            let read = understand(method, path, body);
            assert_eq!(
                read.map_err(|wrong| wrong.status),
                expected,
                "{method} {path}"
            );
        }
    }
}
