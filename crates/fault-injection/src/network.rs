//! The network of a run: the addresses of its limiters and the links between them.

use crate::link::{DatagramLink, LinkTraffic};
use crate::scenario::{FaultKind, Scenario};
use quartzcleat_decision::api::LimiterIndex;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::rc::Rc;

/// A link from one limiter to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LinkId {
    pub(crate) from: LimiterIndex,
    pub(crate) to: LimiterIndex,
}

/// The addresses of the limiters and the links between them.
pub(crate) struct Network {
    /// The address at which each limiter receives datagrams, by limiter index.
    addresses: Vec<SocketAddr>,
    links: BTreeMap<LinkId, Rc<DatagramLink>>,
    traffic: Rc<Cell<LinkTraffic>>,
}

impl Network {
    /// Opens the links between all limiters that communicate. Limiters that are not acceptors communicate only with
    /// acceptors.
    pub(crate) async fn open(scenario: &Scenario, seed: u64) -> std::io::Result<Network> {
        let traffic = Rc::new(Cell::new(LinkTraffic::default()));
        let mut addresses = Vec::new();
        for limiter in scenario.limiter_indices() {
            let socket = UdpSocket::bind((limiter_ip(seed, limiter), 0))?;
            addresses.push(socket.local_addr()?);
        }
        let mut links = BTreeMap::new();
        for from in scenario.limiter_indices() {
            for (to, address) in scenario.limiter_indices().zip(&addresses) {
                let has_acceptor = scenario.is_acceptor(from) || scenario.is_acceptor(to);
                if from == to || !has_acceptor {
                    continue;
                }
                let number = (from.as_usize() * scenario.limiters + to.as_usize()) as u64;
                let link_seed = seed ^ (number << 32);
                let link = DatagramLink::open(*address, scenario.links, link_seed, traffic.clone())
                    .await?;
                links.insert(LinkId { from, to }, link);
            }
        }
        Ok(Network {
            addresses,
            links,
            traffic,
        })
    }

    /// Returns the address at which a limiter receives datagrams.
    pub(crate) fn address(&self, limiter: LimiterIndex) -> SocketAddr {
        self.addresses[limiter.as_usize()]
    }

    /// Returns the address at which `from` reaches `to`: that of the link, or the peer's own address if the two never
    /// communicate. Such a peer needs an address too, since peers are numbered by their positions in the configuration.
    pub(crate) fn peer_address(
        &self,
        from: LimiterIndex,
        to: LimiterIndex,
    ) -> std::io::Result<SocketAddr> {
        match self.links.get(&LinkId { from, to }) {
            Some(link) => link.address(),
            None => Ok(self.address(to)),
        }
    }

    /// Returns the links that a fault at `limiter` cuts.
    pub(crate) fn links_cut_by(
        &self,
        kind: FaultKind,
        limiter: LimiterIndex,
    ) -> Vec<Rc<DatagramLink>> {
        let limiters = self.addresses.len();
        self.links
            .iter()
            .filter(|(link, _)| is_cut(**link, kind, limiter, limiters))
            .map(|(_, link)| link.clone())
            .collect()
    }

    /// Returns the traffic that has reached the links so far.
    pub(crate) fn traffic(&self) -> LinkTraffic {
        self.traffic.get()
    }
}

/// Returns whether a fault at `limiter` cuts a link.
fn is_cut(link: LinkId, kind: FaultKind, limiter: LimiterIndex, limiters: usize) -> bool {
    match kind {
        FaultKind::Isolate => link.from == limiter || link.to == limiter,
        FaultKind::DropOutbound => link.from == limiter,
        FaultKind::DropInbound => link.to == limiter,
        FaultKind::Partition => {
            let in_minority = |other: LimiterIndex| is_in_minority(other, limiter, limiters);
            in_minority(link.from) != in_minority(link.to)
        }
        _ => false,
    }
}

/// Returns whether a limiter belongs to the minority that begins with `first`. The minority is less than half of all
/// limiters, so that the others hold a majority of any odd set of acceptors that they contain.
fn is_in_minority(limiter: LimiterIndex, first: LimiterIndex, limiters: usize) -> bool {
    (limiter.as_usize() + limiters - first.as_usize()) % limiters < limiters.div_ceil(2) - 1
}

/// Returns a loopback address for one limiter of one run. No other limiter uses it, so that no other socket takes the
/// limiter's port before it starts.
pub(crate) fn limiter_ip(seed: u64, limiter: LimiterIndex) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(
        127,
        128 + (seed % 64) as u8,
        (process % 250) as u8,
        1 + (limiter.0 % 250) as u8,
    )
}
