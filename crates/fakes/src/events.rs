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

/// The lowest speed of a host, relative to the reference speed. It is above zero so that work always ends.
const MIN_HOST_SPEED: f64 = 1e-3;
/// How long the sockets of an ended process may take to close, before another process takes over their addresses.
const SOCKET_CLOSE_TIME: Duration = Duration::from_millis(1);

/// Applies an event, except `StartLimiter`, which the harness applies. The harness also records each event's
/// description.
pub(crate) async fn apply(context: &Rc<Context>, event: ScenarioEvent) {
    match event {
        ScenarioEvent::Request(request) => start_client(context, request),
        ScenarioEvent::DrainHost(host) => {
            context.hosts.borrow_mut()[host.0].model.draining = true;
            announce_change(context, host);
        }
        ScenarioEvent::KillHost(host) => {
            context.end_host(host, HostStatus::Dead);
            announce_change(context, host);
        }
        ScenarioEvent::IsolateHost(host) => {
            context.end_host(host, HostStatus::Unreachable);
        }
        ScenarioEvent::StartHost(host) => start_host(context, host),
        ScenarioEvent::ReplaceHost { old, new } => replace_host(context, old, new).await,
        ScenarioEvent::SetHostSpeed { host, speed } => {
            context.hosts.borrow_mut()[host.0].model.speed = speed.max(MIN_HOST_SPEED);
        }
        ScenarioEvent::SetCounterMode(mode) => {
            context.counter.borrow_mut().model.mode = mode;
        }
        ScenarioEvent::ClearCounter => {
            context.counter.borrow_mut().model.clear();
        }
        ScenarioEvent::SetDiscovery(answering) => {
            context.discovery.borrow_mut().set_answering(answering);
        }
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

async fn kill_limiter(context: &Context, limiter: LimiterIndex) {
    context.record(Fact::LimiterDied { limiter });
    let running = context.limiters.borrow_mut()[limiter.as_usize()]
        .process
        .take_running();
    if let Some(running) = running {
        running.kill().await;
    }
}

/// Adds a host's change to the endpoint list; limiters see it after the scenario's discovery delay.
pub(crate) fn announce_change(context: &Rc<Context>, host: HostIndex) {
    let delay = context.choose(
        ChoicePoint::DiscoveryDelay,
        0,
        &context.scenario.discovery_delays,
    );
    let delay = Duration::from_nanos(delay.unwrap_or(0));
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
        sleep(delay).await;
        context.discovery.borrow_mut().publish(version);
    });
}
