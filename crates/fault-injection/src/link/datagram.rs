//! A datagram relay that loses, duplicates, delays and reorders datagrams as its random seed determines.

use crate::scenario::LinkFaults;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// The size of the receive buffer. Longer datagrams would be truncated; limiters send none.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// The resolution of the timer. Datagrams with a shorter delay are sent at once.
const MIN_DELAY: Duration = Duration::from_millis(1);

/// The traffic that has reached the links of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkTraffic {
    /// The number of datagrams that reached a link.
    pub datagrams: u64,
    /// Their total size in bytes, without headers.
    pub bytes: u64,
    /// The number of datagrams that were dropped because their link was cut.
    pub cut: u64,
    /// The number of datagrams that were lost at random on links that were not cut.
    pub lost: u64,
}

/// A relay of the datagrams from one limiter to another.
pub struct DatagramLink {
    socket: UdpSocket,
    destination: SocketAddr,
    /// The number of cuts in force. The link forwards only while it is zero.
    cuts: Cell<u32>,
    rng: RefCell<fastrand::Rng>,
    faults: LinkFaults,
    traffic: Rc<Cell<LinkTraffic>>,
}

/// A cut of a link, in force until this value is dropped.
pub struct DatagramCut(Rc<DatagramLink>);

impl Drop for DatagramCut {
    fn drop(&mut self) {
        self.0.cuts.set(self.0.cuts.get() - 1);
    }
}

impl DatagramLink {
    /// Opens a relay to `destination` on its own loopback address and starts its task.
    ///
    /// # Errors
    /// Returns an error if no loopback address can be bound.
    pub async fn open(
        destination: SocketAddr,
        faults: LinkFaults,
        seed: u64,
        traffic: Rc<Cell<LinkTraffic>>,
    ) -> std::io::Result<Rc<DatagramLink>> {
        let link = Rc::new(DatagramLink {
            socket: UdpSocket::bind("127.0.0.1:0").await?,
            destination,
            cuts: Cell::default(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            faults,
            traffic,
        });
        tokio::task::spawn_local(link.clone().relay());
        Ok(link)
    }

    /// Returns the address at which the relay listens.
    ///
    /// # Errors
    /// Returns an error if the system does not report the address.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Cuts the link. It forwards again when all its cuts are dropped.
    #[must_use]
    pub fn cut(self: &Rc<Self>) -> DatagramCut {
        self.cuts.set(self.cuts.get() + 1);
        DatagramCut(self.clone())
    }

    async fn relay(self: Rc<Self>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            // The socket reports an error if the destination is down; later datagrams may still arrive.
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            self.handle(&buffer[..length]);
        }
    }

    fn handle(self: &Rc<Self>, datagram: &[u8]) {
        let is_lost = self.random_bool(self.faults.loss);
        let is_duplicated = self.random_bool(self.faults.duplication);
        let is_cut = self.cuts.get() > 0;
        self.count(datagram, is_cut, is_lost);
        if is_cut || is_lost {
            return;
        }
        for _ in 0..=usize::from(is_duplicated) {
            self.forward(datagram);
        }
    }

    /// Returns `true` with the given probability.
    fn random_bool(&self, probability: f64) -> bool {
        self.rng.borrow_mut().f64() < probability
    }

    fn count(&self, datagram: &[u8], is_cut: bool, is_lost: bool) {
        let mut traffic = self.traffic.get();
        traffic.datagrams += 1;
        traffic.bytes += datagram.len() as u64;
        traffic.cut += u64::from(is_cut);
        traffic.lost += u64::from(!is_cut && is_lost);
        self.traffic.set(traffic);
    }

    /// Sends one copy of a datagram after a random delay.
    fn forward(self: &Rc<Self>, datagram: &[u8]) {
        let delay = self.faults.max_delay.mul_f64(self.rng.borrow_mut().f64());
        if delay < MIN_DELAY {
            self.send(datagram);
            return;
        }
        let link = self.clone();
        let datagram = datagram.to_vec();
        tokio::task::spawn_local(async move {
            sleep(delay).await;
            link.send(&datagram);
        });
    }

    fn send(&self, datagram: &[u8]) {
        // A failure is the same as a lost datagram, which the limiters send again if they need to.
        let _ = self.socket.try_send_to(datagram, self.destination);
    }
}
