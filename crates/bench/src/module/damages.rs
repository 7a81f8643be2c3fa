//! The table of damages to the decision crate.

/// One damage to the decision crate.
pub(super) struct Damage {
    /// Path of the file in the crate.
    pub(super) file: &'static str,
    /// Text that stands there once.
    pub(super) original: &'static str,
    /// Text that replaces it.
    pub(super) damaged: &'static str,
    /// The fault of the damaged crate.
    pub(super) description: &'static str,
}

pub(super) const DAMAGES: &[Damage] = &[
    Damage {
        file: "hosts/host.rs",
        original: "self.entry.state == HostState::Ready",
        damaged: "self.entry.state != HostState::Gone",
        description: "draining hosts get new attempts",
    },
    Damage {
        file: "hosts/host.rs",
        original: "self.entry.state == HostState::Ready",
        damaged: "self.entry.state != HostState::Draining",
        description: "removed hosts get new attempts",
    },
    Damage {
        file: "hosts/selection.rs",
        original: "host.entry.cell == location.cell",
        damaged: "host.entry.cell == location.cell || true",
        description: "retries with a key leave their cell",
    },
    Damage {
        file: "hosts/selection.rs",
        original: "host.entry.zone == location.zone",
        damaged: "host.entry.zone == location.zone || true",
        description: "retries with a key leave their zone",
    },
    Damage {
        file: "hosts/selection.rs",
        original: "if host.entry.zone == settings.limiters.own_zone {",
        damaged: "if true {",
        description: "the own zone is not preferred",
    },
    Damage {
        file: "hosts/selection.rs",
        original: "let margin = 1.0 - 1.0 / settings.overload_factor.max(1.0);",
        damaged: "let margin = 40.0;",
        description: "hosts in slow start are sampled too often",
    },
    Damage {
        file: "hosts/slow_start.rs",
        original: "settings.initial_capacity\n        + (1.0 - settings.initial_capacity) * age as f64",
        damaged: "1.0 - 0.001 * age as f64",
        description: "hosts in slow start count as past it",
    },
    Damage {
        file: "lifecycle/retry.rs",
        original: "            && request.attempts < context.settings().attempts.max_per_request.max(1)\n",
        damaged: "",
        description: "attempts without a maximum",
    },
    Damage {
        file: "lifecycle/retry.rs",
        original: "Effect::Unsafe => 0,",
        damaged: "Effect::Unsafe => Nanos::MAX,",
        description: "unsafe requests that may have run are retried",
    },
    Damage {
        file: "lifecycle/retry.rs",
        original: ".saturating_add(class.dedup_window)",
        damaged: ".saturating_add(100 * class.dedup_window)",
        description: "retries with a key after their deduplication window",
    },
    Damage {
        file: "lifecycle/retry.rs",
        original: "begins_within(request, context) > 0\n",
        damaged: "(begins_within(request, context) > 0 || request.first_run.is_some())\n",
        description: "requests that may have run are retried",
    },
    Damage {
        file: "lifecycle/completion.rs",
        original: "class.effect == Effect::IdempotentWithKey && class.dedup_scope == DedupScope::All",
        damaged: "class.effect == Effect::IdempotentWithKey",
        description: "rejected as without effect though the request may have run",
    },
    Damage {
        file: "lifecycle/release.rs",
        original: "context.settings().backoff.longest_retry_after",
        damaged: "10 * context.settings().backoff.longest_retry_after",
        description: "retry_after longer than clients follow",
    },
    Damage {
        file: "lifecycle/completion.rs",
        original: "Action::Reject { id, retry_after }\n        } else {",
        damaged: "Action::Reject { id, retry_after: 0 * retry_after }\n        } else {",
        description: "rejections without retry_after",
    },
    Damage {
        file: "lifecycle/completion.rs",
        original: "if request.first_run.is_none() {\n            self.refund(",
        damaged: "{\n            self.refund(",
        description: "units of forwarded requests are refunded",
    },
    Damage {
        file: "lifecycle/retry.rs",
        original: "request.requirements.avoid = Some(failed_host);\n            request.requirements.slow_start_sample = slow_start_sample;\n            request.state = RequestState::Queued;",
        damaged: "request.requirements.avoid = None;\n            request.requirements.slow_start_sample = slow_start_sample;\n            request.state = RequestState::InFlight;",
        description: "retries that wait are lost",
    },
    Damage {
        file: "lifecycle/deadlines.rs",
        original: "if request.state != RequestState::Streaming {",
        damaged: "if false {",
        description: "deadlines pass without an answer",
    },
    Damage {
        file: "quota/window.rs",
        original: "(plan.rate * seconds).max(WINDOW_LENGTH_BURSTS * burst)",
        damaged: "(3.0 * plan.rate * seconds).max(WINDOW_LENGTH_BURSTS * burst)",
        description: "three times the quota",
    },
    Damage {
        file: "quota/decision.rs",
        original: "let amount = sampling.weight * claim.units + record.current.reset_unsent();",
        damaged: "let amount = record.current.reset_unsent();",
        description: "adds leave out the request",
    },
    Damage {
        file: "quota/counts.rs",
        original: "self.total = total + self.lost;",
        damaged: "self.total = call.amount;",
        description: "adds of other limiters are ignored",
    },
    Damage {
        file: "quota/counts.rs",
        original: "self.lost += (self.total - self.lost - total_before).max(0.0);",
        damaged: "",
        description: "a counter that lost its counts is believed",
    },
    Damage {
        file: "quota/window.rs",
        original: "previous_total * (1.0 - self.progress()) + current_total",
        damaged: "current_total",
        description: "the previous window counts for nothing",
    },
    Damage {
        file: "quota/counts.rs",
        original: "self.total += call.amount;",
        damaged: "self.total -= call.amount;",
        description: "adds without a reply are taken for lost",
    },
    Damage {
        file: "quota/decision.rs",
        original: "let share = record.local_share(claim.spread, window.refill);",
        damaged: "let share = 1.0;",
        description: "each limiter grants the whole quota",
    },
    Damage {
        file: "quota/decision.rs",
        original: "if record.previous.is_read || !record.is_over_quota(",
        damaged: "if true || !record.is_over_quota(",
        description: "the previous window is never read",
    },
    Damage {
        file: "lifecycle/arrival.rs",
        original: "QuotaDecision::OverQuota => time_to_next_window(&request.claim, context),",
        damaged: "QuotaDecision::OverQuota => 0,",
        description: "over the quota without retry_after",
    },
];
