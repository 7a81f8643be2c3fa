//! Tests of long values before other commands of their client.

use super::*;
use crate::api::HostId;
use crate::net::engine::tests::{attempt_order, request};
use crate::net::engine::{Answer, Frontend, ReplyTo};
use crate::net::resp::upstream::tests::process_at;
use crate::net::stages::attempt;
use crate::net::tests::{listening_host, with_limiter};
use crate::net::Limiter;
use std::cell::RefCell;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, yield_now};
use tokio::time::Instant;

const HOST: HostId = HostId(5);
const VALUE_BYTES: usize = 100_000;
/// What a host sends of an answer before it pauses or breaks off.
const HALF: usize = VALUE_BYTES / 2;

/// A frontend behind whose requests further commands wait.
#[derive(Default)]
struct PipeliningFrontend(RefCell<Vec<Answer>>);

impl Frontend for PipeliningFrontend {
    fn answer(&self, _sequence: u64, answer: Answer) {
        self.0.borrow_mut().push(answer);
    }

    fn has_commands_behind(&self, _sequence: u64) -> bool {
        true
    }
}

/// A call whose command is not sent yet.
struct OpenCall {
    frontend: Rc<PipeliningFrontend>,
    connection: UpstreamConnection,
    call: HostCall,
    host: TcpStream,
}

async fn open_call(limiter: &Limiter, wait: Duration) -> OpenCall {
    let listener = listening_host(limiter, HOST).await;
    let address = listener.local_addr().expect("a local address");
    let frontend = Rc::new(PipeliningFrontend::default());
    let reply_to = ReplyTo {
        frontend: frontend.clone(),
        sequence: 0,
    };
    let now = Instant::now();
    let mut request = request(1);
    request.wait = wait;
    let requests = limiter.engine().requests();
    requests.borrow_mut().open(reply_to, &mut request, now);
    let begun = requests
        .borrow_mut()
        .begin_attempt(attempt_order(1, HOST), now);
    let connected = tokio::try_join!(TcpStream::connect(address), listener.accept());
    let (stream, (host, _)) = connected.expect("the connection is established");
    OpenCall {
        frontend,
        connection: UpstreamConnection::new(stream, process_at(address)),
        call: begun.expect("within the limit on attempts"),
        host,
    }
}

fn long_answer() -> Vec<u8> {
    let mut answer = format!("*3\r\n${VALUE_BYTES}\r\n").into_bytes();
    answer.resize(answer.len() + VALUE_BYTES, b'v');
    answer.extend_from_slice(b"\r\n$-1\r\n$-1\r\n");
    answer
}

/// A value that a host cut off before other commands ended the client's connection (incident requests-behind-a-cut-value).
#[test]
fn cut_value_before_other_commands_is_not_begun() {
    with_limiter(&[], |limiter| async move {
        let mut open = open_call(&limiter, Duration::from_secs(9)).await;
        let sent = open.host.write_all(&long_answer()[..HALF]).await;
        sent.expect("half is sent");
        drop(open.host);
        let end = attempt::run(limiter.pipeline(), &mut open.connection, &open.call).await;
        assert_eq!(end.result.outcome, Outcome::Reset);
        assert_eq!(*open.frontend.0.borrow(), [], "the engine may retry");
        let reserved = limiter.pipeline().memory();
        assert_eq!(reserved.reserved(Owner::StreamedValues), 0);
    });
}

/// A value is held no longer than its client waits for its first bytes, and without spare memory not at all.
#[test]
fn slow_value_before_other_commands_is_streamed() {
    for is_memory_short in [false, true] {
        with_limiter(&[], move |limiter| async move {
            let memory = limiter.pipeline().memory();
            let held_bytes = if is_memory_short {
                memory.spare_capacity()
            } else {
                0
            };
            let _holder = memory.hold(Owner::Responses, held_bytes);
            let mut open = open_call(&limiter, Duration::from_millis(300)).await;
            let answer = long_answer();
            let sent = open.host.write_all(&answer[..HALF]).await;
            sent.expect("half is sent");
            let call_limiter = limiter.clone();
            let deadline = open.call.deadline;
            spawn_local(async move {
                let mut connection = open.connection;
                attempt::run(call_limiter.pipeline(), &mut connection, &open.call).await
            });
            while open.frontend.0.borrow().is_empty() {
                yield_now().await;
            }
            assert!(Instant::now() < deadline);
            let answers = open.frontend.0.borrow();
            assert!(matches!(answers[..], [Answer::Streaming(_)]));
        });
    }
}
