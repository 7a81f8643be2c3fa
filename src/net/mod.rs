//! One real limiter on sockets, round the decision module.
//!
//! A request passes the [`stages`] in turn: take in, admit, route, send, relay, book. [`platform`] speaks the
//! platform's protocol to clients (north) and hosts (south), [`counter`] and [`inventory`] to the services.

pub mod backoff;
pub mod config;
pub mod console;
pub mod core;
pub mod counter;
pub mod export;
pub mod front;
pub mod inventory;
pub mod leases;
pub mod peers;
pub mod pipe;
pub mod platform;
pub mod reload;
pub mod shutdown;
pub mod stages;
pub mod steer;
pub mod tally;
pub mod task;
pub mod twin;

use self::backoff::Backoff;
use self::config::{Addresses, Config, Limits};
use self::core::Core;
use self::inventory::Inventory;
use self::platform::north::{self, North, Terms};
use self::platform::south::South;
use self::tally::Tally;
use self::twin::Twin;
use crate::api::{Action, Event};
use quartzcleat_admin::{Bans, Numbers};
use serde_json::Value;
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{watch, Notify};
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};

/// All parts of one limiter. One thread runs them; nothing is borrowed across a wait.
pub struct Node {
    /// Sizes, counts and times.
    pub limits: Rc<Limits>,
    /// The module and what is open.
    pub core: RefCell<Core>,
    /// Where the services listen, for those who follow their moves.
    pub addresses: watch::Sender<Addresses>,
    /// Hosts and the connections to them.
    pub south: South,
    /// The counter service.
    pub counter: counter::Counter,
    /// How far the end of the program has come.
    pub shutdown: Rc<shutdown::Shutdown>,
    /// Discovery's list as last told.
    pub inventory: RefCell<Inventory>,
    /// Told when the watch of discovery is behind, and is to be opened anew.
    pub watch_anew: Notify,
    /// The numbers of classes and plans.
    pub numbers: RefCell<Numbers>,
    /// What a request may ask for.
    pub terms: Rc<RefCell<Terms>>,
    /// The configuration in force, as it was read.
    pub file: RefCell<Value>,
    /// Servers that staff took out of service.
    pub bans: RefCell<Bans>,
    /// The other process of this limiter, while a new version takes over.
    pub twin: Twin,
    /// What is written down of each customer's use; nothing where it is not exported.
    pub ledger: OnceCell<Rc<export::Ledger>>,
    /// What is counted for those who watch, and how often it is told; nothing where nobody asked.
    pub tally: Option<(Duration, RefCell<Tally>)>,
    telling: Cell<bool>,
    actions: Cell<Vec<Action>>,
}

impl Node {
    /// A limiter that has been told nothing and is connected to nothing yet.
    pub fn new(config: Config) -> Rc<Self> {
        let Config {
            name,
            listen,
            console,
            settings,
            addresses,
            seed,
            limits,
            tally,
            zones,
            kinds,
            file,
            ..
        } = config;
        let numbers = Numbers::new(&settings);
        let twin = Twin::new(&name, listen, console.is_some());
        Rc::new(Node {
            south: South::new(settings.reports),
            addresses: watch::Sender::new(addresses),
            counter: counter::Counter::new(&limits),
            shutdown: Rc::new(shutdown::Shutdown::new(&limits)),
            inventory: RefCell::new(Inventory::new(zones, kinds)),
            watch_anew: Notify::new(),
            bans: RefCell::default(),
            twin,
            terms: Rc::new(RefCell::new(Terms::of(&settings, numbers.heard(0)))),
            numbers: RefCell::new(numbers),
            file: RefCell::new(file),
            core: RefCell::new(Core::new(settings, seed, &limits)),
            tally: tally.map(|every| (every, RefCell::new(Tally::new(name)))),
            ledger: OnceCell::new(),
            limits: Rc::new(limits),
            telling: Cell::default(),
            actions: Cell::default(),
        })
    }

    /// Tells the module what happened and carries out what it orders. What that causes in turn waits until all
    /// its actions are done: the module is never called from within its own actions.
    pub fn tell(self: &Rc<Self>, event: Event) {
        self.core.borrow_mut().tell(event);
        if self.telling.replace(true) {
            return;
        }
        let mut actions = self.actions.take();
        loop {
            let cause = self
                .tally
                .as_ref()
                .and_then(|(_, tally)| self.core.borrow().next().map(|event| tally.borrow_mut().told(event)));
            let more = self.core.borrow_mut().step(&mut actions);
            if !more {
                break;
            }
            if let (Some((_, tally)), Some(cause)) = (&self.tally, cause) {
                tally.borrow_mut().ordered(cause, &actions);
            }
            for action in actions.drain(..) {
                stages::route::carry_out(self, action);
            }
        }
        self.actions.set(actions);
        self.telling.set(false);
    }
}

/// Serves until told to end.
pub fn serve(config: Config) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    LocalSet::new().block_on(&runtime, run(config))
}

async fn run(config: Config) -> Result<(), String> {
    let (listen, console, known) = (config.listen, config.console, config.known.clone());
    let lease = config.lease.clone();
    let backoff = Backoff::of(&config.limits, config.seed);
    let node = Node::new(config);
    // Before anything is answered, so that no signal finds the program without a handler.
    shutdown::watch(&node)?;
    reload::watch(&node)?;
    if let Some(lease) = lease {
        if let Some(ledger) = leases::ledger(&lease)? {
            let _ = node.ledger.set(ledger);
        }
        leases::start(lease, &node.shutdown, node.ledger.get().cloned()).await?;
    }
    // What another process knows goes before the first list is believed.
    twin::look(&node);
    inventory::restore(&node, &known)?;
    counter::start(&node);
    tally::start(&node);
    task::spawn(inventory::follow(node.clone(), backoff));
    if !node.limits.list_by_asking {
        task::spawn(inventory::check(node.clone()));
    }
    let staff = match console {
        None => None,
        Some(at) => {
            let bound = TcpListener::bind(at).await;
            Some(bound.map_err(|e| format!("console: cannot listen on {at}: {e}"))?)
        }
    };
    // Guards against clients that are refused for want of hosts while the process before this one still serves them.
    if node.twin.beside() {
        twin::publish(&node);
        let until = Instant::now() + node.limits.catch_up;
        while !node.inventory.borrow().answered() && Instant::now() < until {
            sleep(node.limits.last_moment).await;
        }
        let until = Instant::now() + node.limits.inherit;
        while !twin::inherit(&node) && Instant::now() < until {
            sleep(node.limits.last_moment).await;
        }
    }
    let listener = open(listen).map_err(|e| format!("listen: cannot listen on {listen}: {e}"))?;
    if let Some(staff) = staff {
        node.twin.serving();
        twin::start(&node);
        task::spawn(console::accept(node.clone(), staff));
    }
    north::accept(&Rc::new(North::new(stages::take_in::desk(&node), node.terms.clone())), listener).await;
    shutdown::finish(&node).await;
    Ok(())
}

/// Listens for clients, beside another process of this limiter if there is one.
fn open(listen: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if listen.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Where this is not to be had, no other process can listen there, and this one still can.
    if let Err(e) = socket.set_reuseport(true) {
        tracing::info!("no second process can listen beside this one: {e}");
    }
    socket.bind(listen)?;
    socket.listen(1024)
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;
    use std::future::Future;

    /// A limiter of the example's settings with some of the text changed, on a thread of its own. What the
    /// module would be told stays in the queue, for the test to look at.
    pub(crate) fn with_node<F: Future<Output = ()>>(
        changes: &[(&str, &str)], test: impl FnOnce(Rc<Node>) -> F,
    ) {
        let text = include_str!("../../examples/toy.json").to_owned();
        let text = changes.iter().fold(text, |text, (from, to)| {
            assert!(text.contains(from), "the example holds {from}");
            text.replace(from, to)
        });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        LocalSet::new().block_on(&runtime.expect("a runtime starts"), async {
            let node = Node::new(config::read(&text, |_| None).expect("the configuration is sound"));
            node.telling.set(true);
            test(node).await;
        });
    }

    /// Waits for the next event that the module would be told.
    pub(crate) async fn next(node: &Rc<Node>) -> Event {
        loop {
            let event = node.core.borrow_mut().untold();
            if let Some(event) = event {
                return event;
            }
            tokio::time::sleep(node.limits.last_moment).await;
        }
    }
}
