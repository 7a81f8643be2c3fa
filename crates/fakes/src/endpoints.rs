//! Formats hosts as limiters read them: the endpoint list of discovery and the configuration file.

use crate::context::Context;
use quartzcleat_decision::api::{HostState, LimiterIndex};
use quartzcleat_invariants::HostIndex;
use quartzcleat_simulation::host::HostStatus;
use serde_json::{json, Value};

/// The seed in the configuration of limiter 0. A limiter's index is added to it.
const SEED_BASE: u64 = 0x9e37_79b9;

/// Whether an endpoint list replaces the one that a limiter has or updates it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListKind {
    /// All listed hosts; the limiter forgets the others.
    Full,
    /// Only the hosts that changed.
    Changes,
}

/// Returns the state of a host as discovery reports it now.
pub(crate) fn host_state(context: &Context, host: HostIndex) -> HostState {
    let model = &context.hosts.borrow()[host.0].model;
    match (model.status, model.draining) {
        (HostStatus::Dead, _) => HostState::Gone,
        (_, true) => HostState::Draining,
        _ => HostState::Ready,
    }
}

/// Returns an endpoint list in discovery's JSON format, with the hosts' addresses for one limiter.
pub(crate) fn endpoint_list(
    context: &Context,
    limiter: LimiterIndex,
    generation: u64,
    kind: ListKind,
    hosts: &[HostIndex],
) -> Value {
    let instances: Vec<Value> = hosts
        .iter()
        .map(|host| instance(context, limiter, *host))
        .collect();
    json!({
        "generation": generation,
        "reset": kind == ListKind::Full,
        "instances": instances,
    })
}

fn instance(context: &Context, limiter: LimiterIndex, host: HostIndex) -> Value {
    let processes = &context.scenario.processes;
    let description = &processes.hosts[host.0];
    let zone = processes.zones.get(description.zone.as_usize());
    let lifecycle = match host_state(context, host) {
        HostState::Ready => "SERVING",
        HostState::Draining => "DRAINING",
        HostState::Gone => "DELETED",
    };
    let fake = &context.hosts.borrow()[host.0];
    json!({
        "instanceId": description.name,
        "hostPort": fake.addresses[limiter.as_usize()].to_string(),
        "zone": zone.map_or("a", String::as_str),
        "machineType": "node",
        "cell": description.cell.0,
        "lifecycle": lifecycle,
        "weight": context.scenario.hosts[host.0].weight,
        "startedAtMs": fake.model.started / 1_000_000,
    })
}

/// Returns a limiter's configuration in the platform's JSON format.
pub(crate) fn limiter_config(context: &Context, limiter: LimiterIndex) -> Value {
    let scenario = &context.scenario;
    let mut settings = scenario.settings.clone();
    settings.limiters.own_index = limiter;
    settings.limiters.count = scenario.processes.limiters.len() as u32;
    settings.limiters.own_zone = scenario.processes.limiters[limiter.as_usize()].zone;
    let addresses = context.limiters.borrow()[limiter.as_usize()].addresses;
    let (listed, generation) = {
        let discovery = context.discovery.borrow();
        (discovery.listed(), discovery.generation())
    };
    json!({
        "name": scenario.processes.limiters[limiter.as_usize()].name,
        "listen": addresses.listen.to_string(),
        "discovery": addresses.discovery.to_string(),
        "counter": addresses.counter.to_string(),
        "seed": format!("{:016x}", SEED_BASE + u64::from(limiter.0)),
        "limits": { "cores": 1.0, "memory_mb": 64, "sockets": 512 },
        "known": endpoint_list(context, limiter, generation, ListKind::Full, &listed),
        "settings": quartzcleat_config::platform::encode(&settings, &scenario.processes.zones),
    })
}
