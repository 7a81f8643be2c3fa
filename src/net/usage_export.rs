//! Export of use at work. Every limiter keeps a spool in a folder of its own ([`UsageRecorder`]); who holds the task's lease
//! fetches batches from all and appends them to its tenure's file in the sink ([`Exporter`]). What is written, and in
//! which order, `quartzcleat_usage_export` says. A process ends between any two of these steps without a batch lost or doubled.

use super::shutdown::unix;
use super::stages::complete::CallResult;
use crate::api::{Nanos, Outcome};
use quartzcleat_config::lease::Point;
use quartzcleat_lease::{FencingToken, PermittedOperation};
use quartzcleat_usage_export::{Fate, Message, Sink, Source, Spool, Written};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};

/// The end of the names of spools, and of those in the sink.
const SPOOL: &str = "spool";
const USED: &str = "used";

/// A file that lines are appended to. After a write that failed the next line begins anew, so that one torn line spoils
/// no other.
struct Lines {
    path: PathBuf,
    file: RefCell<File>,
    torn: Cell<bool>,
}

impl Lines {
    fn append(&self, text: &str) -> io::Result<()> {
        if self.torn.get() {
            self.file.borrow_mut().write_all(b"\n")?;
            self.torn.set(false);
        }
        let written = self.file.borrow_mut().write_all(text.as_bytes());
        self.torn.set(written.is_err());
        written
    }
}

/// A spool and its file, which is locked for as long as its process lives.
struct RecordingFrontend {
    spool: RefCell<Spool>,
    lines: Lines,
}

impl RecordingFrontend {
    fn append(&self, line: &str) {
        if let Err(e) = self.lines.append(line) {
            tracing::warn!(
                "use cannot be written down in {}: {e}",
                self.lines.path.display()
            );
        }
    }
}

/// This limiter's spools: the own one, and those that its earlier processes left behind.
pub struct UsageRecorder {
    name: String,
    folder: PathBuf,
    own: RecordingFrontend,
    left: RefCell<BTreeMap<PathBuf, RecordingFrontend>>,
    /// Where a trial ends this process.
    die: Cell<Option<(Point, u64)>>,
}

impl UsageRecorder {
    /// Begins a spool of this process in a folder.
    ///
    /// # Errors
    /// Where the folder or the file cannot be written.
    pub fn open(
        name: &str,
        folder: &Path,
        die: Option<(Point, u64)>,
    ) -> Result<UsageRecorder, String> {
        let told = |e: io::Error| format!("lease.tasks.export.spool: {}: {e}", folder.display());
        fs::create_dir_all(folder).map_err(told)?;
        let (spool, head) = Spool::new(Source {
            name: name.to_owned(),
            epoch: unix(),
        });
        let path = folder.join(format!(
            "{:020}-{}.{SPOOL}",
            spool.source().epoch,
            std::process::id()
        ));
        let file = OpenOptions::new()
            .create_new(true)
            .append(true)
            .open(&path)
            .map_err(told)?;
        file.try_lock().map_err(io::Error::from).map_err(told)?;
        let lines = Lines {
            path,
            file: RefCell::new(file),
            torn: Cell::new(false),
        };
        lines.append(&head).map_err(told)?;
        let own = RecordingFrontend {
            spool: RefCell::new(spool),
            lines,
        };
        let (name, folder) = (name.to_owned(), folder.to_owned());
        let usage_recorder = UsageRecorder {
            name,
            folder,
            own,
            left: RefCell::default(),
            die: Cell::new(die),
        };
        usage_recorder.adopt();
        Ok(usage_recorder)
    }

    /// Ends this process, where a trial wants that here.
    pub fn point(&self, at: Point) {
        match self.die.get() {
            Some((point, 0)) if point == at => {
                tracing::error!(?at, "ends itself as a trial asked");
                std::process::abort()
            }
            Some((point, left)) if point == at => self.die.set(Some((point, left - 1))),
            _ => {}
        }
    }

    /// An attempt is about to be sent; its number.
    pub fn begin(&self, customer: u64, units: f64) -> u64 {
        let (attempt, line) = self.own.spool.borrow_mut().begin(customer, units);
        self.own.append(&line);
        self.point(Point::AttemptNoted);
        attempt
    }

    /// How an attempt ended; `written` says whether its last byte has left. `guess` are the units it came with.
    pub fn end(&self, attempt: u64, end: &CallResult, written: bool, guess: f64) {
        self.point(Point::AttemptEnded);
        let fate = match end.outcome {
            Outcome::Good => Fate::Ran(if end.used.units > 0.0 {
                end.used.units
            } else {
                guess
            }),
            outcome if outcome.never_ran() || !written => Fate::Never,
            _ => Fate::Unknown,
        };
        let line = self.own.spool.borrow_mut().end(attempt, fate);
        line.iter().for_each(|line| self.own.append(line));
    }

    /// Takes over spools that earlier processes of this limiter left behind: whose lock nobody holds.
    pub fn adopt(&self) {
        let Ok(files) = fs::read_dir(&self.folder) else {
            return;
        };
        for path in files.flatten().map(|file| file.path()) {
            let known = path == self.own.lines.path || self.left.borrow().contains_key(&path);
            if known || path.extension().is_none_or(|end| end != SPOOL) {
                continue;
            }
            let Ok(file) = OpenOptions::new().append(true).open(&path) else {
                continue;
            };
            if file.try_lock().is_err() {
                continue;
            }
            let Ok(text) = fs::read_to_string(&path) else {
                continue;
            };
            let Some((spool, taken)) = Spool::read(&self.name, &text) else {
                // Nothing was sent before its first line was whole, unless it is not ours.
                tracing::warn!(
                    "{} is no spool of {}: it is left alone",
                    path.display(),
                    self.name
                );
                continue;
            };
            tracing::info!(
                spoilt = taken.spoilt,
                unended = taken.unended,
                "a spool left behind is exported"
            );
            let lines = Lines {
                path: path.clone(),
                file: RefCell::new(file),
                torn: Cell::new(false),
            };
            let kept = RecordingFrontend {
                spool: RefCell::new(spool),
                lines,
            };
            kept.append(&taken.lines);
            self.left.borrow_mut().insert(path, kept);
        }
    }

    /// Makes batches of all that has ended.
    pub fn cut(&self) {
        let left = self.left.borrow();
        for kept in left.values().chain([&self.own]) {
            loop {
                let line = kept.spool.borrow_mut().cut();
                let Some(line) = line else { break };
                kept.append(&line);
                self.point(Point::BatchCut);
            }
        }
        let whole = self.own.spool.borrow_mut().compact();
        if let Some(whole) = whole {
            self.rewrite(&whole);
        }
    }

    /// Puts a shorter file with the same content in the place of the own one.
    fn rewrite(&self, whole: &str) {
        let path = &self.own.lines.path;
        let draft = path.with_extension("draft");
        let write = || {
            let mut file = OpenOptions::new()
                .create(true)
                .truncate(true)
                .write(true)
                .open(&draft)?;
            file.write_all(whole.as_bytes())?;
            file.try_lock().map_err(io::Error::from)?;
            fs::rename(&draft, path)?;
            Ok::<File, io::Error>(file)
        };
        match write() {
            Ok(file) => drop(self.own.lines.file.replace(file)),
            Err(e) => tracing::warn!("{} cannot be made shorter: {e}", path.display()),
        }
    }

    /// The first batch that is not in the sink as far as is known: what was left behind first.
    pub fn first(&self) -> Option<Written> {
        let left = self.left.borrow();
        let mut all = left.values().chain([&self.own]);
        all.find_map(|kept| {
            let spool = kept.spool.borrow();
            let batch = spool.held().next().cloned()?;
            Some(Written {
                source: spool.source().clone(),
                batch,
            })
        })
    }

    /// A spool's batches up to a number stand in the sink. One that was left behind and holds nothing more goes.
    pub fn exported(&self, epoch: u64, number: u64) {
        self.point(Point::HaveHeard);
        let mut left = self.left.borrow_mut();
        for kept in left.values().chain([&self.own]) {
            if kept.spool.borrow().source().epoch == epoch {
                let line = kept.spool.borrow_mut().exported(number);
                line.iter().for_each(|line| kept.append(line));
            }
        }
        self.point(Point::HaveNoted);
        left.retain(|path, kept| {
            let over = kept.spool.borrow().is_empty();
            if over {
                let _ = fs::remove_file(path);
            }
            !over
        });
    }
}

/// What the holder of the task's lease knows of the sink.
pub struct Exporter {
    sink: PathBuf,
    /// The tenure, its file, and all that stands in the sink.
    tenure: RefCell<Option<(FencingToken, Lines, Sink)>>,
}

impl Exporter {
    /// One that has written nothing.
    pub fn new(sink: &Path) -> Self {
        Exporter {
            sink: sink.to_owned(),
            tenure: RefCell::default(),
        }
    }

    /// Begins a tenure, unless it has begun: reads what stands in the sink.
    ///
    /// # Errors
    /// Where the sink cannot be read or written.
    pub fn begin(&self, token: FencingToken) -> io::Result<()> {
        if self
            .tenure
            .borrow()
            .as_ref()
            .is_some_and(|(held, ..)| *held == token)
        {
            return Ok(());
        }
        fs::create_dir_all(&self.sink)?;
        let sink = read_sink(&self.sink)?;
        let FencingToken {
            round,
            proposer,
            incarnation,
        } = token;
        let path = self
            .sink
            .join(format!("{round:020}-{proposer}-{incarnation}.{USED}"));
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        // It may have been torn where the same tenure's file could not be written before.
        let torn = Cell::new(file.metadata()?.len() > 0);
        *self.tenure.borrow_mut() = Some((
            token,
            Lines {
                path,
                file: RefCell::new(file),
                torn,
            },
            sink,
        ));
        Ok(())
    }

    /// Writes a batch, unless it stands there. The act says that the lease is held; should it be over all the same by
    /// now, the batch stands in this tenure's file beside another's and counts once.
    ///
    /// # Errors
    /// Where the sink cannot be written, or the act is of another tenure.
    pub fn write(
        &self,
        act: PermittedOperation,
        written: &Written,
        usage_recorder: &UsageRecorder,
    ) -> io::Result<()> {
        let mut tenure = self.tenure.borrow_mut();
        let Some((_, lines, sink)) = tenure.as_mut().filter(|(token, ..)| *token == act.token)
        else {
            return Err(io::Error::other("the lease has changed hands meanwhile"));
        };
        usage_recorder.point(Point::BatchHeard);
        if !sink.holds(&written.source, written.batch.number) {
            lines.append(&written.line())?;
            sink.take(written.clone());
        }
        usage_recorder.point(Point::BatchWritten);
        Ok(())
    }
}

/// Reads all files of a sink.
///
/// # Errors
/// Where the folder or one of them cannot be read.
pub fn read_sink(folder: &Path) -> io::Result<Sink> {
    let mut sink = Sink::default();
    let mut paths: Vec<PathBuf> = fs::read_dir(folder)?
        .flatten()
        .map(|file| file.path())
        .collect();
    paths.retain(|path| path.extension().is_some_and(|end| end == USED));
    paths.sort();
    for path in paths {
        sink.read(&String::from_utf8_lossy(&fs::read(path)?));
    }
    Ok(sink)
}

/// Reads all spools of a folder, whoever holds them, as a limiter of this name would that starts now.
///
/// # Errors
/// Where the folder or one of them cannot be read.
pub fn read_spools(folder: &Path) -> io::Result<Vec<Spool>> {
    let mut spools = Vec::new();
    for path in fs::read_dir(folder)?.flatten().map(|file| file.path()) {
        if path.extension().is_none_or(|end| end != SPOOL) {
            continue;
        }
        let text = fs::read_to_string(&path)?;
        let name = text.split(' ').nth(2).unwrap_or_default().to_owned();
        spools.extend(Spool::read(&name, &text).map(|(spool, _)| spool));
    }
    Ok(spools)
}

/// A message between exporter and source: what is to be answered, and whether a batch came that is to be written.
pub enum Heard {
    /// This answer goes back.
    Answer(Message),
    /// The exporter writes this.
    Batch(Written),
    /// Nothing more.
    Nothing,
}

/// Takes a message of a limiter of this name.
pub fn hear(usage_recorder: &UsageRecorder, sender: &str, message: Message) -> Heard {
    match message {
        Message::Want => usage_recorder
            .first()
            .map_or(Heard::Nothing, |Written { source, batch }| {
                Heard::Answer(Message::Batch { source, batch })
            }),
        // Nobody tells of another's use.
        Message::Batch { source, batch } if source.name == sender => {
            Heard::Batch(Written { source, batch })
        }
        Message::Batch { .. } => Heard::Nothing,
        Message::Have { epoch, number } => {
            usage_recorder.exported(epoch, number);
            Heard::Nothing
        }
    }
}

/// How long a tick's fetching may go on for one limiter before the others have their turn.
pub const MOST_AT_ONCE: usize = 64;

/// How often spools left behind are looked for.
pub const LOOK: Nanos = 2_000_000_000;
