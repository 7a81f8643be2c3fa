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

/// What becomes of a connection in a queue that is closed, and that none gets there once the other is steered to.
#[test]
fn a_closed_queue_resets_what_it_holds_and_steering_keeps_it_empty() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("it starts");
    let _inside = runtime.enter();
    let first = listen("127.0.0.1:0".parse().expect("an address"));
    let at = first.local_addr().expect("it has an address");
    let waiting = TcpStream::connect(at).expect("it is queued");
    let second = listen(at);
    redirect_to_second(&first).expect("the kernel steers");
    let steered: Vec<_> = (0..50)
        .map(|_| TcpStream::connect(at).expect("it is queued"))
        .collect();
    drop(first);
    assert!(
        waiting.peek(&mut [0]).is_err(),
        "what nobody accepted is reset"
    );
    for _ in &steered {
        second.accept().expect("all of them are here");
    }
    // The first is gone: the second is the only one, and gets them all the same.
    let _late = TcpStream::connect(at).expect("it is queued");
    second.accept().expect("it is here");
}
