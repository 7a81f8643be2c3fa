//! Tests of stream relays: open, with a closed gate, and reset.

use super::*;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// How long a test waits for bytes that must not arrive. Bytes that must arrive are awaited without a limit.
const ABSENCE_TIMEOUT: Duration = Duration::from_millis(30);

/// A link and the limiter's and the target's ends of a connection through it, all on loopback.
struct Linked {
    link: Rc<StreamLink>,
    limiter: TcpStream,
    target: TcpStream,
}

impl Linked {
    async fn open() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let address = listener.local_addr().expect("bound");
        let link = StreamLink::open(address).await.expect("loopback");
        let limiter = TcpStream::connect(link.address()).await;
        let (target, _) = listener.accept().await.expect("the relay connects");
        Linked {
            link,
            limiter: limiter.expect("the relay accepts"),
            target,
        }
    }

    async fn send(&mut self, bytes: &[u8; 3]) {
        self.limiter.write_all(bytes).await.expect("written");
    }

    /// Waits for the next three bytes that reach the target.
    async fn receive(&mut self) -> [u8; 3] {
        let mut received = [0; 3];
        let read = self.target.read_exact(&mut received).await;
        read.expect("the link is open");
        received
    }
}

fn block_on(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn open_link_forwards_bytes() {
    block_on(async {
        let mut linked = Linked::open().await;
        linked.send(b"one").await;
        assert_eq!(&linked.receive().await, b"one");
    });
}

#[test]
fn closed_gate_holds_bytes_back_until_it_is_open_again() {
    block_on(async {
        let mut linked = Linked::open().await;
        linked.send(b"one").await;
        linked.receive().await;
        let link = linked.link.clone();
        let closed = link.to_target.close();
        linked.send(b"two").await;
        let early = timeout(ABSENCE_TIMEOUT, linked.receive()).await;
        assert!(early.is_err(), "nothing passes a closed gate");
        drop(closed);
        assert_eq!(&linked.receive().await, b"two");
    });
}

#[test]
fn limiter_observes_a_reset() {
    block_on(async {
        let mut linked = Linked::open().await;
        linked.send(b"one").await;
        linked.receive().await;
        linked.link.reset_connections();
        let read = linked.limiter.read(&mut [0; 3]).await;
        assert!(read.is_err());
    });
}
