//! Encoding of actions and of the other reply lines.

use super::timer_tag::format_tag;
use crate::api::{Action, LogEvent, Peers};
use base64::{engine::general_purpose::STANDARD as BASE64, Engine};

#[cfg(test)]
mod tests;

/// Replaces control characters by spaces, so that the text fits into one tab-separated field of one line.
fn one_line(text: &str) -> String {
    let printable = |character: char| {
        if character.is_control() {
            ' '
        } else {
            character
        }
    };
    text.chars().map(printable).collect()
}

fn push_line(line: &str, reply: &mut String) {
    reply.push_str(line);
    reply.push('\n');
}

/// Appends the line that reports a panic of a decision engine.
pub(super) fn encode_panic(text: &str, reply: &mut String) {
    push_line(&format!("BUG\t{}", one_line(text)), reply);
}

/// Appends the line that names the limiter of the following actions.
pub(super) fn encode_limiter(name: &str, reply: &mut String) {
    push_line(&format!("BY\t{name}"), reply);
}

/// Appends the line that ends a reply.
pub(super) fn encode_end(reply: &mut String) {
    push_line("ACK", reply);
}

/// Appends the line of an action.
pub fn encode(action: &Action, reply: &mut String) {
    let line = match action {
        Action::Attempt {
            id, host, timeout, ..
        } => format!("ISSUE\t{:016x}\t{}\t{timeout}", id.0, host.0),
        Action::CancelAttempt { id, attempt } => format!("STOP_ATTEMPT\t{:016x}\t{attempt}", id.0),
        Action::Reject { id, retry_after } => format!("PUSH_BACK\t{:016x}\t{retry_after}", id.0),
        Action::Fail { id } => format!("REPORT_FAILURE\t{:016x}", id.0),
        Action::SetTimer { timer, after } => format!("WAKE_ME\t{}\t{after}", format_tag(*timer)),
        Action::HealthCheck { host } => format!("SAMPLE\t{}", host.0),
        Action::CloseIdle { host } => format!("CLOSE_IDLE\t{}", host.0),
        Action::MessagePeers { to, bytes } => {
            format!("ANNOUNCE\t{}\t{}", recipients(*to), encode_bytes(bytes))
        }
        Action::Count {
            name,
            amount,
            keep_for,
        } => format!("INCR\t{name}\t{amount}\t{keep_for}"),
        Action::Watch { on } => format!("WATCH\t{}", u8::from(*on)),
        Action::FetchHosts => "QUERY_ALL".to_owned(),
        Action::Log { event } => format!("RECORD\t{}", record_text(*event)),
    };
    push_line(&line, reply);
}

/// Returns the text of a log event, which the simulator stores unchanged.
fn record_text(event: LogEvent) -> String {
    match event {
        LogEvent::CounterDegraded => "counter in trouble: judging on what is known".to_owned(),
        LogEvent::CounterRecovered => "counter answers again".to_owned(),
        LogEvent::HostFailing {
            host,
            consecutive_failures,
        } => format!(
            "host {} failing: {consecutive_failures} failures in a row",
            host.0
        ),
    }
}

fn recipients(peers: Peers) -> String {
    match peers {
        Peers::All => "all".to_owned(),
        Peers::One(peer) => peer.to_string(),
    }
}

fn encode_bytes(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        "-".to_owned()
    } else {
        BASE64.encode(bytes)
    }
}
