//! Tests that new connections go to the process that started to listen later.

use super::*;
use std::net::{TcpListener, TcpStream};
use tokio::net::TcpSocket;

fn listen(address: std::net::SocketAddr) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket is available");
    socket
        .set_reuseport(true)
        .and_then(|()| socket.bind(address))
        .expect("the address can be bound");
    socket
        .listen(64)
        .and_then(tokio::net::TcpListener::into_std)
        .expect("the socket listens")
}

/// Closing a listener resets the connections in its queue. After the handover no connection is queued at the first
/// listener, so that closing it loses none.
#[test]
fn redirected_connections_survive_the_close_of_the_first_listener() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    let _context = runtime.enter();
    let first = listen("127.0.0.1:0".parse().expect("a valid address"));
    let address = first.local_addr().expect("the listener has an address");
    let queued_before = TcpStream::connect(address).expect("the connection is queued");
    let second = listen(address);
    redirect_to_second(&first).expect("the kernel supports it");
    let redirected: Vec<_> = (0..50)
        .map(|_| TcpStream::connect(address).expect("the connection is queued"))
        .collect();
    drop(first);
    assert!(
        queued_before.peek(&mut [0]).is_err(),
        "a connection that was not accepted is reset"
    );
    for _ in &redirected {
        second
            .accept()
            .expect("the connection is queued at the second listener");
    }
    // With the first listener closed, the second gets all connections.
    let _late = TcpStream::connect(address).expect("the connection is queued");
    second
        .accept()
        .expect("the connection is queued at the second listener");
}
