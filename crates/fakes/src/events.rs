//! Applies the scenario's events to clients, hosts, counter, discovery and limiters.

use crate::client;
use crate::context::Context;
use crate::endpoints::host_state;
use crate::server::host;
use crate::task::spawn;
use quartzcleat_decision::api::{HostState, LimiterIndex};
use quartzcleat_invariants::{Fact, HostIndex};
use quartzcleat_simulation::host::HostStatus;
use quartzcleat_simulation::oracle::ChoicePoint;
use quartzcleat_simulation::scenario::{ClientRequest, ScenarioEvent};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// A host's speed stays above zero, so that its work ends.
const MIN_HOST_SPEED: f64 = 1e-3;
/// The sockets of an ended process are closed after this time.
const SOCKET_CLOSE_TIME: Duration = Duration::from_millis(1);

/// Applies an event. The start of a limiter is the harness's own.
pub(crate) async fn apply(context: &Rc<Context>, event: ScenarioEvent) {
    let host_name = |host: HostIndex| context.scenario.processes.host(host);
    match event {
        ScenarioEvent::Request(request) => start_client(context, request),
        ScenarioEvent::DrainHost(host) => {
            context.remark(format!("{} begins to drain", host_name(host)));
            context.hosts.borrow_mut()[host.0].model.draining = true;
            announce_change(context, host);
        }
        ScenarioEvent::KillHost(host) => {
            context.remark(format!("{}'s process dies", host_name(host)));
            context.end_host(host, HostStatus::Dead);
            announce_change(context, host);
        }
        ScenarioEvent::IsolateHost(host) => {
            context.remark(format!("{}'s machine vanishes", host_name(host)));
            context.end_host(host, HostStatus::Unreachable);
        }
        ScenarioEvent::StartHost(host) => start_host(context, host),
        ScenarioEvent::ReplaceHost { old, new } => replace_host(context, old, new).await,
        ScenarioEvent::SetHostSpeed { host, speed } => {
            context.remark(format!(
                "{} goes at {speed} of the yardstick",
                host_name(host)
            ));
            context.hosts.borrow_mut()[host.0].model.speed = speed.max(MIN_HOST_SPEED);
        }
        ScenarioEvent::SetCounterMode(mode) => {
            context.remark(format!("the counter is now {mode:?}").to_lowercase());
            context.counter.borrow_mut().model.mode = mode;
        }
        ScenarioEvent::ClearCounter => {
            context.remark("the counter comes back empty".to_owned());
            context.counter.borrow_mut().model.clear();
        }
        ScenarioEvent::SetDiscovery(answering) => set_discovery_answering(context, answering),
        ScenarioEvent::KillLimiter(limiter) => kill_limiter(context, limiter).await,
        ScenarioEvent::StartLimiter(_) => {}
    }
}

fn start_client(context: &Rc<Context>, request: ClientRequest) {
    context
        .waiting_clients
        .set(context.waiting_clients.get() + 1);
    let context = context.clone();
    spawn(async move {
        client::run(&context, request).await;
        context
            .waiting_clients
            .set(context.waiting_clients.get() - 1);
    });
}

fn start_host(context: &Rc<Context>, host: HostIndex) {
    let now = context.now();
    context.hosts.borrow_mut()[host.0].model.start(now);
    context.record(Fact::HostStarted { host });
    host::start_process(context, host);
    announce_change(context, host);
}

async fn replace_host(context: &Rc<Context>, old: HostIndex, new: HostIndex) {
    let processes = &context.scenario.processes;
    context.remark(format!(
        "{} is replaced by {} at its address",
        processes.host(old),
        processes.host(new)
    ));
    context.end_host(old, HostStatus::Dead);
    {
        let mut hosts = context.hosts.borrow_mut();
        let addresses = hosts[old.0].addresses.clone();
        hosts[new.0].addresses = addresses;
    }
    announce_change(context, old);
    sleep(SOCKET_CLOSE_TIME).await;
    start_host(context, new);
}

fn set_discovery_answering(context: &Context, answering: bool) {
    let change = if answering {
        "tells again"
    } else {
        "falls silent"
    };
    context.remark(format!("discovery {change}"));
    context.discovery.borrow_mut().set_answering(answering);
}

async fn kill_limiter(context: &Context, limiter: LimiterIndex) {
    context.record(Fact::LimiterDied { limiter });
    let running = context.limiters.borrow_mut()[limiter.as_usize()]
        .process
        .take_running();
    if let Some(running) = running {
        running.kill().await;
    }
}

/// Adds a host's change to the endpoint list; limiters see it after the scenario's lag.
pub(crate) fn announce_change(context: &Rc<Context>, host: HostIndex) {
    let lag = context.choose(
        ChoicePoint::DiscoveryDelay,
        0,
        &context.scenario.discovery_delays,
    );
    let lag = Duration::from_nanos(lag.unwrap_or(0));
    let state = host_state(context, host);
    let version = {
        let mut discovery = context.discovery.borrow_mut();
        if state == HostState::Gone {
            discovery.remove(host)
        } else {
            discovery.update(host)
        }
    };
    let context = context.clone();
    spawn(async move {
        sleep(lag).await;
        context.discovery.borrow_mut().publish(version);
    });
}
