//! What the runtime has not been told of a socket yet, forced: bytes come while its one thread does something else.

use super::close::{close_in_order, read_now, SocketState};
use super::upstream::UpstreamConnection;
use std::io::{Read, Write};
use std::net::TcpStream as Blocking;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// A connection whose other end is moved by hand, and of which the runtime has learned that nothing has come.
async fn pair() -> (TcpStream, Blocking) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    let peer = std::thread::spawn(move || Blocking::connect(address).expect("it connects"));
    let (stream, _) = listener.accept().await.expect("it comes");
    let peer = peer.join().expect("it has connected");
    stream
        .writable()
        .await
        .expect("the runtime has looked at it");
    assert!(stream.try_read(&mut [0]).is_err(), "nothing has come");
    (stream, peer)
}

/// Waits, without letting the runtime look, until something is to be read on a connection.
fn has_come(stream: &TcpStream) {
    use nix::sys::socket::{recv, MsgFlags};
    use std::os::fd::AsRawFd;
    while recv(
        stream.as_raw_fd(),
        &mut [0],
        MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT,
    )
    .is_err()
    {}
    let known = stream.try_read(&mut [0]);
    assert!(known.is_err(), "the runtime does not know of it yet");
}

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime starts").block_on(test);
}

/// A command that comes in the moment in which its connection is about to be closed is seen.
#[test]
fn a_last_look_sees_what_the_runtime_does_not_know_of() {
    run(async {
        let (stream, mut peer) = pair().await;
        let mut bytes = [0; 8];
        assert_eq!(read_now(&stream, &mut bytes), SocketState::Empty);
        peer.write_all(b"PING").expect("it is taken");
        has_come(&stream);
        assert_eq!(
            (read_now(&stream, &mut bytes), &bytes[..4]),
            (SocketState::Read(4), &b"PING"[..])
        );
        drop(peer);
        has_come(&stream);
        assert_eq!(read_now(&stream, &mut bytes), SocketState::Closed);
    });
}

/// A host that closes a pooled connection in the moment in which it is taken: nothing is written to it.
#[test]
fn a_pooled_connection_that_ended_a_moment_ago_is_not_quiet() {
    run(async {
        let (stream, peer) = pair().await;
        let address = stream.peer_addr().expect("an address");
        let link = UpstreamConnection::new(stream, address);
        assert!(link.is_quiet());
        drop(peer);
        has_come(&link.stream);
        assert!(!link.is_quiet());
    });
}

/// Bytes that come behind the end of a connection do not take along what was written before it.
#[test]
fn what_was_written_last_arrives_despite_unread_bytes() {
    run(async {
        let (stream, mut peer) = pair().await;
        peer.write_all(b"unread").expect("it is taken");
        assert_eq!(
            stream.try_write(b"the last answer").expect("it is taken"),
            15
        );
        let reader = std::thread::spawn(move || {
            peer.write_all(&[7; 1 << 20])
                .expect("it is taken, and dropped");
            let mut text = String::new();
            peer.read_to_string(&mut text).map(|_| text)
        });
        close_in_order(stream, Duration::from_secs(20)).await;
        assert_eq!(
            reader.join().expect("it ends").expect("no reset"),
            "the last answer"
        );
    });
}
