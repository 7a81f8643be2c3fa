//! Usage export tests with crashes. While clients send requests, each limiter process aborts at a named crash point and
//! is later killed from outside. The usage in the sink and the spools is then compared with what the hosts executed.

use quartzcleat_config::lease::CRASH_POINTS;
use quartzcleat_decision::api::{LimiterIndex, RequestId};
use quartzcleat_fakes::run_with;
use quartzcleat_invariants::{Fact, PartnerIndex, Record};
use scenario::{scenario, LIMITERS};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Command;

mod scenario;

const PROGRAM: &str = env!("CARGO_BIN_EXE_quartzcleat");

/// Returns the milliunits that the hosts executed, by partner.
fn executed_milliunits(records: &[Record]) -> BTreeMap<PartnerIndex, u64> {
    let mut requests: BTreeMap<RequestId, (PartnerIndex, u64)> = BTreeMap::new();
    let mut executed = BTreeMap::new();
    for record in records {
        match &record.fact {
            Fact::RequestReceived {
                request,
                partner,
                units,
                ..
            } => {
                requests.insert(*request, (*partner, (units * 1_000.0) as u64));
            }
            Fact::Executed {
                request,
                deduplicated: false,
                ..
            } => {
                let (partner, units) = requests[request];
                *executed.entry(partner).or_default() += units;
            }
            _ => {}
        }
    }
    executed
}

/// Returns the JSON report of `quartzcleat use` on the sink and, if `spools` says so, on all spools.
fn usage_report(folder: &Path, spools: Spools) -> Value {
    let mut command = Command::new(PROGRAM);
    command
        .arg("use")
        .arg(folder.join("sink"))
        .args(["--format", "json"]);
    if spools == Spools::Included {
        for number in 0..LIMITERS {
            command
                .arg("--spool")
                .arg(folder.join(format!("spool-{number}")));
        }
    }
    let output = command.output().expect("the command runs");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stdout)
    );
    serde_json::from_slice(&output.stdout).expect("the report is JSON")
}

/// Whether a usage report includes the spools.
#[derive(Clone, Copy, PartialEq)]
enum Spools {
    Included,
    Excluded,
}

/// The usage of one partner as the export reports it.
#[derive(Clone, Copy, Debug)]
struct ReportedUsage {
    executed_milliunits: u64,
    uncertain_milliunits: u64,
}

impl ReportedUsage {
    /// Returns whether the milliunits that the hosts executed lie between the reported certain ones and the sum of
    /// certain and uncertain ones.
    fn is_consistent_with(&self, executed_milliunits: u64) -> bool {
        let upper_bound = self.executed_milliunits + self.uncertain_milliunits;
        (self.executed_milliunits..=upper_bound).contains(&executed_milliunits)
    }
}

fn reported_by_partner(report: &Value) -> BTreeMap<PartnerIndex, ReportedUsage> {
    let milliunits = |value: &Value| (value.as_f64().expect("a number") * 1_000.0).round() as u64;
    let customers = report["customers"].as_array().expect("a list");
    customers
        .iter()
        .map(|row| {
            let customer = row["customer"].as_str().expect("text");
            let customer = usize::from_str_radix(customer, 16).expect("a number");
            let reported = ReportedUsage {
                executed_milliunits: milliunits(&row["units"]),
                uncertain_milliunits: milliunits(&row["unknown"]),
            };
            (PartnerIndex(customer - 1), reported)
        })
        .collect()
}

/// Returns the section `lease` of one limiter's configuration. With `crash_at`, the limiter aborts at that crash point
/// on the pass after the first `4 + 3 * limiter` ones.
fn lease_section(
    folder: &Path,
    addresses: &[SocketAddr; LIMITERS],
    limiter: LimiterIndex,
    crash_at: Option<&str>,
) -> String {
    let key = folder.join("key");
    let spool = folder.join(format!("spool-{limiter}"));
    let sink = folder.join("sink");
    let mut text = format!(
        "lease:\n  me: l{limiter}\n  key: {}\n  length: 300ms\n  limiters:\n",
        key.display()
    );
    for (other, address) in addresses.iter().enumerate() {
        let line = format!("    l{other}: {address}\n");
        text += &line;
    }
    text += "  voters: [l0, l1, l2]\n";
    if let Some(point) = crash_at {
        let line = format!("  die: {{at: {point}, after: {}}}\n", 4 + 3 * limiter.0);
        text += &line;
    }
    text + &format!(
        "  tasks:\n    - name: use\n      export: {{spool: {}, sink: {}}}\n      every: 40ms\n      longest: 60ms\n",
        spool.display(),
        sink.display()
    )
}

/// Returns an unused address in a loopback network that only this run uses.
fn unused_address(run: u8, number: u8) -> SocketAddr {
    let address = Ipv4Addr::new(127, 200, 1 + run, 1 + number);
    UdpSocket::bind((address, 0))
        .and_then(|socket| socket.local_addr())
        .expect("loopback")
}

fn count_scheduled_crashes(folder: &Path) -> usize {
    (0..LIMITERS)
        .filter(|number| {
            let path = folder.join(format!("limiter-{number}.log"));
            let log = std::fs::read_to_string(path).unwrap_or_default();
            log.contains("scheduled crash")
        })
        .count()
}

/// Runs the scenario and checks the reported usage. The first process of each limiter aborts at the crash point.
fn check_export_with_crash_at(point: &'static str, run: u8) {
    let folder: PathBuf = std::env::temp_dir().join(format!(
        "quartzcleat-usage-export-{}-{point}",
        std::process::id()
    ));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    std::fs::write(folder.join("key"), point).expect("the key is written");
    let addresses = [0, 1, 2].map(|number| unused_address(run, number));
    let configuration_folder = folder.clone();
    let product_config = move |limiter: LimiterIndex, starts: usize| {
        let crash_at = (starts == 0).then_some(point);
        Some(lease_section(
            &configuration_folder,
            &addresses,
            limiter,
            crash_at,
        ))
    };
    let report = run_with(&scenario(), Path::new(PROGRAM), &folder, product_config)
        .expect("the scenario runs");
    let crashes = count_scheduled_crashes(&folder);
    assert!(crashes >= 1, "{point}: no limiter reached this crash point");
    println!("{point}: {crashes} limiters crashed there");
    check_reports(point, &folder, &executed_milliunits(&report.records));
    // Best effort: a leftover folder does not affect the result.
    let _ = std::fs::remove_dir_all(&folder);
}

fn check_reports(point: &str, folder: &Path, executed: &BTreeMap<PartnerIndex, u64>) {
    let sink_report = usage_report(folder, Spools::Excluded);
    let full_report = usage_report(folder, Spools::Included);
    assert_eq!(
        (
            full_report["missing"].as_array().map(Vec::len),
            full_report["conflicts"].as_array().map(Vec::len)
        ),
        (Some(0), Some(0))
    );
    let reported = reported_by_partner(&full_report);
    let mut certain = 0;
    let mut uncertain = 0;
    for (partner, executed) in executed {
        let reported = reported[partner];
        assert!(
            reported.is_consistent_with(*executed),
            "{point}, partner {partner:?}: {reported:?} for {executed}"
        );
        certain += reported.executed_milliunits;
        uncertain += reported.uncertain_milliunits;
    }
    let total: u64 = executed.values().sum();
    let in_sink: u64 = reported_by_partner(&sink_report)
        .values()
        .map(|reported| reported.executed_milliunits)
        .sum();
    println!("{point}: executed {total}, reported {certain} and {uncertain} uncertain, {in_sink} of it in the sink, {} duplicates", full_report["doubles"]);
    // Each limiter crashes at most twice, and only the attempts that it has open then may go unreported or be uncertain.
    assert!(
        certain * 10 >= total * 9 && uncertain * 10 <= total,
        "{point}: {certain} and {uncertain} of {total}"
    );
    assert!(
        in_sink * 20 >= certain * 19,
        "{point}: {in_sink} of {certain} are in the sink"
    );
}

#[test]
fn usage_is_exported_exactly_once_despite_a_crash_at_any_point() {
    std::thread::scope(|scope| {
        for (run, (point, _)) in CRASH_POINTS.into_iter().enumerate() {
            scope.spawn(move || check_export_with_crash_at(point, run as u8));
        }
    });
}
