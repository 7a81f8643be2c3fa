//! The connections in the queue of a listener, if `accept` fails for some of them.

use super::*;
use nix::errno::Errno;
use std::cell::Cell;
use std::collections::VecDeque;
use std::net::TcpListener;

/// Number of clients in the accept queue.
const CLIENTS: usize = 3;
const LONG: Duration = Duration::from_secs(60);

/// Accepts the queue of a real listener whose first calls of `accept` fail with `errors`; returns the number of
/// connections that were started.
async fn started_connections(errors: &[Errno], patience: Duration) -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.set_nonblocking(true).expect("the mode is set");
    let address = listener.local_addr().expect("an address");
    let connect = |_| TcpStream::connect(address).expect("the client is queued");
    let _clients: Vec<TcpStream> = (0..CLIENTS).map(connect).collect();
    let mut errors: VecDeque<Errno> = errors.iter().copied().collect();
    let accept = || match errors.pop_front() {
        Some(error) => Err(error.into()),
        None => listener.accept().map(|(stream, _)| stream),
    };
    let started = Cell::new(0);
    let limits = RetryLimits {
        pause: Duration::from_millis(1),
        deadline: Instant::now() + patience,
    };
    accept_all(accept, |_| started.set(started.get() + 1), limits).await;
    started.get()
}

/// The queue was given up at its first error, and the clients behind it were reset.
#[tokio::test(flavor = "current_thread")]
async fn failed_accept_does_not_reset_the_connections_behind_it() {
    for error in [
        Errno::ECONNABORTED,
        Errno::EINTR,
        Errno::EMFILE,
        Errno::ENFILE,
        Errno::ENOBUFS,
        Errno::ENOMEM,
    ] {
        assert_eq!(
            started_connections(&[error], LONG).await,
            CLIENTS,
            "{error}"
        );
    }
}

#[tokio::test(flavor = "current_thread")]
async fn lack_of_descriptors_past_the_deadline_ends_the_wait() {
    assert_eq!(
        started_connections(&[Errno::EMFILE], Duration::ZERO).await,
        0
    );
}
