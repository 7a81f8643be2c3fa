//! The addresses of a run's limiters and the links between them.

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

/// The limiters' network.
pub(crate) struct Network {
    /// The address at which each limiter receives datagrams.
    addresses: Vec<SocketAddr>,
    links: BTreeMap<LinkId, Rc<DatagramLink>>,
    traffic: Rc<Cell<LinkTraffic>>,
}

impl Network {
    /// Opens the links between all limiters that communicate: limiters that are not acceptors communicate with acceptors only.
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
                let has_voter = scenario.is_voter(from) || scenario.is_voter(to);
                if from == to || !has_voter {
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

    /// The address at which a limiter receives datagrams.
    pub(crate) fn address(&self, limiter: LimiterIndex) -> SocketAddr {
        self.addresses[limiter.as_usize()]
    }

    /// The address at which `from` reaches `to`. Limiters that never communicate have the peer's own address, since peers
    /// are numbered by their positions in the configuration.
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

    /// The links that a fault at `limiter` cuts.
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

    /// The traffic that has reached all links so far.
    pub(crate) fn traffic(&self) -> LinkTraffic {
        self.traffic.get()
    }
}

/// Whether a fault at `limiter` cuts a link.
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

/// Whether a limiter is one of the minority that begins with `first`: less than half of all, so that the others hold a
/// majority of any odd set of acceptors that they contain.
fn is_in_minority(limiter: LimiterIndex, first: LimiterIndex, limiters: usize) -> bool {
    (limiter.as_usize() + limiters - first.as_usize()) % limiters < limiters.div_ceil(2) - 1
}

/// A loopback address that only one limiter of one run uses, so that no other socket takes its port before it starts.
pub(crate) fn limiter_ip(seed: u64, limiter: LimiterIndex) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(
        127,
        128 + (seed % 64) as u8,
        (process % 250) as u8,
        1 + (limiter.0 % 250) as u8,
    )
}
