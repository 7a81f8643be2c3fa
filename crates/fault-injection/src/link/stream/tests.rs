//! Streams through a closed gate and a reset.

use super::*;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// The time for which bytes that must not arrive are awaited; all others are awaited until they arrive.
const SILENCE: Duration = Duration::from_millis(30);

#[test]
fn closed_gate_holds_bytes_back_and_a_reset_ends_the_stream() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let link = StreamLink::open(listener.local_addr().expect("bound"))
            .await
            .expect("loopback");
        let mut limiter = TcpStream::connect(link.address())
            .await
            .expect("the relay accepts");
        let (mut target, _) = listener.accept().await.expect("the relay connects");
        let mut received = [0; 3];
        limiter.write_all(b"one").await.expect("written");
        target.read_exact(&mut received).await.expect("it passes");
        let closed = link.to_target.close();
        limiter.write_all(b"two").await.expect("written");
        let early = timeout(SILENCE, target.read_exact(&mut received)).await;
        assert!(early.is_err(), "nothing passes a closed gate");
        drop(closed);
        target
            .read_exact(&mut received)
            .await
            .expect("it passes when the gate is open again");
        assert_eq!(&received, b"two");
        link.reset_connections();
        assert!(
            limiter.read(&mut received).await.is_err(),
            "the limiter observes a reset"
        );
    });
}
