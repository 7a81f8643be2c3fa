//! The other process of this limiter, while a new version takes over. Each process that has a console keeps one file
//! in `$TMPDIR` with what it tells ([`State`]), written whole and then renamed, and holds a lock beside it for as long
//! as it lives. Both look for the other's now and then; the later word on each matter holds for both.

pub mod listener_handover;

use super::shutdown::unix;
use super::task::spawn;
use super::{discovery, Limiter};
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

impl HotRestart {
    /// Nothing known of another process. Without a console there is none.
    pub fn new(name: &str, listen: SocketAddr, shared: bool) -> Self {
        let born = unix();
        HotRestart {
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

    fn state(&self, limiter: &Limiter) -> State {
        let bans = limiter.bans.borrow();
        State {
            version: VERSION,
            name: self.name.clone(),
            listen: self.listen.clone(),
            born: self.born,
            serving: self.serving.get(),
            drain: limiter.shutdown.switch(),
            words: bans.words().clone(),
            listed: bans.names().cloned().collect(),
        }
    }
}

/// Writes what this process tells, if it has changed.
pub fn publish(limiter: &Rc<Limiter>) {
    let hot_restart = &limiter.hot_restart;
    let Some(folder) = &hot_restart.folder else {
        return;
    };
    let told = Some((
        limiter.bans.borrow().revision(),
        limiter.shutdown.switch(),
        hot_restart.serving.get(),
    ));
    if hot_restart.published.get() == told {
        return;
    }
    let text = hot_restart.state(limiter).write();
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
pub fn look(limiter: &Rc<Limiter>) {
    let hot_restart = &limiter.hot_restart;
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
            hand_over(limiter, folder, stem);
        }
        let known = hot_restart
            .seen
            .borrow_mut()
            .insert(file.clone(), text.clone())
            == Some(text);
        if !known {
            take(limiter, &state);
        }
        if !alive {
            // Its words are told anew by this process first.
            hot_restart.published.set(None);
            let files = ["json", "lock", HERITAGE].map(|end| folder.join(format!("{stem}.{end}")));
            hot_restart.ended.borrow_mut().extend(files);
        }
    }
    // Guards against two processes that hold together more than one may.
    limiter.limits.sharers.set(1 + usize::from(other.is_some()));
    if hot_restart.other.replace(other).is_some() != other.is_some() {
        tracing::info!(beside = other.is_some(), "another process of this limiter");
    }
}

fn take(limiter: &Rc<Limiter>, state: &State) {
    let mut bans = limiter.bans.borrow_mut();
    state.listed.iter().for_each(|name| bans.list(name));
    let changed = bans.merge(&state.words);
    drop(bans);
    changed
        .iter()
        .for_each(|name| discovery::judge_again(limiter, name));
    limiter.shutdown.say(|doors| doors.merge(state.drain));
}

/// Hands over what this process knows to a later one that is about to take clients, once.
fn hand_over(limiter: &Rc<Limiter>, folder: &Path, heir: &str) {
    let hot_restart = &limiter.hot_restart;
    if !hot_restart.heirs.borrow_mut().insert(heir.to_owned()) {
        return;
    }
    let (endpoints, learned) = (
        limiter.endpoints.borrow(),
        limiter.engine.borrow().learned(),
    );
    let told = Heritage::new(
        &hot_restart.name,
        &hot_restart.listen,
        endpoints.zones().to_vec(),
        endpoints.list(),
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
pub fn inherit(limiter: &Rc<Limiter>) -> bool {
    let hot_restart = &limiter.hot_restart;
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
    if !limiter.endpoints.borrow().answered() {
        if let Err(problem) = discovery::restore(limiter, &told.list) {
            tracing::warn!("the list that another process handed over is left alone: {problem}");
        }
    }
    let mut endpoints = limiter.endpoints.borrow_mut();
    for snapshot in &mut told.learned.zones {
        snapshot.zone = endpoints.zone(&told.zones, snapshot.zone);
    }
    drop(endpoints);
    tracing::info!(
        hosts = told.learned.hosts.len(),
        customers = told.learned.customers.len(),
        "goes on from what the process before it knew"
    );
    limiter.tell(Event::SnapshotInherited {
        learned: Box::new(told.learned),
    });
    true
}

/// Tells and looks now and then.
pub fn start(limiter: &Rc<Limiter>) {
    publish(limiter);
    let limiter = limiter.clone();
    spawn(async move {
        loop {
            sleep(limiter.limits.look).await;
            look(&limiter);
            publish(&limiter);
        }
    });
}
