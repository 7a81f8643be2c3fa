//! The console: HTTP/1.1, one call to a connection, for on-call staff and what starts the program. Knows sockets only;
//! a call is read and typed by `quartzcleat-admin`, and what it means is carried out here in one place.

use super::config::Limits;
use super::discovery::DiscoveryClient;
use super::hot_restart::{self, HotRestart};
use super::shutdown::unix;
use super::shutdown::Shutdown;
use quartzcleat_admin::{understand, Call, Wrong};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Headers of a call.
const HEADERS: usize = 64;

/// What calls to the admin interface read and change.
pub struct AdminContext {
    /// Sizes, counts and times.
    pub limits: Rc<Limits>,
    /// Puts hosts into maintenance, and knows which were ever listed.
    pub discovery: Rc<DiscoveryClient>,
    /// Drains the clients.
    pub shutdown: Rc<Shutdown>,
    /// Is told of each change.
    pub hot_restart: Rc<HotRestart>,
}

/// Takes callers in for good. Guards against callers that finish no call: past the limit the oldest is let go.
pub async fn accept(context: Rc<AdminContext>, listener: TcpListener) {
    let mut callers: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                callers.retain(|caller| !caller.is_finished());
                while callers.len() >= context.limits.admin.max_connections {
                    callers.pop_front().inspect(JoinHandle::abort);
                }
                callers.push_back(tokio::task::spawn_local(serve(context.clone(), stream)));
            }
            Err(e) => {
                tracing::warn!("console: cannot accept: {e}");
                sleep(context.limits.reconnect_pause).await;
            }
        }
    }
}

async fn serve(context: Rc<AdminContext>, mut stream: TcpStream) {
    let call = timeout(
        context.limits.admin.request_timeout,
        call(&mut stream, context.limits.admin.max_request_bytes),
    )
    .await;
    let (status, text) = match call {
        Err(_) => (
            408,
            "the call did not end in time; send it at once".to_owned(),
        ),
        // It went away, or never sent a whole call.
        Ok(None) => return,
        Ok(Some(Err(wrong))) => (wrong.status, wrong.advice.to_owned()),
        Ok(Some(Ok(call))) => {
            listed(&context, &call).await;
            carry_out(&context, call)
        }
    };
    let body = serde_json::json!({ "ok": status < 300, "text": text }).to_string();
    let answer = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        reason(status),
        body.len()
    );
    let _ = timeout(context.limits.admin.request_timeout, async {
        let _ = stream.write_all(answer.as_bytes()).await;
        let _ = stream.shutdown().await;
        // Guards against a reset that overtakes the answer where something of the call was left unread.
        let mut rest = [0; 512];
        while stream.read(&mut rest).await.is_ok_and(|count| count > 0) {}
    })
    .await;
}

/// Waits for discovery's first list where a call names a server not heard of yet. Guards against a no to staff who
/// are quicker than that list: a server that is on it was listed.
async fn listed(context: &AdminContext, call: &Call) {
    let (Call::Disable(name) | Call::Enable(name)) = call else {
        return;
    };
    let known =
        || context.discovery.maintenance().borrow().knows(name) || context.discovery.has_answered();
    let first = async {
        while !known() {
            sleep(context.limits.requests.deadline_margin).await;
        }
    };
    let _ = timeout(context.limits.admin.first_list_timeout, first).await;
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

/// Reads one call; `None` where the caller went away before its end.
async fn call(stream: &mut TcpStream, most: usize) -> Option<Result<Call, Wrong>> {
    let mut bytes = Vec::new();
    loop {
        if let Some(read) = read(&bytes, most) {
            return Some(read);
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

/// The call in `bytes`, once it is whole or cannot become one.
fn read(bytes: &[u8], most: usize) -> Option<Result<Call, Wrong>> {
    let wrong = |status, advice| Some(Err(Wrong { status, advice }));
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(bytes) {
        Err(_) => return wrong(400, "this is no HTTP/1.1; send a request line and headers"),
        Ok(httparse::Status::Partial) if bytes.len() > most => {
            return wrong(
                413,
                "the call is too long; send a head and a body of a few hundred bytes",
            )
        }
        Ok(httparse::Status::Partial) => return None,
        Ok(httparse::Status::Complete(length)) => length,
    };
    let mut body = 0;
    for header in head.headers.iter() {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return wrong(400, "send the body with a Content-Length");
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            match std::str::from_utf8(header.value)
                .ok()
                .and_then(|text| text.trim().parse::<usize>().ok())
            {
                Some(told) => body = told,
                None => return wrong(400, "Content-Length is no number"),
            }
        }
    }
    if body > most {
        return wrong(413, "the body is too long; send {\"host\":\"ID\"}");
    }
    let whole = bytes.get(length..length + body)?;
    Some(understand(
        head.method.unwrap_or_default(),
        head.path.unwrap_or_default(),
        whole,
    ))
}

/// Does what a call asks for; the status and a sentence.
fn carry_out(context: &AdminContext, call: Call) -> (u16, String) {
    let unknown = match context.discovery.has_answered() {
        true => (
            404,
            "no server of this id was ever listed; use discovery's instanceId".to_owned(),
        ),
        false => (
            503,
            "discovery has not told of any server yet; call again".to_owned(),
        ),
    };
    match call {
        Call::Ready if !context.shutdown.welcome() => {
            (503, "draining: clients are sent away".to_owned())
        }
        Call::Ready if *context.shutdown.end().borrow() => (503, "ending".to_owned()),
        Call::Ready => (200, "taking clients".to_owned()),
        Call::Disable(name) => {
            let said = context
                .discovery
                .maintenance()
                .borrow_mut()
                .disable(&name, unix());
            match said {
                Err(_) => unknown,
                Ok(changed) => {
                    if changed {
                        tracing::info!("server {name} is out of service by staff's word");
                        context.discovery.reapply_maintenance(&name);
                        hot_restart::publish(&context.hot_restart);
                    }
                    (200, format!("{name} gets nothing new until it is enabled"))
                }
            }
        }
        Call::Enable(name) => {
            let said = context
                .discovery
                .maintenance()
                .borrow_mut()
                .enable(&name, unix());
            match said {
                Err(_) => unknown,
                Ok(changed) => {
                    if changed {
                        tracing::info!("server {name} may serve again by staff's word");
                        context.discovery.reapply_maintenance(&name);
                        hot_restart::publish(&context.hot_restart);
                    }
                    (200, format!("{name} may serve"))
                }
            }
        }
        Call::Drain => {
            context.shutdown.say(|doors| doors.drain(unix()));
            tracing::info!("draining by staff's word");
            hot_restart::publish(&context.hot_restart);
            (200, "clients are sent away".to_owned())
        }
        Call::Undrain => {
            context.shutdown.say(|doors| doors.undrain(unix()));
            tracing::info!("back to work by staff's word");
            hot_restart::publish(&context.hot_restart);
            (200, "clients are taken".to_owned())
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A server that is on discovery's first list was listed, however early staff name it; of one that is not, nothing
    /// is known until that list is there.
    #[test]
    fn a_call_that_comes_before_the_first_list_waits_for_it() {
        let console = [("\"listen\"", "\"console\": \"127.0.0.1:9\", \"listen\"")];
        crate::net::tests::with_limiter(&console, |limiter| async move {
            let call = Call::Disable("s-1".to_owned());
            let began = tokio::time::Instant::now();
            listed(limiter.admin(), &call).await;
            assert!(began.elapsed() >= limiter.limits().admin.first_list_timeout);
            assert_eq!(
                carry_out(limiter.admin(), call.clone()).0,
                503,
                "no list has come"
            );
            let told = limiter.clone();
            tokio::task::spawn_local(async move {
                sleep(told.limits().requests.deadline_margin).await;
                crate::net::discovery::tests::told(told.discovery(), "s-1");
            });
            listed(limiter.admin(), &call).await;
            assert_eq!(carry_out(limiter.admin(), call).0, 200);
            assert_eq!(
                carry_out(limiter.admin(), Call::Enable("s-2".to_owned())).0,
                404
            );
        });
    }

    fn status(text: &str) -> Option<u16> {
        read(text.as_bytes(), 8192).map(|read| read.map_or_else(|wrong| wrong.status, |_| 200))
    }

    #[test]
    fn a_call_is_whole_or_awaited_or_told_what_would_do() {
        let put = "PUT /servers/disable HTTP/1.1\r\nHost: x\r\ncontent-length: 14\r\n\r\n{\"host\":\"s-1\"}";
        assert_eq!(status(put), Some(200));
        (0..put.len()).for_each(|end| assert_eq!(status(&put[..end]), None, "cut at {end}"));
        assert_eq!(status("GET /ready HTTP/1.1\r\n\r\n"), Some(200));
        for (text, expected) in [
            ("GET /ready\r\n\r\n".to_owned(), 400),
            ("\u{1}\u{2}\r\n\r\n".to_owned(), 400),
            (put.replace("14", "many"), 400),
            (put.replace("14", "9000"), 413),
            (
                put.replace("content-length: 14", "Transfer-Encoding: chunked"),
                400,
            ),
            (format!("GET /{} ", "x".repeat(9000)), 413),
            (put.replace("{\"", "{'"), 400),
        ] {
            assert_eq!(status(&text), Some(expected), "{text}");
        }
    }
}
