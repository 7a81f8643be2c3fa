//! Received bytes and closed connections that the kernel knows about before the runtime does.

use super::close::{close_between_requests, close_discarding, read_now, SocketState, UnreadBytes};
use super::shared_reader::SharedReader;
use super::upstream::UpstreamConnection;
use crate::net::resp::upstream::tests::process_at;
use std::future::poll_fn;
use std::io::{Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpStream as BlockingStream;
use std::pin::Pin;
use std::time::Duration;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

/// A connection on which the runtime has seen no bytes, and its other end, which the test controls.
struct ConnectedPair {
    stream: TcpStream,
    peer: BlockingStream,
}

async fn connected_pair() -> ConnectedPair {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    let peer = std::thread::spawn(move || BlockingStream::connect(address).expect("it connects"));
    let (stream, _) = listener.accept().await.expect("it is accepted");
    let peer = peer.join().expect("it has connected");
    stream.writable().await.expect("the runtime has polled it");
    assert!(stream.try_read(&mut [0]).is_err(), "nothing was received");
    ConnectedPair { stream, peer }
}

/// Waits until the kernel has bytes or the end of the stream to read on a connection, without polling the runtime.
fn wait_for_kernel(stream: &TcpStream) {
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

/// A command that arrives just before its connection is closed must not be missed. The runtime does not report it until
/// its next poll.
#[test]
fn read_now_sees_bytes_and_ends_that_the_runtime_does_not_know_of() {
    run(async {
        let ConnectedPair { stream, mut peer } = connected_pair().await;
        let mut bytes = [0; 8];
        assert_eq!(read_now(&stream, &mut bytes), SocketState::Empty);
        peer.write_all(b"PING").expect("the socket takes it");
        wait_for_kernel(&stream);
        assert_eq!(
            (read_now(&stream, &mut bytes), &bytes[..4]),
            (SocketState::Read(4), &b"PING"[..])
        );
        drop(peer);
        wait_for_kernel(&stream);
        assert_eq!(read_now(&stream, &mut bytes), SocketState::Closed);
    });
}

/// A host may close a pooled connection just before a call uses it, when the runtime has not noticed the close yet.
#[test]
fn pooled_connection_that_was_just_closed_is_not_quiet() {
    run(async {
        let ConnectedPair { stream, peer } = connected_pair().await;
        let address = stream.peer_addr().expect("an address");
        let connection = UpstreamConnection::new(stream, process_at(address));
        assert!(connection.is_quiet());
        drop(peer);
        wait_for_kernel(&connection.stream);
        assert!(!connection.is_quiet());
    });
}

/// Closing a socket with unread bytes resets the connection, which would discard the answer written before.
#[test]
fn last_answer_arrives_despite_unread_bytes() {
    run(async {
        let ConnectedPair { stream, mut peer } = connected_pair().await;
        peer.write_all(b"unread").expect("the socket takes it");
        assert_eq!(
            stream
                .try_write(b"the last answer")
                .expect("the socket takes it"),
            15
        );
        let reader = std::thread::spawn(move || {
            peer.write_all(&vec![7; 1 << 20])
                .expect("the bytes are read and discarded");
            let mut text = String::new();
            peer.read_to_string(&mut text).map(|_| text)
        });
        close_discarding(&stream, Duration::from_secs(20)).await;
        drop(stream);
        assert_eq!(
            reader.join().expect("it ends").expect("no reset"),
            "the last answer"
        );
    });
}

/// A client that sends a request while its connection closes still receives the answers before it.
#[test]
fn answers_arrive_before_the_reset_of_a_connection_with_unread_bytes() {
    run(async {
        let ConnectedPair { stream, mut peer } = connected_pair().await;
        peer.write_all(b"a request").expect("the socket takes it");
        assert_eq!(
            stream
                .try_write(b"the answer")
                .expect("the socket takes it"),
            10
        );
        let reader = std::thread::spawn(move || {
            let mut text = String::new();
            peer.read_to_string(&mut text).map(|_| text)
        });
        let unread = close_between_requests(&stream, Duration::from_secs(20)).await;
        drop(stream);
        assert_eq!(unread, UnreadBytes::Some);
        assert_eq!(
            reader.join().expect("it ends").expect("no reset"),
            "the answer"
        );
    });
}

/// A read filled all spare capacity of its buffer with zeros, so that capacity that nothing was read into became resident
/// (issue 51).
#[test]
fn read_leaves_the_rest_of_its_buffer_untouched() {
    run(async {
        let ConnectedPair { stream, mut peer } = connected_pair().await;
        peer.write_all(b"PING").expect("the socket takes it");
        let mut reader = SharedReader::new(&stream);
        let mut memory = [MaybeUninit::uninit(); 64];
        let mut buffer = ReadBuf::uninit(&mut memory);
        poll_fn(|context| Pin::new(&mut reader).poll_read(context, &mut buffer))
            .await
            .expect("bytes are received");
        assert_eq!(buffer.filled(), b"PING");
        assert_eq!(buffer.initialized().len(), buffer.filled().len());
    });
}
