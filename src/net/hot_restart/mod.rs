//! The other process of this limiter, while a new version takes over. Each process that has a console keeps one file
//! in `$TMPDIR` with what it tells ([`State`]), written whole and then renamed, and holds a lock beside it for as long
//! as it lives. Both look for the other's now and then; the later word on each matter holds for both.

pub mod listener_handover;

use super::config::Limits;
use super::discovery::DiscoveryClient;
use super::engine::EngineDriver;
use super::shutdown::unix;
use super::shutdown::Shutdown;
use super::task::spawn;
use crate::api::{Event, Nanos};
use quartzcleat_admin::{Heritage, State, Switch, VERSION};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fs::{self, File, TryLockError};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::time::sleep;

const PREFIX: &str = "quartzcleat-";
/// The end of the name of what is handed to the process whose name comes before it.
const HERITAGE: &str = "heritage";

/// What is held of the other process, and of what it is told.
pub struct HotRestart {
    limits: Rc<Limits>,
    engine: Rc<EngineDriver>,
    discovery: Rc<DiscoveryClient>,
    shutdown: Rc<Shutdown>,
    name: String,
    listen: String,
    born: Nanos,
    folder: Option<PathBuf>,
    own: String,
    /// Held locked while this process lives.
    lock: RefCell<Option<File>>,
    serving: Cell<bool>,
    published: Cell<Option<(u64, Switch, bool)>>,
    /// Files of processes that have ended, to be taken away once their words stand in the own one.
    ended: RefCell<Vec<PathBuf>>,
    /// What was read last of each file.
    seen: RefCell<HashMap<String, String>>,
    /// A living process of this limiter that takes clients, and when it started.
    other: Cell<Option<Nanos>>,
    /// Later processes to which was handed over what this one knows.
    heirs: RefCell<HashSet<String>>,
}

/// The parts of a limiter that two of its processes share the state of.
pub struct HotRestartParts {
    /// Sizes, counts and times.
    pub limits: Rc<Limits>,
    /// Hands over what it has learned.
    pub engine: Rc<EngineDriver>,
    /// Hands over its endpoint list; maintenance of either process holds for both.
    pub discovery: Rc<DiscoveryClient>,
    /// Draining of either process holds for both.
    pub shutdown: Rc<Shutdown>,
}

impl HotRestart {
    /// Nothing known of another process. Without a console there is none.
    pub fn new(parts: HotRestartParts, name: &str, listen: SocketAddr, shared: bool) -> Self {
        let HotRestartParts {
            limits,
            engine,
            discovery,
            shutdown,
        } = parts;
        let born = unix();
        HotRestart {
            limits,
            engine,
            discovery,
            shutdown,
            name: name.to_owned(),
            listen: listen.to_string(),
            born,
            folder: shared.then(std::env::temp_dir),
            own: format!("{PREFIX}{:x}-{:x}", born, std::process::id()),
            lock: RefCell::default(),
            serving: Cell::default(),
            published: Cell::default(),
            ended: RefCell::default(),
            seen: RefCell::default(),
            other: Cell::default(),
            heirs: RefCell::default(),
        }
    }

    /// Whether there may be another process.
    pub fn shared(&self) -> bool {
        self.folder.is_some()
    }

    /// Whether another process of this limiter takes clients.
    pub fn beside(&self) -> bool {
        self.other.get().is_some()
    }

    /// This process takes clients from now on.
    pub fn serving(&self) {
        self.serving.set(true);
    }

    /// Whether another process takes the clients that come.
    pub fn relieved(&self) -> bool {
        self.other.get().is_some_and(|born| born > self.born)
    }

    fn state(&self) -> State {
        let bans = self.discovery.maintenance().borrow();
        State {
            version: VERSION,
            name: self.name.clone(),
            listen: self.listen.clone(),
            born: self.born,
            serving: self.serving.get(),
            drain: self.shutdown.switch(),
            words: bans.words().clone(),
            listed: bans.names().cloned().collect(),
        }
    }
}

/// Writes what this process tells, if it has changed.
pub fn publish(hot_restart: &HotRestart) {
    let Some(folder) = &hot_restart.folder else {
        return;
    };
    let told = Some((
        hot_restart.discovery.maintenance().borrow().revision(),
        hot_restart.shutdown.switch(),
        hot_restart.serving.get(),
    ));
    if hot_restart.published.get() == told {
        return;
    }
    let text = hot_restart.state().write();
    let write = || {
        if hot_restart.lock.borrow().is_none() {
            let lock = File::create(folder.join(format!("{}.lock", hot_restart.own)))?;
            lock.try_lock().map_err(std::io::Error::from)?;
            *hot_restart.lock.borrow_mut() = Some(lock);
        }
        let draft = folder.join(format!("{}.new", hot_restart.own));
        fs::write(&draft, &text)?;
        fs::rename(&draft, folder.join(format!("{}.json", hot_restart.own)))
    };
    match write() {
        Ok(()) => {
            hot_restart.published.set(told);
            hot_restart
                .ended
                .take()
                .iter()
                .for_each(|file| drop(fs::remove_file(file)));
        }
        Err(e) => tracing::warn!(
            "cannot tell a second process of this limiter in {}: {e}",
            folder.display()
        ),
    }
}

/// Whether the process that keeps a lock lives.
fn lives(lock: &Path) -> bool {
    File::open(lock).is_ok_and(|file| matches!(file.try_lock(), Err(TryLockError::WouldBlock)))
}

/// Takes in what other processes of this limiter tell; the word of one that has ended holds too.
pub fn look(hot_restart: &HotRestart) {
    let Some(folder) = &hot_restart.folder else {
        return;
    };
    let mut other = None;
    let Ok(files) = fs::read_dir(folder) else {
        return;
    };
    for file in files.flatten() {
        let file = file.file_name().to_string_lossy().into_owned();
        let Some(stem) = file
            .strip_suffix(".json")
            .filter(|stem| stem.starts_with(PREFIX))
        else {
            continue;
        };
        if stem == hot_restart.own {
            continue;
        }
        let Ok(text) = fs::read_to_string(folder.join(&file)) else {
            continue;
        };
        let state = match State::read(&text, &hot_restart.name, &hot_restart.listen) {
            Ok(state) => state,
            Err(problem) => {
                if hot_restart
                    .seen
                    .borrow_mut()
                    .insert(file.clone(), text)
                    .is_none()
                {
                    tracing::warn!("{file} is left alone: {problem}");
                }
                continue;
            }
        };
        let alive = lives(&folder.join(format!("{stem}.lock")));
        if alive && state.serving {
            other = other.max(Some(state.born));
        }
        if alive && !state.serving && state.born > hot_restart.born && hot_restart.serving.get() {
            hand_over(hot_restart, folder, stem);
        }
        let known = hot_restart
            .seen
            .borrow_mut()
            .insert(file.clone(), text.clone())
            == Some(text);
        if !known {
            take(hot_restart, &state);
        }
        if !alive {
            // Its words are told anew by this process first.
            hot_restart.published.set(None);
            let files = ["json", "lock", HERITAGE].map(|end| folder.join(format!("{stem}.{end}")));
            hot_restart.ended.borrow_mut().extend(files);
        }
    }
    // Guards against two processes that hold together more than one may.
    hot_restart
        .limits
        .hot_restart
        .process_count
        .set(1 + usize::from(other.is_some()));
    if hot_restart.other.replace(other).is_some() != other.is_some() {
        tracing::info!(beside = other.is_some(), "another process of this limiter");
    }
}

fn take(hot_restart: &HotRestart, state: &State) {
    let mut bans = hot_restart.discovery.maintenance().borrow_mut();
    state.listed.iter().for_each(|name| bans.list(name));
    let changed = bans.merge(&state.words);
    drop(bans);
    changed
        .iter()
        .for_each(|name| hot_restart.discovery.reapply_maintenance(name));
    hot_restart.shutdown.say(|doors| doors.merge(state.drain));
}

/// Hands over what this process knows to a later one that is about to take clients, once.
fn hand_over(hot_restart: &HotRestart, folder: &Path, heir: &str) {
    if !hot_restart.heirs.borrow_mut().insert(heir.to_owned()) {
        return;
    }
    let (endpoints, learned) = (
        hot_restart.discovery.endpoints().borrow(),
        hot_restart.engine.snapshot(),
    );
    let told = Heritage::new(
        &hot_restart.name,
        &hot_restart.listen,
        endpoints.zones().to_vec(),
        endpoints.to_json(),
        learned,
    );
    let draft = folder.join(format!("{heir}.draft"));
    let written = fs::write(&draft, told.write())
        .and_then(|()| fs::rename(&draft, folder.join(format!("{heir}.{HERITAGE}"))));
    match written {
        Ok(()) => tracing::info!("a later process of this limiter is told what this one knows"),
        Err(e) => tracing::warn!(
            "a later process of this limiter starts without what this one knows: {e}"
        ),
    }
}

/// Takes what another process handed over, if it has; whether nothing more is to be waited for.
pub fn inherit(hot_restart: &HotRestart) -> bool {
    let Some(folder) = &hot_restart.folder else {
        return true;
    };
    let file = folder.join(format!("{}.{HERITAGE}", hot_restart.own));
    let Ok(text) = fs::read_to_string(&file) else {
        return false;
    };
    drop(fs::remove_file(&file));
    let mut told = match Heritage::read(&text, &hot_restart.name, &hot_restart.listen) {
        Ok(told) => told,
        Err(problem) => {
            tracing::warn!("what another process handed over is left alone: {problem}");
            return true;
        }
    };
    if !hot_restart.discovery.endpoints().borrow().has_received() {
        if let Err(problem) = hot_restart.discovery.restore(&told.list) {
            tracing::warn!("the list that another process handed over is left alone: {problem}");
        }
    }
    let mut endpoints = hot_restart.discovery.endpoints().borrow_mut();
    for (zone, ..) in &mut told.learned.zones {
        *zone = endpoints.zone(&told.zones, *zone);
    }
    drop(endpoints);
    tracing::info!(
        hosts = told.learned.hosts.len(),
        customers = told.learned.customers.len(),
        "goes on from what the process before it knew"
    );
    hot_restart.engine.handle(Event::SnapshotInherited {
        learned: Box::new(told.learned),
    });
    true
}

/// Publishes and looks at short intervals from now on.
pub fn start(hot_restart: &Rc<HotRestart>) {
    publish(hot_restart);
    let hot_restart = hot_restart.clone();
    spawn(async move {
        loop {
            sleep(hot_restart.limits.hot_restart.poll_interval).await;
            look(&hot_restart);
            publish(&hot_restart);
        }
    });
}
