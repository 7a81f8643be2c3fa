//! The links between limiters: one relay for each ordered pair that talks. It loses, repeats, delays and reorders
//! datagrams by its seed, and a cut swallows them without a word.

use crate::story::Links;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// What passed over all links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Passed {
    /// Datagrams that came to a relay, and their bytes.
    pub datagrams: u64,
    /// See `datagrams`.
    pub bytes: u64,
    /// Of these, swallowed by a cut.
    pub cut: u64,
    /// Lost by chance.
    pub lost: u64,
}

/// One relay.
pub struct Link {
    socket: UdpSocket,
    to: SocketAddr,
    /// How many cuts are in force.
    pub cuts: Cell<u32>,
    rng: RefCell<fastrand::Rng>,
    links: Links,
    passed: Rc<Cell<Passed>>,
}

impl Link {
    /// A relay to an address, at one of its own.
    ///
    /// # Errors
    /// Where loopback has none.
    pub async fn open(
        to: SocketAddr, links: Links, seed: u64, passed: Rc<Cell<Passed>>,
    ) -> std::io::Result<Rc<Link>> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let rng = RefCell::new(fastrand::Rng::with_seed(seed));
        let link = Rc::new(Link { socket, to, cuts: Cell::default(), rng, links, passed });
        tokio::task::spawn_local(link.clone().carry());
        Ok(link)
    }

    /// Where the relay listens.
    ///
    /// # Errors
    /// Where the system does not tell.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    async fn carry(self: Rc<Self>) {
        let mut bytes = [0; 2_048];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut bytes).await else { continue };
            let (lost, twice) = {
                let mut rng = self.rng.borrow_mut();
                (rng.f64() < self.links.loss, rng.f64() < self.links.twice)
            };
            let mut passed = self.passed.get();
            passed.datagrams += 1;
            passed.bytes += length as u64;
            let cut = self.cuts.get() > 0;
            passed.cut += u64::from(cut);
            passed.lost += u64::from(!cut && lost);
            self.passed.set(passed);
            if cut || lost {
                continue;
            }
            for _ in 0..=usize::from(twice) {
                let delay = self.links.delay.mul_f64(self.rng.borrow_mut().f64());
                if delay < Duration::from_millis(1) {
                    let _ = self.socket.try_send_to(&bytes[..length], self.to);
                    continue;
                }
                let (link, late) = (self.clone(), bytes[..length].to_vec());
                tokio::task::spawn_local(async move {
                    sleep(delay).await;
                    let _ = link.socket.try_send_to(&late, link.to);
                });
            }
        }
    }
}
