//! The stored form of a snapshot: handoff files carry this JSON text between versions, so keys and arrays are fixed.

use quartzcleat::decision::{
    AdmissionSnapshot, ClassSnapshot, ConfirmedSnapshot, CounterCallsSnapshot, CustomerSnapshot,
    EngineSnapshot, HostSnapshot, LatencyScoreSnapshot, OwnAddsSnapshot, TimedUnits,
    TotalsSnapshot, ZoneSnapshot,
};

/// A snapshot as the first version with handoff files writes it.
const STORED: &str = concat!(
    r#"{"at":1000000000000,"ask":[0.5,0.25],"let_in":[0.75,0.125,999000000000,0.0625],"density":3.5,"#,
    r#""room":1.5,"classes":[["read",0.02,31.0],["",0.0,0.0]],"#,
    r#""hosts":[{"host":7,"started":12,"slowness":[1.25,4.0,998000000000],"room":2.5}],"#,
    r#""zones":[[3,1.5,997000000000]],"#,
    r#""customers":[{"customer":5,"window":250,"totals":[10.0,20.0,true,false],"confirmed":[6.0,1.0],"#,
    r#""own":[7.0,8.0],"store":[9.0,996000000000],"store_before":11.0,"seen":[12.0,995000000000]}]}"#
);

#[test]
fn stored_snapshot_is_written_as_it_was_read() {
    let snapshot: EngineSnapshot = serde_json::from_str(STORED).expect("a stored snapshot");
    let written = serde_json::to_string(&snapshot).expect("plain data");
    assert_eq!(written, STORED);
}

#[test]
fn stored_customer_without_previous_credit_reads_as_zero() {
    let text = STORED.replace(r#""store_before":11.0,"#, "");
    let snapshot: EngineSnapshot = serde_json::from_str(&text).expect("an older snapshot");
    let written = serde_json::to_string(&snapshot).expect("plain data");
    assert_eq!(written, STORED.replace("11.0", "0.0"));
}

#[test]
fn stored_values_are_read_into_their_fields() {
    let snapshot: EngineSnapshot = serde_json::from_str(STORED).expect("a stored snapshot");
    let class = |name: &str, mean_latency, answers| ClassSnapshot {
        name: name.to_owned(),
        mean_latency,
        answers,
    };
    let expected = EngineSnapshot {
        at: 1_000_000_000_000,
        counter_calls: CounterCallsSnapshot {
            ratio: 0.5,
            mean_need: 0.25,
        },
        admission: AdmissionSnapshot {
            ratio: 0.75,
            mean_objective_ratio: 0.125,
            measured_at: 999_000_000_000,
            success_objective_ratio: 0.0625,
        },
        mean_weight_rate: 3.5,
        concurrency_limit: 1.5,
        classes: vec![class("read", 0.02, 31.0), class("", 0.0, 0.0)],
        hosts: vec![HostSnapshot {
            host: 7,
            started: 12,
            latency: LatencyScoreSnapshot {
                score: 1.25,
                sample_weight: 4.0,
                measured_at: 998_000_000_000,
            },
            concurrency_limit: 2.5,
        }],
        zones: vec![ZoneSnapshot {
            zone: 3,
            score: 1.5,
            measured_at: 997_000_000_000,
        }],
        customers: vec![stored_customer()],
    };
    assert_eq!(snapshot, expected);
}

fn stored_customer() -> CustomerSnapshot {
    CustomerSnapshot {
        customer: 5,
        window: 250,
        totals: TotalsSnapshot {
            current: 10.0,
            previous: 20.0,
            is_current_known: true,
            is_previous_read: false,
        },
        confirmed: ConfirmedSnapshot {
            amount: 6.0,
            lost: 1.0,
        },
        own: OwnAddsSnapshot {
            current: 7.0,
            previous: 8.0,
        },
        local_tokens: TimedUnits {
            units: 9.0,
            at: 996_000_000_000,
        },
        previous_credit: 11.0,
        recent_units: TimedUnits {
            units: 12.0,
            at: 995_000_000_000,
        },
    }
}
