//! The environment: effects of the scenario's steps on hosts, counter, discovery and limiters.

use super::{Simulation, Stopped};
use crate::host::{AttemptKey, HostStatus, MIN_SPEED};
use crate::scenario::ScenarioEvent;
use quartzcleat_decision::api::{LimiterIndex, Outcome};
use quartzcleat_invariants::{Fact, HostIndex};

impl Simulation<'_> {
    pub(super) fn apply_scenario_event(&mut self, event: ScenarioEvent) -> Result<(), Stopped> {
        if let Some(text) = event.describe(&self.scenario.processes) {
            self.record(Fact::Note(text));
        }
        match event {
            ScenarioEvent::Request(request) => self.send_request(request),
            ScenarioEvent::DrainHost(host) => {
                self.hosts[host.0].draining = true;
                self.update_host(host)
            }
            ScenarioEvent::KillHost(host) => {
                self.kill_host(host);
                self.update_host(host)
            }
            ScenarioEvent::IsolateHost(host) => {
                self.hosts[host.0].stop(HostStatus::Unreachable);
                Ok(())
            }
            ScenarioEvent::StartHost(host) => self.start_host(host),
            ScenarioEvent::ReplaceHost { old, new } => {
                self.kill_host(old);
                self.update_host(old)?;
                self.start_host(new)
            }
            ScenarioEvent::SetHostSpeed { host, speed } => {
                self.hosts[host.0].speed = speed.max(MIN_SPEED);
                Ok(())
            }
            ScenarioEvent::SetCounterMode(mode) => {
                self.counter.mode = mode;
                Ok(())
            }
            ScenarioEvent::ClearCounter => {
                self.counter.clear();
                Ok(())
            }
            ScenarioEvent::SetDiscovery(is_notifying) => self.set_discovery(is_notifying),
            ScenarioEvent::KillLimiter(limiter) => {
                self.kill_limiter(limiter);
                Ok(())
            }
            ScenarioEvent::StartLimiter(limiter) => {
                let incarnation = self.limiters[limiter.as_usize()].incarnation + 1;
                self.limiters[limiter.as_usize()] = self.new_limiter(limiter, incarnation);
                self.restore_host_list(limiter)
            }
        }
    }

    fn start_host(&mut self, host: HostIndex) -> Result<(), Stopped> {
        self.hosts[host.0].start(self.now);
        self.record(Fact::HostStarted { host });
        self.update_host(host)
    }

    /// Kills a limiter's process, which drops its open requests and resets its attempts in flight.
    fn kill_limiter(&mut self, limiter: LimiterIndex) {
        self.record(Fact::LimiterDied { limiter });
        let state = &mut self.limiters[limiter.as_usize()];
        state.is_up = false;
        state.open_requests.clear();
        let in_flight = std::mem::take(&mut state.in_flight);
        for (id, attempt) in in_flight {
            self.hosts[attempt.host.0].cancel(AttemptKey {
                limiter,
                request: id.request,
                attempt: id.attempt,
            });
            self.record(Fact::AttemptEnded {
                request: id.request,
                attempt: id.attempt,
                outcome: Outcome::Reset,
            });
        }
        self.clients.disconnect_from(limiter);
    }
}
