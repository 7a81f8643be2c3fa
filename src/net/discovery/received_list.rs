//! The endpoint list in the JSON format of discovery.

use super::endpoint_names::EndpointNames;
use crate::api::{CellId, HostEntry, HostState};
use serde_json::{json, Value};
use std::net::SocketAddr;
use thiserror::Error;

#[cfg(test)]
mod tests;

const NANOS_PER_MS: u64 = 1_000_000;

/// A host as listed by discovery.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The name of the host (`instanceId`).
    pub name: String,
    /// The host in the form that the decision engine uses.
    pub entry: HostEntry,
    /// The address on which the host listens.
    pub address: SocketAddr,
}

/// A list as received from discovery.
#[derive(Debug)]
pub struct ReceivedList {
    /// The version that discovery assigns to the list (`generation`).
    pub version: u64,
    /// Whether the list contains all hosts (`reset`), or only those that changed.
    pub is_full: bool,
    /// The listed hosts (`instances`).
    pub endpoints: Vec<Endpoint>,
}

impl ReceivedList {
    /// Returns a full list of version 0 without hosts.
    pub fn empty() -> Self {
        ReceivedList {
            version: 0,
            is_full: true,
            endpoints: Vec::new(),
        }
    }

    /// Parses a list, and assigns ids and indices to new names.
    ///
    /// # Errors
    /// Returns an error that names the key where the list is malformed.
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
        let address = string_field(host, "hostPort")?
            .parse()
            .map_err(|_| ListError::Address {
                host: host.to_string(),
            })?;
        let state = match string_field(host, "lifecycle")? {
            "SERVING" => HostState::Ready,
            "DELETED" => HostState::Gone,
            // Includes states that this version does not know: such a host must not get requests.
            _ => HostState::Draining,
        };
        let name = string_field(host, "instanceId")?;
        let id = names.host_id(name);
        let zone = names.zone_id(string_field(host, "zone")?);
        let kind = names.machine_kind(string_field(host, "machineType")?);
        Ok(Endpoint {
            name: name.to_owned(),
            entry: HostEntry {
                host: id,
                state,
                cell: CellId(integer_field(host, "cell") as u32),
                zone,
                kind,
                started: integer_field(host, "startedAtMs").saturating_mul(NANOS_PER_MS),
                weight: host.get("weight").and_then(Value::as_f64).unwrap_or(0.0),
            },
            address,
        })
    }

    /// Returns the endpoint as JSON, in the format of discovery.
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

/// The reason why a list is malformed.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ListError {
    /// `generation` is missing or not an unsigned integer.
    #[error("generation: not a number")]
    Generation,
    /// `reset` is missing or not a boolean.
    #[error("reset: neither true nor false")]
    Reset,
    /// `instances` is missing or not an array.
    #[error("instances: not a list")]
    Instances,
    /// A key of a host is missing or not a string.
    #[error("instances: {key} is missing or not a string in {host}")]
    MissingString {
        /// The name of the key.
        key: &'static str,
        /// The host, as JSON.
        host: String,
    },
    /// `hostPort` of a host is not an IP address with a port.
    #[error("instances: hostPort is not a socket address in {host}")]
    Address {
        /// The host, as JSON.
        host: String,
    },
}

fn string_field<'a>(host: &'a Value, key: &'static str) -> Result<&'a str, ListError> {
    let value = host.get(key).and_then(Value::as_str);
    value.ok_or_else(|| ListError::MissingString {
        key,
        host: host.to_string(),
    })
}

/// Returns an integer of a host; zero where `key` is missing or not an unsigned integer.
fn integer_field(host: &Value, key: &str) -> u64 {
    host.get(key).and_then(Value::as_u64).unwrap_or(0)
}
