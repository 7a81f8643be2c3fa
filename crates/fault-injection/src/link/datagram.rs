//! The links of a trial: between limiters one relay for each ordered pair that talks, which loses, repeats, delays and
//! reorders datagrams by its seed; and before the target one relay of streams for each limiter. A cut swallows what
//! passes without a word.

use crate::story::Links;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Notify;
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

/// One relay of datagrams.
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
        to: SocketAddr,
        links: Links,
        seed: u64,
        passed: Rc<Cell<Passed>>,
    ) -> std::io::Result<Rc<Link>> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let rng = RefCell::new(fastrand::Rng::with_seed(seed));
        let link = Rc::new(Link {
            socket,
            to,
            cuts: Cell::default(),
            rng,
            links,
            passed,
        });
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
            let Ok((length, _)) = self.socket.recv_from(&mut bytes).await else {
                continue;
            };
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

/// One direction of a relay of streams: while it is cut, bytes wait.
#[derive(Debug, Default)]
pub struct Gate {
    cuts: Cell<u32>,
    opened: Notify,
}

impl Gate {
    /// One cut more.
    pub fn shut(&self) {
        self.cuts.set(self.cuts.get() + 1);
    }

    /// One cut less.
    pub fn open(&self) {
        self.cuts.set(self.cuts.get().saturating_sub(1));
        self.opened.notify_waiters();
    }

    async fn pass(&self) {
        loop {
            let opened = self.opened.notified();
            if self.cuts.get() == 0 {
                return;
            }
            opened.await;
        }
    }
}

/// A relay of streams to an address. What is on its way as it is cut arrives when the cut is over, as TCP delivers it.
pub struct Stream {
    /// Towards the target: connections wait, and what they carry.
    pub there: Gate,
    /// Back from it.
    pub back: Gate,
    resets: Notify,
    at: SocketAddr,
}

impl Stream {
    /// A relay.
    ///
    /// # Errors
    /// Where loopback has no address for it.
    pub async fn open(to: SocketAddr) -> std::io::Result<Rc<Stream>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (there, back, resets) = (Gate::default(), Gate::default(), Notify::new());
        let stream = Rc::new(Stream {
            there,
            back,
            resets,
            at: listener.local_addr()?,
        });
        let relay = stream.clone();
        tokio::task::spawn_local(async move {
            loop {
                let Ok((caller, _)) = listener.accept().await else {
                    continue;
                };
                tokio::task::spawn_local(relay.clone().carry(caller, to));
            }
        });
        Ok(stream)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.at
    }

    /// Resets all that is open.
    pub fn reset(&self) {
        self.resets.notify_waiters();
    }

    async fn carry(self: Rc<Self>, mut caller: TcpStream, to: SocketAddr) {
        let reset = self.resets.notified();
        let (from, answer) = caller.split();
        let pass = async {
            self.there.pass().await;
            let Ok(mut target) = TcpStream::connect(to).await else {
                return;
            };
            let (answered, onward) = target.split();
            tokio::join!(
                carry_one(from, onward, &self.there),
                carry_one(answered, answer, &self.back)
            );
        };
        let whole = tokio::select! {
            () = pass => true,
            () = reset => false,
        };
        if !whole {
            let _ = caller.set_zero_linger();
        }
    }
}

async fn carry_one(mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, gate: &Gate) {
    let mut bytes = [0; 1_024];
    while let Ok(length @ 1..) = from.read(&mut bytes).await {
        gate.pass().await;
        if to.write_all(&bytes[..length]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::task::LocalSet;
    use tokio::time::timeout;

    /// What must not come is waited for 30 ms; all else is waited for until it comes.
    #[test]
    fn a_cut_stream_holds_what_is_on_its_way_and_a_reset_ends_it() {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
            let stream = Stream::open(listener.local_addr().expect("bound"))
                .await
                .expect("loopback");
            let mut caller = TcpStream::connect(stream.address())
                .await
                .expect("the relay accepts");
            let (mut target, _) = listener.accept().await.expect("it comes through");
            let mut heard = [0; 3];
            caller.write_all(b"one").await.expect("written");
            target.read_exact(&mut heard).await.expect("it passes");
            stream.there.shut();
            caller.write_all(b"two").await.expect("written");
            let early = timeout(Duration::from_millis(30), target.read_exact(&mut heard)).await;
            assert!(early.is_err(), "nothing passes a cut");
            stream.there.open();
            target
                .read_exact(&mut heard)
                .await
                .expect("it passes when the cut is over");
            assert_eq!(&heard, b"two");
            stream.reset();
            assert!(
                caller.read(&mut heard).await.is_err(),
                "the caller meets a reset"
            );
        });
    }
}
