//! New connections go to the process that started to listen later.

use super::*;
use std::net::{TcpListener, TcpStream};
use tokio::net::TcpSocket;

fn listen(at: std::net::SocketAddr) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_reuseport(true)
        .and_then(|()| socket.bind(at))
        .expect("it is bound");
    socket
        .listen(64)
        .and_then(tokio::net::TcpListener::into_std)
        .expect("it listens")
}

/// A closed queue resets the connections in it; after the handover no connection is queued at the first process.
#[test]
fn redirected_connections_survive_the_close_of_the_first_listener() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("it starts");
    let _inside = runtime.enter();
    let first = listen("127.0.0.1:0".parse().expect("an address"));
    let at = first.local_addr().expect("it has an address");
    let waiting = TcpStream::connect(at).expect("it is queued");
    let second = listen(at);
    redirect_to_second(&first).expect("the kernel supports it");
    let redirected: Vec<_> = (0..50)
        .map(|_| TcpStream::connect(at).expect("it is queued"))
        .collect();
    drop(first);
    assert!(
        waiting.peek(&mut [0]).is_err(),
        "a connection that was not accepted is reset"
    );
    for _ in &redirected {
        second.accept().expect("all of them are queued here");
    }
    // With the first listener closed, the second gets all connections.
    let _late = TcpStream::connect(at).expect("it is queued");
    second.accept().expect("it is queued here");
}
