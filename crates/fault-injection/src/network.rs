//! The addresses of a run's limiters and the links between them.

use crate::link::{DatagramLink, LinkTraffic};
use crate::scenario::{FaultKind, Scenario};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::rc::Rc;

/// A link from one limiter to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LinkId {
    pub(crate) from: usize,
    pub(crate) to: usize,
}

/// The limiters' network.
pub(crate) struct Network {
    /// The address at which each limiter receives datagrams.
    pub(crate) addresses: Vec<SocketAddr>,
    links: BTreeMap<LinkId, Rc<DatagramLink>>,
    traffic: Rc<Cell<LinkTraffic>>,
}

impl Network {
    /// Opens the links between all limiters that communicate: limiters that do not vote communicate with voters only.
    pub(crate) async fn open(scenario: &Scenario, seed: u64) -> std::io::Result<Network> {
        let traffic = Rc::new(Cell::new(LinkTraffic::default()));
        let mut addresses = Vec::new();
        for limiter in 0..scenario.limiters {
            let socket = UdpSocket::bind((limiter_ip(seed, limiter), 0))?;
            addresses.push(socket.local_addr()?);
        }
        let mut links = BTreeMap::new();
        for from in 0..scenario.limiters {
            for (to, address) in addresses.iter().enumerate() {
                if from == to || (from >= scenario.voters && to >= scenario.voters) {
                    continue;
                }
                let number = (from * scenario.limiters + to) as u64;
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

    /// The address at which `from` reaches `to`. Limiters that never communicate have the peer's own address, since peers
    /// are numbered by their positions in the configuration.
    pub(crate) fn peer_address(&self, from: usize, to: usize) -> std::io::Result<SocketAddr> {
        match self.links.get(&LinkId { from, to }) {
            Some(link) => link.address(),
            None => Ok(self.addresses[to]),
        }
    }

    /// The links that a fault at `limiter` cuts.
    pub(crate) fn links_cut_by(&self, kind: FaultKind, limiter: usize) -> Vec<Rc<DatagramLink>> {
        let limiters = self.addresses.len();
        self.links
            .iter()
            .filter(|(link, _)| is_cut(**link, kind, limiter, limiters))
            .map(|(_, link)| link.clone())
            .collect()
    }

    /// What has reached all links so far.
    pub(crate) fn traffic(&self) -> LinkTraffic {
        self.traffic.get()
    }
}

/// Whether a fault at `limiter` cuts a link.
fn is_cut(link: LinkId, kind: FaultKind, limiter: usize, limiters: usize) -> bool {
    match kind {
        FaultKind::Isolate => link.from == limiter || link.to == limiter,
        FaultKind::DropOutbound => link.from == limiter,
        FaultKind::DropInbound => link.to == limiter,
        FaultKind::Partition => {
            let in_minority = |other: usize| is_in_minority(other, limiter, limiters);
            in_minority(link.from) != in_minority(link.to)
        }
        _ => false,
    }
}

/// Whether a limiter is one of the minority that begins with `first`: less than half of all, so that the others hold a
/// majority of any odd set of voters that they contain.
fn is_in_minority(limiter: usize, first: usize, limiters: usize) -> bool {
    (limiter + limiters - first) % limiters < limiters.div_ceil(2) - 1
}

/// A loopback address that only one limiter of one run uses, so that no other socket takes its port before it starts.
pub(crate) fn limiter_ip(seed: u64, limiter: usize) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(
        127,
        128 + (seed % 64) as u8,
        (process % 250) as u8,
        1 + (limiter % 250) as u8,
    )
}
