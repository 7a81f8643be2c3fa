//! Writes a scenario as YAML.

use super::{Fault, Scenario};
use quartzcleat_config::quantity::format_duration;
use std::time::Duration;

impl Scenario {
    /// Returns the scenario as YAML, from which [`Scenario::read`] reads this scenario; times are rounded.
    #[must_use]
    pub fn write(&self) -> String {
        let mut text = format!(
            "limiters: {}\nacceptors: {}\nlease_duration: {}\nevery: {}\nmax_operation_duration: {}\ndrift: {}\n\
             clock_drift: {}\nclock_offset: {}\nloss: {}\nduplication: {}\ndelay: {}\ngenerated_faults: {}\n\
             end: {}\nrequired_holder_changes: {}\n",
            self.limiters,
            self.acceptors,
            time(self.lease_length),
            time(self.action_interval),
            time(self.max_action_time),
            self.configured_drift,
            self.clocks.rate_spread,
            time(self.clocks.max_wall_offset),
            self.links.loss,
            self.links.duplication,
            time(self.links.max_delay),
            self.random_faults,
            time(self.duration),
            self.required_changes,
        );
        if !self.faults.is_empty() {
            text += "faults:\n";
        }
        for fault in &self.faults {
            text += &fault_line(fault);
        }
        text
    }
}

fn fault_line(fault: &Fault) -> String {
    format!(
        "  - {{at: {}, target: {}, fault: {}, duration: {}}}\n",
        time(fault.at),
        fault.target.keyword(),
        fault.kind.keyword(),
        time(fault.duration)
    )
}

fn time(duration: Duration) -> String {
    format_duration(duration.as_nanos() as u64)
}
