//! The product configuration (YAML) of one limiter of a run.

use crate::network::Network;
use crate::scenario::{ClockFaults, Scenario};
use quartzcleat_decision::api::LimiterIndex;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;

/// Returns the product configuration of a limiter. Its own entry holds the address at which it receives datagrams, and
/// its peers' entries hold the addresses of the links to them.
pub(crate) fn product_config(
    scenario: &Scenario,
    key_file: &Path,
    limiter: LimiterIndex,
    network: &Network,
    target: SocketAddr,
) -> std::io::Result<String> {
    let mut text = format!(
        "log:\n  form: json\nlease:\n  me: {}\n  key: {}\n  length: {}ms\n  drift: {}\n  limiters:\n",
        limiter_name(limiter),
        key_file.display(),
        scenario.lease_length.as_millis(),
        scenario.configured_drift,
    );
    for peer in scenario.limiter_indices() {
        let address = network.peer_address(limiter, peer)?;
        let line = format!("    {}: {address}\n", limiter_name(peer));
        text += &line;
    }
    let acceptors: Vec<String> = scenario.acceptor_indices().map(limiter_name).collect();
    let acceptors_and_task = format!(
        "  voters: [{}]\n  tasks:\n    - name: beat\n      target: {target}\n      every: {}ms\n      longest: {}ms\n",
        acceptors.join(", "),
        scenario.action_interval.as_millis(),
        scenario.max_action_time.as_millis()
    );
    text += &acceptors_and_task;
    Ok(text)
}

/// Returns the name of a limiter in configurations, such as `l007`.
fn limiter_name(limiter: LimiterIndex) -> String {
    format!("l{limiter:03}")
}

/// Returns random clock errors for a process that starts, as a line of its `lease` section. Empty if the scenario has
/// no clock errors.
pub(crate) fn clock_line(clocks: &ClockFaults, rng: &mut fastrand::Rng) -> String {
    let rate = (rng.f64() - 0.5) * clocks.rate_spread;
    let wall_share = (rng.f64() - 0.5) * 2.0;
    if *clocks == ClockFaults::default() {
        return String::new();
    }
    let wall_ms = (clocks.max_wall_offset.as_millis() as f64 * wall_share) as i64;
    let rate_key = if rate < 0.0 { "slow" } else { "fast" };
    let wall_key = if wall_ms < 0 { "behind" } else { "ahead" };
    let rate_percent = rate.abs() * 100.0;
    let wall_ms = wall_ms.abs();
    let mut line = String::new();
    // Writing to a string never fails.
    let _ = writeln!(
        line,
        "  clock: {{{rate_key}: {rate_percent:.2}%, {wall_key}: {wall_ms}ms}}"
    );
    line
}
