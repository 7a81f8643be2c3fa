//! The start of a run: creates the processes and schedules the steps.

use super::{Simulation, Stopped};
use crate::event_queue::Event;
use crate::host::Host;
use crate::limiter::Limiter;
use crate::network::Variation;
use crate::oracle::ChoicePoint;
use quartzcleat_decision::api::{self, LimiterIndex, ListMode, Nanos};
use std::collections::BTreeSet;

/// Mask that separates the random numbers of the environment from those of the limiters, whose seeds are derived from
/// the unmasked seed.
const ENVIRONMENT_SEED_MASK: u64 = 0x9e37_79b9_7f4a_7c15;
/// Factor that spreads the seeds of runs, so that limiters in runs with consecutive seeds have different seeds.
const SEED_FACTOR: u64 = 1_000_003;
/// Distance between the seeds of two limiters of a run. It exceeds the number of incarnations of a limiter, each of
/// which takes the next seed.
const LIMITER_SEED_STEP: u64 = 7919;
/// The seed of a run whose scenario lists none.
const DEFAULT_SEED: u64 = 1;

impl Simulation<'_> {
    /// Starts all processes and schedules the steps of the scenario.
    pub(super) fn set_up(&mut self) -> Result<(), Stopped> {
        let scenario = self.scenario;
        let seed = self.choose(ChoicePoint::Seed, scenario.seeds.len())?;
        self.seed = scenario.seeds.get(seed).copied().unwrap_or(DEFAULT_SEED);
        self.variation = Variation::new(self.seed ^ ENVIRONMENT_SEED_MASK, scenario.log_deviation);
        let offset = self.choose(ChoicePoint::StartOffset, scenario.start_offsets.len())?;
        let offset = scenario.start_offsets.get(offset).copied().unwrap_or(0);
        self.now = scenario.start + offset;
        self.start = self.now;
        self.hosts = scenario
            .hosts
            .iter()
            .map(|setup| Host::new(setup, self.start))
            .collect();
        self.list_present_hosts();
        for limiter in scenario.processes.limiter_indices() {
            let first_incarnation = self.new_limiter(limiter, 0);
            self.limiters.push(first_incarnation);
            self.restore_host_list(limiter)?;
        }
        let moments = self.choose_moments()?;
        for (index, moment) in moments.into_iter().enumerate() {
            self.schedule(moment, Event::Step(index));
        }
        Ok(())
    }

    /// Chooses the time of each step: one of its own moments, or within a reorder group one of the group's.
    fn choose_moments(&mut self) -> Result<Vec<Nanos>, Stopped> {
        let steps = &self.scenario.steps;
        let mut moments = Vec::with_capacity(steps.len());
        for step in steps {
            let choice = self.choose(ChoicePoint::Moment, step.moments.len())?;
            moments.push(step.moments.get(choice).copied().unwrap_or(0));
        }
        let groups: BTreeSet<u32> = steps.iter().filter_map(|step| step.reorder_group).collect();
        for group in groups {
            let mut members: Vec<usize> = (0..steps.len())
                .filter(|index| steps[*index].reorder_group == Some(group))
                .collect();
            let mut times: Vec<Nanos> = members.iter().map(|member| moments[*member]).collect();
            times.sort_unstable();
            for time in times {
                let choice = self.choose(ChoicePoint::Order, members.len())?;
                moments[members.remove(choice)] = time;
            }
        }
        Ok(moments)
    }

    /// Creates a new incarnation of a limiter without any state of the previous one.
    pub(super) fn new_limiter(&self, limiter: LimiterIndex, incarnation: u32) -> Limiter {
        let processes = &self.scenario.processes;
        let mut settings = self.scenario.settings.clone();
        settings.limiters.own_index = limiter;
        settings.limiters.count = processes.limiters.len() as u32;
        settings.limiters.own_zone = processes.limiters[limiter.as_usize()].zone;
        let own = u64::from(limiter.0) * LIMITER_SEED_STEP + u64::from(incarnation);
        let seed = self.seed.wrapping_mul(SEED_FACTOR).wrapping_add(own);
        Limiter::new(settings, seed, self.now, incarnation)
    }

    /// Passes discovery's list to a new limiter, as if the limiter had restored it from its state file.
    pub(super) fn restore_host_list(&mut self, limiter: LimiterIndex) -> Result<(), Stopped> {
        let entries = self.discovery.entries.clone();
        self.record_host_states(limiter, &entries);
        let hosts = api::Event::Hosts {
            version: self.discovery.version,
            mode: ListMode::Restored,
            entries,
        };
        self.handle(limiter, hosts)
    }
}
