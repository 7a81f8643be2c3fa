//! A relay of datagrams that loses, duplicates, delays and reorders them by its seed.

use crate::scenario::LinkFaults;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Longer datagrams are cut off; the limiters send none.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Shorter delays than the timer's resolution are left out.
const MIN_DELAY: Duration = Duration::from_millis(1);

/// Datagrams that have reached the links of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkTraffic {
    /// Datagrams that reached a link.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Of the datagrams, those dropped by a cut.
    pub cut: u64,
    /// Of the datagrams, those lost at random.
    pub lost: u64,
}

/// A relay of datagrams to one limiter.
pub struct DatagramLink {
    socket: UdpSocket,
    destination: SocketAddr,
    /// The cuts in force.
    cuts: Cell<u32>,
    rng: RefCell<fastrand::Rng>,
    faults: LinkFaults,
    traffic: Rc<Cell<LinkTraffic>>,
}

/// Cuts a link until it is dropped.
pub struct DatagramCut(Rc<DatagramLink>);

impl Drop for DatagramCut {
    fn drop(&mut self) {
        self.0.cuts.set(self.0.cuts.get() - 1);
    }
}

impl DatagramLink {
    /// Opens a relay to `destination` at an address of its own and starts its task.
    ///
    /// # Errors
    /// Fails where loopback has no free address.
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

    /// The address at which the relay listens.
    ///
    /// # Errors
    /// Fails where the system does not report it.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Cuts the link; it is restored when all its cuts are dropped.
    #[must_use]
    pub fn cut(self: &Rc<Self>) -> DatagramCut {
        self.cuts.set(self.cuts.get() + 1);
        DatagramCut(self.clone())
    }

    async fn relay(self: Rc<Self>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            // A destination that is down is reported as an error of the socket; later datagrams may arrive.
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            self.handle(&buffer[..length]);
        }
    }

    fn handle(self: &Rc<Self>, datagram: &[u8]) {
        let is_lost = self.has_chance(self.faults.loss);
        let is_duplicated = self.has_chance(self.faults.duplication);
        let is_cut = self.cuts.get() > 0;
        self.count(datagram, is_cut, is_lost);
        if is_cut || is_lost {
            return;
        }
        for _ in 0..=usize::from(is_duplicated) {
            self.forward(datagram);
        }
    }

    fn has_chance(&self, share: f64) -> bool {
        self.rng.borrow_mut().f64() < share
    }

    fn count(&self, datagram: &[u8], is_cut: bool, is_lost: bool) {
        let mut traffic = self.traffic.get();
        traffic.datagrams += 1;
        traffic.bytes += datagram.len() as u64;
        traffic.cut += u64::from(is_cut);
        traffic.lost += u64::from(!is_cut && is_lost);
        self.traffic.set(traffic);
    }

    /// Sends one copy after a random delay.
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
        // A datagram may be lost; the limiters repeat what they need.
        let _ = self.socket.try_send_to(datagram, self.destination);
    }
}
