//! Plays one trial: relays, target, limiters, and the faults of its schedule.

use crate::link::{Link, Passed, Stream};
use crate::process::Process;
use crate::story::{Clocks, Fault, Story, What, Whom};
use crate::target::{Seen, Target};
use crate::verdict::Mark;
use nix::sys::resource::{getrusage, UsageWho};
use nix::sys::signal::Signal;
use nix::sys::time::TimeValLike as _;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::{sleep, sleep_until, Instant};

/// How long an act takes at the target.
const TAKES: Duration = Duration::from_millis(5);

/// What was seen in a trial.
#[derive(Clone, Debug, Default)]
pub struct Played {
    /// Acts as the target saw them.
    pub seen: Vec<Seen>,
    /// Faults as they were put in, and their ends.
    pub marks: Vec<Mark>,
    /// What passed over the links.
    pub passed: Passed,
    /// How long the limiters ran.
    pub lasted: Duration,
    /// CPU time of all limiters that ran to the end, and the largest peak of memory.
    pub cpu: Duration,
    /// See `cpu`, in kilobytes.
    pub peak_kb: u64,
    /// CPU time of the thread that played it: relays, target and supervisor.
    pub ground_cpu: Duration,
}

/// What a trial is played on.
#[derive(Clone, Debug)]
pub struct Ground {
    /// The program.
    pub program: PathBuf,
    /// Another build of it, which every other limiter runs.
    pub beside: Option<PathBuf>,
    /// A sound configuration of the platform's form, whose listening address is replaced.
    pub platform: String,
    /// Where files go.
    pub folder: PathBuf,
    /// Whether the target checks tokens; without, the trial shows what the check is for.
    pub checks: bool,
}

/// Plays a story with one seed.
///
/// # Errors
/// Where loopback, files or processes fail.
pub fn play(story: &Story, seed: u64, ground: &Ground) -> std::io::Result<Played> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let used =
        || getrusage(UsageWho::RUSAGE_THREAD).map(|used| used.user_time() + used.system_time());
    let before = used().map_err(std::io::Error::from)?;
    let played = LocalSet::new().block_on(&runtime, run(story.clone(), seed, ground));
    let ground_cpu = used().map_err(std::io::Error::from)? - before;
    let ground_cpu = Duration::from_micros(ground_cpu.num_microseconds().unsigned_abs());
    played.map(|played| Played {
        ground_cpu,
        ..played
    })
}

struct Trial {
    story: Story,
    links: BTreeMap<(usize, usize), Rc<Link>>,
    /// Each limiter's way to the target.
    streams: Vec<Rc<Stream>>,
    clocks: RefCell<fastrand::Rng>,
    processes: RefCell<Vec<Option<Process>>>,
    target: Rc<Target>,
    marks: RefCell<Vec<Mark>>,
}

async fn run(story: Story, seed: u64, ground: &Ground) -> std::io::Result<Played> {
    let folder = &ground.folder;
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("key"), seed.to_be_bytes())?;
    let passed = Rc::new(Cell::new(Passed::default()));
    let target = Target::new(ground.checks, TAKES);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let at = listener.local_addr()?;
    tokio::task::spawn_local(target.clone().serve(listener));
    // Each limiter has an address of its own in 127/8, so that nobody takes its port before it does.
    let process = std::process::id();
    let own = |number: usize| {
        Ipv4Addr::new(
            127,
            128 + (seed % 64) as u8,
            (process % 250) as u8,
            1 + (number % 250) as u8,
        )
    };
    let mut addresses: Vec<SocketAddr> = Vec::new();
    for number in 0..story.limiters {
        addresses.push(UdpSocket::bind((own(number), 0))?.local_addr()?);
    }
    let mut links = BTreeMap::new();
    for from in 0..story.limiters {
        for (to, address) in addresses.iter().enumerate() {
            // Who does not vote talks to voters only.
            if from != to && (from < story.voters || to < story.voters) {
                let number = (from * story.limiters + to) as u64;
                let link = Link::open(*address, story.links, seed ^ (number << 32), passed.clone())
                    .await?;
                links.insert((from, to), link);
            }
        }
    }
    let (mut processes, mut streams) = (Vec::new(), Vec::new());
    let clocks = RefCell::new(fastrand::Rng::with_seed(seed.rotate_left(7)));
    for number in 0..story.limiters {
        let (ours, platforms) = (
            folder.join(format!("{number}.yaml")),
            folder.join(format!("{number}.json")),
        );
        let stream = Stream::open(at).await?;
        let text = product(&story, folder, number, &addresses, &links, stream.address())?;
        std::fs::write(&ours, text)?;
        streams.push(stream);
        let listen = SocketAddr::from((own(number), addresses[number].port()));
        let mut file: serde_json::Value = serde_json::from_str(&ground.platform)?;
        file["listen"] = listen.to_string().into();
        std::fs::write(&platforms, file.to_string())?;
        let program = ground
            .beside
            .as_ref()
            .filter(|_| number % 2 == 1)
            .unwrap_or(&ground.program);
        let mut process = Process::new(
            program,
            ours,
            platforms,
            folder.join(format!("{number}.log")),
        );
        process.start(&clock(&story, &mut clocks.borrow_mut()))?;
        processes.push(Some(process));
    }
    let trial = Rc::new(Trial {
        links,
        streams,
        clocks,
        processes: RefCell::new(processes),
        target: target.clone(),
        marks: RefCell::default(),
        story,
    });
    let (began, mut rng) = (Instant::now(), fastrand::Rng::with_seed(!seed));
    for fault in trial.story.schedule(seed) {
        sleep_until(began + fault.at).await;
        let struck: Vec<usize> = match fault.whom {
            Whom::All => (0..trial.story.limiters).collect(),
            Whom::Holder => vec![target
                .holder()
                .unwrap_or_else(|| rng.usize(..trial.story.limiters))],
            Whom::Any => vec![rng.usize(..trial.story.limiters)],
        };
        for limiter in struck {
            tokio::task::spawn_local(trial.clone().strike(limiter, fault));
        }
    }
    sleep_until(began + trial.story.end).await;
    let (mut cpu, mut peak_kb) = (0, 0);
    let left = std::mem::take(&mut *trial.processes.borrow_mut());
    for mut process in left.into_iter().flatten() {
        let usage = process.usage();
        (cpu, peak_kb) = (cpu + usage.0, peak_kb.max(usage.1));
        process.stop(false).await;
    }
    let (seen, marks) = (target.seen.borrow().clone(), trial.marks.borrow().clone());
    let (passed, cpu) = (passed.get(), Duration::from_nanos(cpu));
    Ok(Played {
        seen,
        marks,
        passed,
        lasted: began.elapsed(),
        cpu,
        peak_kb,
        ground_cpu: Duration::ZERO,
    })
}

/// The clocks of a process that starts, as a line of its `lease` section; empty where they are right.
fn clock(story: &Story, rng: &mut fastrand::Rng) -> String {
    let (fast, off) = (
        (rng.f64() - 0.5) * story.clocks.apart,
        (rng.f64() - 0.5) * 2.0,
    );
    let off_ms = (story.clocks.off.as_millis() as f64 * off) as i64;
    let (rate, wall) = (
        if fast < 0.0 { "slow" } else { "fast" },
        if off_ms < 0 { "behind" } else { "ahead" },
    );
    if story.clocks == Clocks::default() {
        return String::new();
    }
    format!(
        "  clock: {{{rate}: {:.2}%, {wall}: {}ms}}\n",
        fast.abs() * 100.0,
        off_ms.abs()
    )
}

/// Our own file of one limiter: it hears at its own address and calls the others through the links.
fn product(
    story: &Story,
    folder: &Path,
    me: usize,
    addresses: &[SocketAddr],
    links: &BTreeMap<(usize, usize), Rc<Link>>,
    target: SocketAddr,
) -> std::io::Result<String> {
    let name = |number: usize| format!("l{number:03}");
    let mut text = format!(
        "log:\n  form: json\nlease:\n  me: {}\n  key: {}\n  length: {}ms\n  drift: {}\n  limiters:\n",
        name(me),
        folder.join("key").display(),
        story.length.as_millis(),
        story.drift,
    );
    for (number, own) in addresses.iter().enumerate() {
        // Whom it never talks to has an address all the same, since numbers are places in this list.
        let at = match links.get(&(me, number)) {
            Some(link) => link.address()?,
            None => *own,
        };
        let _ = writeln!(text, "    {}: {at}", name(number));
    }
    let voters: Vec<String> = (0..story.voters).map(name).collect();
    let (every, longest) = (story.every.as_millis(), story.longest.as_millis());
    let _ = write!(
        text,
        "  voters: [{}]\n  tasks:\n    - name: beat\n      target: {target}\n      every: {every}ms\n      longest: {longest}ms\n",
        voters.join(", ")
    );
    Ok(text)
}

impl Trial {
    async fn strike(self: Rc<Self>, limiter: usize, fault: Fault) {
        let word = fault.what.word();
        self.mark(limiter, word.to_owned());
        match fault.what {
            What::Pause => {
                self.signal(limiter, Signal::SIGSTOP);
                sleep(fault.lasts).await;
                // Marked before it goes on, so that nothing that it does then counts as done while paused.
                self.mark(limiter, "pause over".to_owned());
                self.signal(limiter, Signal::SIGCONT);
            }
            What::Kill | What::End => {
                let taken = self
                    .processes
                    .borrow_mut()
                    .get_mut(limiter)
                    .and_then(Option::take);
                let Some(mut process) = taken else { return };
                process.stop(fault.what == What::End).await;
                sleep(fault.lasts).await;
                let clock = clock(&self.story, &mut self.clocks.borrow_mut());
                let started = process.start(&clock);
                self.mark(
                    limiter,
                    if started.is_ok() {
                        format!("{word} over")
                    } else {
                        "no start".to_owned()
                    },
                );
                if let Some(place) = self.processes.borrow_mut().get_mut(limiter) {
                    *place = Some(process);
                }
            }
            What::Astray | What::Unanswered => {
                let gate = if fault.what == What::Astray {
                    &self.streams[limiter].there
                } else {
                    &self.streams[limiter].back
                };
                gate.shut();
                sleep(fault.lasts).await;
                gate.open();
                self.mark(limiter, format!("{word} over"));
            }
            What::Reset => {
                let until = Instant::now() + fault.lasts;
                while Instant::now() < until {
                    self.streams[limiter].reset();
                    sleep(TAKES).await;
                }
                self.mark(limiter, format!("{word} over"));
            }
            What::Cut | What::Mute | What::Deaf | What::Split => {
                // Less than half of all, the limiter first: the others have a majority of any odd set they hold whole.
                let fewer = |other: usize| {
                    (other + self.story.limiters - limiter) % self.story.limiters
                        < self.story.limiters.div_ceil(2) - 1
                };
                let hit = |(from, to): (usize, usize)| match fault.what {
                    What::Cut => from == limiter || to == limiter,
                    What::Mute => from == limiter,
                    What::Deaf => to == limiter,
                    _ => fewer(from) != fewer(to),
                };
                let cut: Vec<Rc<Link>> = self
                    .links
                    .iter()
                    .filter(|(pair, _)| hit(**pair))
                    .map(|(_, link)| link.clone())
                    .collect();
                cut.iter()
                    .for_each(|link| link.cuts.set(link.cuts.get() + 1));
                sleep(fault.lasts).await;
                cut.iter()
                    .for_each(|link| link.cuts.set(link.cuts.get() - 1));
                self.mark(limiter, format!("{word} over"));
            }
        }
    }

    fn signal(&self, limiter: usize, signal: Signal) {
        if let Some(Some(process)) = self.processes.borrow().get(limiter) {
            process.signal(signal);
        }
    }

    fn mark(&self, limiter: usize, what: String) {
        let at = self.target.now();
        self.marks.borrow_mut().push(Mark {
            at,
            limiter: Some(limiter),
            what,
        });
    }
}
