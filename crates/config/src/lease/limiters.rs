//! Parsing of the limiters' addresses.

use super::LeaseConfigError;
use crate::reader::text;
use crate::tree::{Content, Entry, Node};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of limiters. Further entries are ignored.
const MAX_LIMITERS: usize = 1024;

pub(super) fn read_address(node: &Node) -> Result<SocketAddr, LeaseConfigError> {
    let text = text(node)?;
    text.parse()
        .map_err(|_| LeaseConfigError::InvalidAddress { text })
}

pub(super) fn read_limiters(node: &Node) -> Result<BTreeMap<String, SocketAddr>, LeaseConfigError> {
    let Content::Map(members) = &node.content else {
        return Err(LeaseConfigError::LimitersNotAMap);
    };
    let mut limiters = BTreeMap::new();
    for Entry { key, place, value } in members.iter().take(MAX_LIMITERS) {
        let address = read_unused_address(value, &limiters).map_err(|source| {
            LeaseConfigError::InvalidLimiter {
                limiter: key.clone(),
                line: place.line,
                source: Box::new(source),
            }
        })?;
        limiters.insert(key.clone(), address);
    }
    Ok(limiters)
}

fn read_unused_address(
    node: &Node,
    limiters: &BTreeMap<String, SocketAddr>,
) -> Result<SocketAddr, LeaseConfigError> {
    let address = read_address(node)?;
    if limiters.values().any(|other| *other == address) {
        return Err(LeaseConfigError::DuplicateAddress { address });
    }
    Ok(address)
}
