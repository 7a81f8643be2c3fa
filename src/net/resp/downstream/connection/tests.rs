//! Tests of a connection whose client sends many commands at once, while other tasks share the thread.

use super::commands::PONG;
use super::*;
use crate::api::{Event, HostEntry, HostId, HostState, Outcome, RequestId};
use crate::net::engine::tests::attempt_order;
use crate::net::engine::{Answer, EngineDriver};
use crate::net::memory::Owner;
use crate::net::resp::codec;
use crate::net::resp::upstream::tests::process_at;
use crate::net::resp::upstream::UpstreamConnection;
use crate::net::stages::{attempt, complete};
use crate::net::task::spawn;
use crate::net::tests::with_limiter;
use crate::net::Limiter;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream as BlockingStream};
use tokio::net::TcpListener;
use tokio::time::Instant;

mod streamed_values;

/// Number of requests that the client sends at once.
const REQUESTS: usize = 256;

/// Returns the commands of so many requests, whose ids begin at 0.
fn requests(count: usize) -> Vec<u8> {
    let parameters = b"c=bed-check,t=operator,d=900,units=1,spread=1,first=0";
    let mut commands = Vec::new();
    for number in 0..count {
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
        let mut client = Client::connect_idle().await;
        let written = client.peer.write_all(&requests(REQUESTS));
        written.expect("the socket takes them");
        client
    }

    /// Connects a client that has sent nothing yet.
    async fn connect_idle() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let peer = BlockingStream::connect(address).expect("the listener accepts");
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

/// What a client does after its request was opened, and before the attempt for it is written.
type Leave = fn(BlockingStream);

const LEAVES: [Leave; 2] = [
    |peer| drop(peer),
    |mut peer| {
        // The client's end is behind bytes that the limiter has not read.
        peer.write_all(b"*1").expect("the socket takes them");
        drop(peer);
    },
];

/// Runs an attempt on an open connection to a host right after its client has left, before any other task runs. Returns
/// the attempt's outcome and the number of bytes that the host received.
async fn attempt_after_leave(limiter: &Rc<Limiter>, leave: Leave) -> (Outcome, usize) {
    let Client { mut peer, stream } = Client::connect_idle().await;
    let downstream = downstream(limiter);
    peer.write_all(&requests(1)).expect("the socket takes it");
    spawn(async move { serve(&downstream, stream, Admission::Served).await });
    while limiter.engine().open_request_count() == 0 {
        yield_now().await;
    }
    let Client { peer: host, stream } = Client::connect_idle().await;
    let address = stream.peer_addr().expect("the host has an address");
    let entry = HostEntry {
        host: HostId(5),
        state: HostState::Ready,
        ..HostEntry::default()
    };
    limiter.upstream().update_host(&entry, address);
    let order = attempt_order(0, entry.host);
    let call = limiter.engine().begin_attempt(order).expect("it is open");
    let mut connection = UpstreamConnection::new(stream, process_at(address));
    leave(peer);
    let attempt = attempt::run(limiter.pipeline(), &mut connection, &call).await;
    drop(connection);
    let mut host = host;
    let mut received = Vec::new();
    host.read_to_end(&mut received)
        .expect("the limiter ends it");
    (attempt.result.outcome, received.len())
}

/// A process that was held up wrote attempts for clients that had left in the meantime (issue 47).
#[test]
fn attempt_is_not_written_for_a_client_that_left_unnoticed() {
    for leave in LEAVES {
        with_limiter(&[], move |limiter| async move {
            let (outcome, received_bytes) = attempt_after_leave(&limiter, leave).await;
            assert_eq!((outcome, received_bytes), (Outcome::Cancelled, 0));
            assert!(!limiter.engine().has_client(RequestId(0)));
        });
    }
}

/// Returns a request with a body of 64 KiB.
fn long_request() -> Vec<u8> {
    let arguments = [
        &b"Q.DO"[..],
        b"000000000000004d",
        b"0000000000000001",
        b"c=bed-hold,t=operator,d=4000,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0",
        &vec![b'b'; 64 << 10],
    ];
    let mut command = Vec::new();
    codec::write_command(&arguments, &mut command);
    command
}

/// Writes a long request from another thread, since the socket may not take all of it, and ends the connection.
fn write_and_leave(mut peer: BlockingStream) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        // The limiter may close the connection first.
        let _ = peer.write_all(&long_request());
    })
}

/// While a long command waits for memory, nothing of it is read but its first bytes, and the leaving of its client is
/// noticed. No request is opened for it.
#[test]
fn client_that_leaves_while_its_command_waits_for_memory_is_noticed() {
    with_limiter(&[], |limiter| async move {
        let downstream = downstream(&limiter);
        let memory = limiter.pipeline().memory();
        let holder = memory.hold(Owner::Responses, memory.capacity());
        let Client { peer, stream } = Client::connect_idle().await;
        let writer = write_and_leave(peer);
        serve(&downstream, stream, Admission::Served).await;
        writer.join().expect("it ends");
        assert_eq!(memory.waiting(), 0, "the reservation is withdrawn");
        drop(holder);
        assert_eq!(memory.total(), 0);
        assert!(limiter.engine().take_event().is_none(), "no request came");
    });
}

/// A long command that waits for memory is read to its end once the memory is free, and takes its memory along. Its
/// client may have written it before the wait, which its request's time is shortened by.
#[test]
fn command_that_waited_for_memory_becomes_a_request() {
    with_limiter(&[], |limiter| async move {
        let downstream = downstream(&limiter);
        let memory = limiter.pipeline().memory().clone();
        let holder = memory.hold(Owner::Responses, memory.capacity());
        let Client { mut peer, stream } = Client::connect_idle().await;
        let command = long_request();
        let written = std::thread::spawn(move || peer.write_all(&command).map(|()| peer));
        spawn(async move { serve(&downstream, stream, Admission::Served).await });
        while memory.waiting() == 0 {
            yield_now().await;
        }
        assert_eq!(limiter.engine().open_request_count(), 0);
        let began = Instant::now();
        while began.elapsed() < Duration::from_millis(20) {
            yield_now().await;
        }
        let waited = began.elapsed();
        drop(holder);
        while limiter.engine().open_request_count() == 0 {
            yield_now().await;
        }
        let event = limiter.engine().take_event();
        let Some(Event::Request { budget, .. }) = event else {
            panic!("{event:?}");
        };
        let client_wait = Duration::from_secs(4);
        assert!(Duration::from_nanos(budget) + waited <= client_wait);
        let _peer = written.join().expect("it ends").expect("it is read");
        assert_eq!(memory.reserved(Owner::Commands), 0);
        let reserved = memory.reserved(Owner::Requests);
        let expected = limiter.limits().memory.request_bytes + long_request().len();
        assert_eq!(reserved, expected);
    });
}

/// Commands were left unhandled when their client had left many responses unread and then took them all: the connection
/// waited for further bytes, and was closed with these commands unanswered.
#[test]
fn commands_are_handled_once_the_client_has_taken_its_responses() {
    const VALUE_BYTES: usize = 1 << 20;
    const REQUESTS: usize = MAX_COMMANDS_PER_TURN / 2;
    // The last two come in the turn after the one in which the values fill the output.
    const PINGS: usize = 2 * MAX_COMMANDS_PER_TURN - REQUESTS + 2;
    with_limiter(&[], |limiter| async move {
        let downstream = downstream(&limiter);
        let Client { mut peer, stream } = Client::connect_idle().await;
        let mut commands = requests(REQUESTS);
        for _ in 0..PINGS {
            codec::write_command(&[b"PING"], &mut commands);
        }
        // One read takes all commands, so that no later one wakes the connection.
        assert!(commands.len() <= limiter.limits().codec.read_chunk_bytes);
        peer.write_all(&commands).expect("the socket takes them");
        spawn(async move { serve(&downstream, stream, Admission::Served).await });
        while limiter.engine().open_request_count() < REQUESTS {
            yield_now().await;
        }
        for id in limiter.engine().open_request_ids() {
            let value = vec![b'v'; VALUE_BYTES];
            complete::answer(limiter.pipeline(), id, Answer::Served(value.into()));
        }
        let value_bytes = format!("${VALUE_BYTES}\r\n").len() + VALUE_BYTES + 2;
        let expected = REQUESTS * value_bytes + PINGS * PONG.len();
        let received = tokio::task::spawn_blocking(move || {
            let mut received = vec![0; expected];
            peer.read_exact(&mut received).map(|()| received)
        });
        let received = received.await.expect("it ends");
        let received = received.expect("all commands are answered");
        assert!(received.ends_with(PONG));
    });
}

/// A long argument in the middle of a command leaves the command's end unknown, wherever the received bytes end.
#[test]
fn command_with_a_long_middle_argument_is_received_byte_by_byte() {
    with_limiter(&[], |limiter| async move {
        let downstream = downstream(&limiter);
        let parameters = "c=bed-check,t=operator,d=900,units=1,spread=1,first=0,unknown=";
        let parameters = format!("{parameters}{}", "x".repeat(5_000));
        let arguments = [
            &b"Q.ASK"[..],
            b"000000000000004d",
            b"0000000000000001",
            parameters.as_bytes(),
            &[b'b'; 10_000],
        ];
        let mut command = Vec::new();
        codec::write_command(&arguments, &mut command);
        let Client { mut peer, stream } = Client::connect_idle().await;
        peer.set_nodelay(true).expect("a socket option");
        spawn(async move { serve(&downstream, stream, Admission::Served).await });
        for byte in command.chunks(1) {
            peer.write_all(byte).expect("the socket takes it");
            yield_now().await;
        }
        while limiter.engine().open_request_count() == 0 {
            yield_now().await;
        }
        // A further command on the same connection begins where this one ends.
        peer.write_all(b"*1\r\n$4\r\nNOPE\r\n").expect("it is open");
        complete::answer(limiter.pipeline(), RequestId(1), Answer::Failed);
        let answers = tokio::task::spawn_blocking(move || {
            let expected = "-ERR failed\r\n-ERR unknown command\r\n";
            let mut answers = vec![0; expected.len()];
            peer.read_exact(&mut answers).map(|()| answers)
        });
        let answers = answers.await.expect("it ends").expect("two answers");
        assert!(answers.starts_with(b"-ERR failed\r\n-ERR "), "{answers:?}");
    });
}
