//! Tests of the datagrams between limiters, on loopback.

use super::*;
use std::time::Duration;
use tokio::time::timeout;

const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Two limiters on loopback with each other's addresses.
struct Pair {
    first: Peers,
    second: Peers,
}

async fn unused_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("loopback");
    socket.local_addr().expect("the socket is bound")
}

async fn pair() -> Pair {
    let addresses = vec![unused_address().await, unused_address().await];
    let key = SharedKey::new(b"shared");
    let bind = |node_id| Peers::bind(key.clone(), node_id, addresses.clone());
    Pair {
        first: bind(0).await.expect("the address is free"),
        second: bind(1).await.expect("the address is free"),
    }
}

impl Pair {
    /// Sends unsealed bytes to the second limiter.
    async fn send_raw(&self, bytes: &[u8]) {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("loopback");
        let sent = socket.send_to(bytes, self.second.addresses[1]).await;
        sent.expect("loopback takes datagrams");
    }

    async fn receive(&self) -> Datagram {
        timeout(RECEIVE_TIMEOUT, self.second.receive())
            .await
            .expect("a datagram arrives")
    }
}

fn sealed(sender: u32, sequence: u64) -> Vec<u8> {
    let envelope = Envelope {
        kind: LEASE_KIND,
        sender,
        sequence,
        payload: b"payload",
    };
    seal(&SharedKey::new(b"shared"), &envelope)
}

#[test]
fn datagram_kinds_keep_their_wire_numbers() {
    for (kind, number) in [
        (DatagramKind::Lease, 1),
        (DatagramKind::UsageExport, 2),
        (DatagramKind::Unknown(3), 3),
    ] {
        assert_eq!(kind.to_wire(), number);
        assert_eq!(DatagramKind::from_wire(number), kind);
    }
}

#[tokio::test(flavor = "current_thread")]
async fn datagram_arrives_with_kind_sender_and_payload() {
    let pair = pair().await;
    // Datagrams are lost until the runtime has learned that the new socket is writable.
    let writable = pair.first.socket.writable().await;
    writable.expect("the socket is open");
    pair.first.send(1, DatagramKind::UsageExport, b"want");
    let expected = Datagram {
        kind: DatagramKind::UsageExport,
        sender: 0,
        payload: b"want".to_vec(),
    };
    assert_eq!(pair.receive().await, expected);
}

#[tokio::test(flavor = "current_thread")]
async fn invalid_and_repeated_datagrams_are_counted_and_dropped() {
    let pair = pair().await;
    let mut unsupported = sealed(0, 1);
    unsupported[0] += 2;
    let mut forged = sealed(0, 1);
    *forged.last_mut().expect("the datagram is not empty") ^= 1;
    let unknown_sender = sealed(2, 1);
    for dropped in [b"torn".to_vec(), unsupported, forged, unknown_sender] {
        pair.send_raw(&dropped).await;
    }
    for _ in 0..2 {
        pair.send_raw(&sealed(0, 7)).await;
    }
    pair.send_raw(&sealed(0, 8)).await;
    pair.receive().await;
    pair.receive().await;
    let expected = DropCounts {
        malformed: 1,
        unsupported_version: 1,
        unauthorized: 2,
        repeated: 1,
    };
    assert_eq!(pair.second.drop_counts.get(), expected);
}
