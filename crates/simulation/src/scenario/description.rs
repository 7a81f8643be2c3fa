//! Descriptions of scenario events for timelines.

use super::ScenarioEvent;
use quartzcleat_invariants::{HostIndex, Processes};

impl ScenarioEvent {
    /// Returns the event as a line of the timeline; `None` if another fact of the run already records it.
    #[must_use]
    pub fn describe(&self, processes: &Processes) -> Option<String> {
        let host = |index: HostIndex| processes.host(index);
        let text = match self {
            ScenarioEvent::Request(_)
            | ScenarioEvent::StartHost(_)
            | ScenarioEvent::KillLimiter(_) => return None,
            ScenarioEvent::DrainHost(index) => format!("{} starts to drain", host(*index)),
            ScenarioEvent::KillHost(index) => format!("{} crashes", host(*index)),
            ScenarioEvent::IsolateHost(index) => format!("{} is isolated", host(*index)),
            ScenarioEvent::ReplaceHost { old, new } => format!(
                "{} is replaced by {} at its address",
                host(*old),
                host(*new)
            ),
            ScenarioEvent::SetHostSpeed { host: index, speed } => {
                format!("{} runs at {speed} of the reference speed", host(*index))
            }
            ScenarioEvent::SetCounterMode(mode) => {
                format!("the counter is now {mode:?}").to_lowercase()
            }
            ScenarioEvent::ClearCounter => "the counter restarts empty".to_owned(),
            ScenarioEvent::SetDiscovery(true) => "discovery answers again".to_owned(),
            ScenarioEvent::SetDiscovery(false) => "discovery stops answering".to_owned(),
            ScenarioEvent::StartLimiter(limiter) => {
                format!("{} restarts", processes.limiter(*limiter))
            }
        };
        Some(text)
    }
}
