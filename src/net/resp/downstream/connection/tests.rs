//! Tests of a connection whose client sends many commands at once, while other tasks share the thread.

use super::*;
use crate::net::engine::EngineDriver;
use crate::net::task::spawn;
use crate::net::tests::with_limiter;
use crate::net::Limiter;
use std::io::Write;
use std::net::{Shutdown, TcpStream as BlockingStream};
use tokio::net::TcpListener;

/// Number of requests that the client sends at once.
const REQUESTS: usize = 256;

/// Returns the commands of all requests.
fn requests() -> Vec<u8> {
    let parameters = b"c=bed-check,t=operator,d=900,units=1,spread=1,first=0";
    let mut commands = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("{number:016x}");
        let arguments = [
            b"Q.ASK",
            &b"000000000000004d"[..],
            id.as_bytes(),
            parameters,
        ];
        codec::write_command(&arguments, &mut commands);
    }
    commands
}

/// A client that has sent all requests, and the limiter's end of its connection.
struct Client {
    peer: BlockingStream,
    stream: TcpStream,
}

impl Client {
    async fn connect() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let mut peer = BlockingStream::connect(address).expect("the listener accepts");
        peer.write_all(&requests()).expect("the socket takes them");
        let (stream, _) = listener.accept().await.expect("the client is accepted");
        Client { peer, stream }
    }
}

fn downstream(limiter: &Limiter) -> Rc<Downstream> {
    let context = limiter.pipeline().frontend_context();
    Rc::new(Downstream::new(context, limiter.reloader().catalog()))
}

/// Takes turns with other tasks until all requests are open; returns the largest number that was opened in one turn.
async fn largest_turn(engine: &EngineDriver) -> usize {
    let mut largest = 0;
    let mut open = 0;
    while open < REQUESTS {
        yield_now().await;
        let open_before = std::mem::replace(&mut open, engine.open_request_count());
        largest = largest.max(open - open_before);
    }
    largest
}

/// A client that sent many commands at once delayed all others, admin requests too, until its last command was handled.
#[test]
fn connection_with_many_commands_lets_other_tasks_run_between_them() {
    with_limiter(&[], |limiter| async move {
        let downstream = downstream(&limiter);
        let Client { peer, stream } = Client::connect().await;
        spawn(async move { serve(&downstream, stream, Admission::Served).await });
        let largest = largest_turn(limiter.engine()).await;
        assert!(largest <= MAX_COMMANDS_PER_TURN, "{largest} in one turn");
        drop(peer);
    });
}

/// Between two turns the end of a connection is seen behind the commands that are not handled yet.
#[test]
fn commands_of_a_client_that_left_are_not_handled_in_later_turns() {
    with_limiter(&[], |limiter| async move {
        let downstream = downstream(&limiter);
        let Client { peer, stream } = Client::connect().await;
        peer.shutdown(Shutdown::Write).expect("its side ends");
        serve(&downstream, stream, Admission::Served).await;
        assert_eq!(limiter.engine().open_request_count(), 0);
        let mut events = 0;
        while limiter.engine().take_event().is_some() {
            events += 1;
        }
        // Each request that was opened has two events: its arrival and its abandonment.
        assert!(events <= 2 * MAX_COMMANDS_PER_TURN, "{events} events");
    });
}
