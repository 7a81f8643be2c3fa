//! A list as discovery returns it, in JSON.

use super::endpoint_names::EndpointNames;
use crate::api::{CellId, HostEntry, HostState};
use serde_json::{json, Value};
use std::net::SocketAddr;
use thiserror::Error;

#[cfg(test)]
mod tests;

const NANOS_PER_MS: u64 = 1_000_000;

/// One host as discovery lists it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Discovery's name of the host.
    pub name: String,
    /// The host as the decision engine gets it.
    pub entry: HostEntry,
    /// Where the host listens.
    pub address: SocketAddr,
}

/// A list as discovery returned it.
#[derive(Debug)]
pub struct ReceivedList {
    /// Discovery's generation of the list.
    pub version: u64,
    /// The list contains all hosts; otherwise only the hosts that changed.
    pub is_full: bool,
    /// The hosts.
    pub endpoints: Vec<Endpoint>,
}

impl ReceivedList {
    /// A full list without hosts.
    pub fn empty() -> Self {
        ReceivedList {
            version: 0,
            is_full: true,
            endpoints: Vec::new(),
        }
    }

    /// Parses a list. New names get indices.
    ///
    /// # Errors
    /// The list is malformed; the error names the key.
    pub fn parse(list: &Value, names: &mut EndpointNames) -> Result<ReceivedList, ListError> {
        let version = list.get("generation").and_then(Value::as_u64);
        let is_full = list.get("reset").and_then(Value::as_bool);
        let hosts = list.get("instances").and_then(Value::as_array);
        let version = version.ok_or(ListError::Generation)?;
        let is_full = is_full.ok_or(ListError::Reset)?;
        let hosts = hosts.ok_or(ListError::Instances)?;
        let endpoints: Result<_, _> = hosts
            .iter()
            .map(|host| Endpoint::parse(host, names))
            .collect();
        Ok(ReceivedList {
            version,
            is_full,
            endpoints: endpoints?,
        })
    }
}

impl Endpoint {
    fn parse(host: &Value, names: &mut EndpointNames) -> Result<Endpoint, ListError> {
        let address = text(host, "hostPort")?
            .parse()
            .map_err(|_| ListError::Address {
                host: host.to_string(),
            })?;
        let state = match text(host, "lifecycle")? {
            "SERVING" => HostState::Ready,
            "DELETED" => HostState::Gone,
            // A state that discovery may add one day is not serving.
            _ => HostState::Draining,
        };
        let name = text(host, "instanceId")?;
        let id = names.host_id(name);
        let zone = names.zone_id(text(host, "zone")?);
        let kind = names.machine_kind(text(host, "machineType")?);
        Ok(Endpoint {
            name: name.to_owned(),
            entry: HostEntry {
                host: id,
                state,
                cell: CellId(number(host, "cell") as u32),
                zone,
                kind,
                started: number(host, "startedAtMs").saturating_mul(NANOS_PER_MS),
                weight: host.get("weight").and_then(Value::as_f64).unwrap_or(0.0),
            },
            address,
        })
    }

    /// The endpoint in discovery's form.
    pub fn to_json(&self, names: &EndpointNames) -> Value {
        let entry = &self.entry;
        let state = match entry.state {
            HostState::Ready => "SERVING",
            HostState::Draining => "DRAINING",
            HostState::Gone => "DELETED",
        };
        json!({
            "instanceId": self.name,
            "hostPort": self.address.to_string(),
            "zone": names.zone_name(entry.zone),
            "machineType": names.machine_kind_name(entry.kind),
            "cell": entry.cell.0,
            "lifecycle": state,
            "weight": entry.weight,
            "startedAtMs": entry.started / NANOS_PER_MS,
        })
    }
}

/// Why a list is malformed.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ListError {
    /// `generation` is missing or no number.
    #[error("generation: not a number")]
    Generation,
    /// `reset` is missing or no boolean.
    #[error("reset: neither true nor false")]
    Reset,
    /// `instances` is missing or no list.
    #[error("instances: not a list")]
    Instances,
    /// A key of a host is missing or no text.
    #[error("instances: {key} is missing or not a string in {host}")]
    MissingText {
        /// The key.
        key: &'static str,
        /// The host, as JSON.
        host: String,
    },
    /// The address of a host is malformed.
    #[error("instances: hostPort is not a socket address in {host}")]
    Address {
        /// The host, as JSON.
        host: String,
    },
}

fn text<'a>(host: &'a Value, key: &'static str) -> Result<&'a str, ListError> {
    let text = host.get(key).and_then(Value::as_str);
    text.ok_or_else(|| ListError::MissingText {
        key,
        host: host.to_string(),
    })
}

/// A whole number of a host; zero where it is missing.
fn number(host: &Value, key: &str) -> u64 {
    host.get(key).and_then(Value::as_u64).unwrap_or(0)
}
