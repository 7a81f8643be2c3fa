//! Export of use: three limiters before stand-ins, each killed at a named point and again from outside while clients ask.
//! What the sink and the spools hold in the end is held against what the nodes ran.

use quartzcleat_config::{lease::POINTS, Deployment};
use quartzcleat_decision::api::{HostState, RequestId};
use quartzcleat_fakes::stage::perform_with;
use quartzcleat_invariants::{record::Player, Cast, Record, What};
use quartzcleat_simulation::scenario::{
    Ask, CounterSetup, Fate, Happening, Net, NodeSetup, Scenario, Step,
};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Command;

const MS: u64 = 1_000_000;
const ASKS: u64 = 500;
const PARTNERS: usize = 5;

/// Five partners ask for five seconds; each limiter is killed once from outside, and started again.
fn scenario() -> Scenario {
    let day = Deployment::read("imlil-main.yaml", include_str!("../deploy/imlil-main.yaml"))
        .expect("the day is sound");
    let mut settings = day.settings;
    settings.plans[2].rate = 100_000.0;
    settings.plans[2].burst = 100_000.0;
    settings.plans[2].open = 0;
    let player = |name: String| Player {
        name,
        room: 0,
        cell: 0,
    };
    let cast = Cast {
        rooms: vec!["room-a".into()],
        limiters: (0..3).map(|number| player(format!("l{number}"))).collect(),
        hosts: (0..3).map(|number| player(format!("n{number}"))).collect(),
        partners: (0..PARTNERS)
            .map(|number| format!("partner-{number}"))
            .collect(),
        classes: settings
            .classes
            .iter()
            .map(|class| class.name.clone())
            .collect(),
    };
    let ask = |number: u64| Ask {
        mark: number + 1,
        class: (number % 2) as usize,
        partner: number as usize % PARTNERS,
        plan: 2,
        units: [1.0, 2.0, 0.5][number as usize % 3],
        cost: 0.0,
        through: number as usize % 3,
        spread: (3, 0),
        wait: 1_500 * MS,
        retry: false,
    };
    let mut steps: Vec<Step> = (0..ASKS)
        .map(|number| Step {
            at: vec![number * 10 * MS],
            what: Happening::Ask(ask(number)),
            free: None,
        })
        .collect();
    for (limiter, at) in [(0, 2_000), (1, 2_400), (2, 2_800)] {
        let step = |what| Step {
            at: vec![at * MS],
            what,
            free: None,
        };
        steps.extend([
            step(Happening::LimiterDies(limiter)),
            step(Happening::LimiterStarts(limiter)),
        ]);
    }
    // What is left is fetched before this last one.
    steps.push(Step {
        at: vec![7_500 * MS],
        what: Happening::Ask(ask(ASKS)),
        free: None,
    });
    Scenario {
        truth: settings.clone(),
        cast,
        nodes: vec![
            NodeSetup {
                cores: 64,
                state: HostState::Ready,
                ..NodeSetup::default()
            };
            3
        ],
        net: Net {
            same: 100_000,
            cross: 100_000,
            counter: 100_000,
        },
        start: 0,
        phases: vec![0],
        seeds: vec![1],
        lags: vec![0],
        counter: CounterSetup {
            service: 20_000,
            ..CounterSetup::default()
        },
        fates: vec![Fate::Normal],
        work: vec![15 * MS, 15 * MS],
        spread: 0.0,
        steps,
        retry: None,
        end: 9_000 * MS,
        variant: Some(0),
        settings,
    }
}

/// Units that the nodes ran, by partner, in thousandths.
fn truth(records: &[Record]) -> BTreeMap<usize, u64> {
    let mut asked: BTreeMap<RequestId, (usize, u64)> = BTreeMap::new();
    let mut ran = BTreeMap::new();
    for record in records {
        match &record.what {
            What::Asked {
                request,
                partner,
                units,
                ..
            } => {
                asked.insert(*request, (*partner, (units * 1_000.0) as u64));
            }
            What::Ran {
                request,
                dropped: false,
                ..
            } => {
                let (partner, units) = asked[request];
                *ran.entry(partner).or_default() += units;
            }
            _ => {}
        }
    }
    ran
}

fn told(folder: &Path, spools: bool) -> serde_json::Value {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quartzcleat"));
    command
        .arg("use")
        .arg(folder.join("sink"))
        .args(["--format", "json"]);
    for number in 0..if spools { 3 } else { 0 } {
        command
            .arg("--spool")
            .arg(folder.join(format!("spool-{number}")));
    }
    let output = command.output().expect("the command runs");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stdout)
    );
    serde_json::from_slice(&output.stdout).expect("it tells JSON")
}

fn sums(told: &serde_json::Value) -> BTreeMap<usize, (u64, u64)> {
    let thousandths =
        |value: &serde_json::Value| (value.as_f64().expect("a number") * 1_000.0).round() as u64;
    let customers = told["customers"].as_array().expect("a list");
    let of = |row: &serde_json::Value| {
        let customer =
            usize::from_str_radix(row["customer"].as_str().expect("text"), 16).expect("a number");
        (
            customer - 1,
            (thousandths(&row["units"]), thousandths(&row["unknown"])),
        )
    };
    customers.iter().map(of).collect()
}

/// Plays it with each limiter killed at a point of the export first.
fn killed_at(point: &'static str, seed: u8) {
    let folder: PathBuf = std::env::temp_dir().join(format!(
        "quartzcleat-usage-export-{}-{point}",
        std::process::id()
    ));
    std::fs::create_dir_all(&folder).expect("a folder is made");
    std::fs::write(folder.join("key"), point).expect("the key is written");
    let own = |number: u8| Ipv4Addr::new(127, 200, 1 + seed, 1 + number);
    let free = |number| {
        UdpSocket::bind((own(number), 0))
            .and_then(|socket| socket.local_addr())
            .expect("loopback")
    };
    let addresses = [free(0), free(1), free(2)];
    let at = folder.clone();
    let ours = move |number: usize, starts: usize| {
        let mut text = format!(
            "lease:\n  me: l{number}\n  key: {}\n  length: 300ms\n  limiters:\n",
            at.join("key").display()
        );
        addresses
            .iter()
            .enumerate()
            .for_each(|(other, address)| text += &format!("    l{other}: {address}\n"));
        text += "  voters: [l0, l1, l2]\n";
        if starts == 0 {
            text += &format!("  die: {{at: {point}, after: {}}}\n", 4 + 3 * number);
        }
        let (spool, sink) = (at.join(format!("spool-{number}")), at.join("sink"));
        let (spool, sink) = (spool.display(), sink.display());
        let task = format!("  tasks:\n    - name: use\n      export: {{spool: {spool}, sink: {sink}}}\n      every: 40ms\n      longest: 60ms\n");
        Some(text + &task)
    };
    let program = Path::new(env!("CARGO_BIN_EXE_quartzcleat"));
    let performed = perform_with(&scenario(), program, &folder, ours).expect("it is played");
    let reached = (0..3).filter(|number| {
        let log = std::fs::read_to_string(folder.join(format!("limiter-{number}.log")))
            .unwrap_or_default();
        log.contains("ends itself as a trial asked")
    });
    let (reached, ran) = (reached.count(), truth(&performed.records));
    assert!(reached >= 1, "{point}: nobody came there");
    let (exported, all) = (told(&folder, false), told(&folder, true));
    assert_eq!(
        (
            all["missing"].as_array().map(Vec::len),
            all["conflicts"].as_array().map(Vec::len)
        ),
        (Some(0), Some(0))
    );
    let (in_sink, sums) = (sums(&exported), sums(&all));
    let (mut certain, mut unknown, mut sent) = (0, 0, 0);
    for (partner, ran) in &ran {
        let (units, open) = sums[partner];
        assert!(
            units <= *ran && *ran <= units + open,
            "{point}, partner {partner}: {units} and {open} for {ran}"
        );
        (certain, unknown, sent) = (certain + units, unknown + open, sent + ran);
    }
    let exported: u64 = in_sink.values().map(|(units, _)| units).sum();
    println!("{point}: {reached} died there; ran {sent}, told {certain} and {unknown} unknown, {exported} of it in the sink, {} doubles", all["doubles"]);
    // Each limiter dies twice at most, with what it had out then.
    assert!(
        certain * 10 >= sent * 9 && unknown * 10 <= sent,
        "{point}: {certain} and {unknown} of {sent}"
    );
    assert!(
        exported * 20 >= certain * 19,
        "{point}: {exported} of {certain} are in the sink"
    );
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn use_is_exported_once_whoever_dies_at_whichever_point() {
    std::thread::scope(|scope| {
        for (seed, (point, _)) in POINTS.into_iter().enumerate() {
            scope.spawn(move || killed_at(point, seed as u8));
        }
    });
}
