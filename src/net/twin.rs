//! The other process of this limiter, while a new version takes over. Each process that has a console keeps one file
//! in `$TMPDIR` with what it tells ([`State`]), written whole and then renamed, and holds a lock beside it for as long
//! as it lives. Both look for the other's now and then; the later word on each matter holds for both.

use super::shutdown::unix;
use super::task::spawn;
use super::{inventory, Node};
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
pub struct Twin {
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

impl Twin {
    /// Nothing known of another process. Without a console there is none.
    pub fn new(name: &str, listen: SocketAddr, shared: bool) -> Self {
        let born = unix();
        Twin {
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

    fn state(&self, node: &Node) -> State {
        let bans = node.bans.borrow();
        State {
            version: VERSION,
            name: self.name.clone(),
            listen: self.listen.clone(),
            born: self.born,
            serving: self.serving.get(),
            drain: node.shutdown.switch(),
            words: bans.words().clone(),
            listed: bans.names().cloned().collect(),
        }
    }
}

/// Writes what this process tells, if it has changed.
pub fn publish(node: &Rc<Node>) {
    let twin = &node.twin;
    let Some(folder) = &twin.folder else { return };
    let told = Some((node.bans.borrow().revision(), node.shutdown.switch(), twin.serving.get()));
    if twin.published.get() == told {
        return;
    }
    let text = twin.state(node).write();
    let write = || {
        if twin.lock.borrow().is_none() {
            let lock = File::create(folder.join(format!("{}.lock", twin.own)))?;
            lock.try_lock().map_err(std::io::Error::from)?;
            *twin.lock.borrow_mut() = Some(lock);
        }
        let draft = folder.join(format!("{}.new", twin.own));
        fs::write(&draft, &text)?;
        fs::rename(&draft, folder.join(format!("{}.json", twin.own)))
    };
    match write() {
        Ok(()) => {
            twin.published.set(told);
            twin.ended.take().iter().for_each(|file| drop(fs::remove_file(file)));
        }
        Err(e) => tracing::warn!("cannot tell a second process of this limiter in {}: {e}", folder.display()),
    }
}

/// Whether the process that keeps a lock lives.
fn lives(lock: &Path) -> bool {
    File::open(lock).is_ok_and(|file| matches!(file.try_lock(), Err(TryLockError::WouldBlock)))
}

/// Takes in what other processes of this limiter tell; the word of one that has ended holds too.
pub fn look(node: &Rc<Node>) {
    let twin = &node.twin;
    let Some(folder) = &twin.folder else { return };
    let mut other = None;
    let Ok(files) = fs::read_dir(folder) else { return };
    for file in files.flatten() {
        let file = file.file_name().to_string_lossy().into_owned();
        let Some(stem) = file.strip_suffix(".json").filter(|stem| stem.starts_with(PREFIX)) else {
            continue;
        };
        if stem == twin.own {
            continue;
        }
        let Ok(text) = fs::read_to_string(folder.join(&file)) else { continue };
        let state = match State::read(&text, &twin.name, &twin.listen) {
            Ok(state) => state,
            Err(problem) => {
                if twin.seen.borrow_mut().insert(file.clone(), text).is_none() {
                    tracing::warn!("{file} is left alone: {problem}");
                }
                continue;
            }
        };
        let alive = lives(&folder.join(format!("{stem}.lock")));
        if alive && state.serving {
            other = other.max(Some(state.born));
        }
        if alive && !state.serving && state.born > twin.born && twin.serving.get() {
            hand_over(node, folder, stem);
        }
        let known = twin.seen.borrow_mut().insert(file.clone(), text.clone()) == Some(text);
        if !known {
            take(node, &state);
        }
        if !alive {
            // Its words are told anew by this process first.
            twin.published.set(None);
            let files = ["json", "lock", HERITAGE].map(|end| folder.join(format!("{stem}.{end}")));
            twin.ended.borrow_mut().extend(files);
        }
    }
    // Guards against two processes that hold together more than one may.
    node.limits.sharers.set(1 + usize::from(other.is_some()));
    if twin.other.replace(other).is_some() != other.is_some() {
        tracing::info!(beside = other.is_some(), "another process of this limiter");
    }
}

fn take(node: &Rc<Node>, state: &State) {
    let mut bans = node.bans.borrow_mut();
    state.listed.iter().for_each(|name| bans.list(name));
    let changed = bans.merge(&state.words);
    drop(bans);
    changed.iter().for_each(|name| inventory::judge_again(node, name));
    node.shutdown.say(|doors| doors.merge(state.drain));
}

/// Hands over what this process knows to a later one that is about to take clients, once.
fn hand_over(node: &Rc<Node>, folder: &Path, heir: &str) {
    let twin = &node.twin;
    if !twin.heirs.borrow_mut().insert(heir.to_owned()) {
        return;
    }
    let (inventory, learned) = (node.inventory.borrow(), node.core.borrow().learned());
    let told = Heritage::new(&twin.name, &twin.listen, inventory.zones().to_vec(), inventory.list(), learned);
    let draft = folder.join(format!("{heir}.draft"));
    let written = fs::write(&draft, told.write())
        .and_then(|()| fs::rename(&draft, folder.join(format!("{heir}.{HERITAGE}"))));
    match written {
        Ok(()) => tracing::info!("a later process of this limiter is told what this one knows"),
        Err(e) => tracing::warn!("a later process of this limiter starts without what this one knows: {e}"),
    }
}

/// Takes what another process handed over, if it has; whether nothing more is to be waited for.
pub fn inherit(node: &Rc<Node>) -> bool {
    let twin = &node.twin;
    let Some(folder) = &twin.folder else { return true };
    let file = folder.join(format!("{}.{HERITAGE}", twin.own));
    let Ok(text) = fs::read_to_string(&file) else { return false };
    drop(fs::remove_file(&file));
    let mut told = match Heritage::read(&text, &twin.name, &twin.listen) {
        Ok(told) => told,
        Err(problem) => {
            tracing::warn!("what another process handed over is left alone: {problem}");
            return true;
        }
    };
    if !node.inventory.borrow().answered() {
        if let Err(problem) = inventory::restore(node, &told.list) {
            tracing::warn!("the list that another process handed over is left alone: {problem}");
        }
    }
    let mut inventory = node.inventory.borrow_mut();
    for (zone, ..) in &mut told.learned.zones {
        *zone = inventory.zone(&told.zones, *zone);
    }
    drop(inventory);
    tracing::info!(
        hosts = told.learned.hosts.len(),
        customers = told.learned.customers.len(),
        "goes on from what the process before it knew"
    );
    node.tell(Event::TakenOver { learned: Box::new(told.learned) });
    true
}

/// Tells and looks now and then.
pub fn start(node: &Rc<Node>) {
    publish(node);
    let node = node.clone();
    spawn(async move {
        loop {
            sleep(node.limits.look).await;
            look(&node);
            publish(&node);
        }
    });
}
