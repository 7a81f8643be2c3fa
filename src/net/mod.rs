//! One real limiter on sockets, round the decision module.
//!
//! A request passes the [`stages`] in turn: take in, admit, route, send, relay, book. [`platform`] speaks the
//! platform's protocol to clients (north) and hosts (south), [`counter`] and [`inventory`] to the services.

pub mod config;
pub mod core;
pub mod counter;
pub mod inventory;
pub mod platform;
pub mod shutdown;
pub mod stages;

use self::config::{Config, Limits};
use self::core::Core;
use self::inventory::Inventory;
use self::platform::{north, south::South};
use crate::api::{Action, Event};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// All parts of one limiter. One thread runs them; nothing is borrowed across a wait.
pub struct Node {
    /// Sizes, counts and times.
    pub limits: Limits,
    /// The module and what is open.
    pub core: RefCell<Core>,
    /// Hosts and the connections to them.
    pub south: South,
    /// The counter service.
    pub counter: counter::Counter,
    /// How far the end of the program has come.
    pub shutdown: shutdown::Shutdown,
    /// Names of classes and plans, by their numbers.
    pub names: north::Names,
    telling: Cell<bool>,
    actions: Cell<Vec<Action>>,
}

impl Node {
    /// Tells the module what happened and carries out what it orders. What that causes in turn waits until all
    /// its actions are done: the module is never called from within its own actions.
    pub fn tell(self: &Rc<Self>, event: Event) {
        self.core.borrow_mut().tell(event);
        if self.telling.replace(true) {
            return;
        }
        let mut actions = self.actions.take();
        loop {
            let more = self.core.borrow_mut().step(&mut actions);
            if !more {
                break;
            }
            for action in actions.drain(..) {
                stages::route::carry_out(self, action);
            }
        }
        self.actions.set(actions);
        self.telling.set(false);
    }
}

/// Starts a task on the one thread there is.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    drop(tokio::task::spawn_local(task));
}

/// Serves until told to end.
pub fn serve(config: Config) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    LocalSet::new().block_on(&runtime, run(config))
}

async fn run(config: Config) -> Result<(), String> {
    let Config { listen, discovery, counter: address, seed, known, settings, zones, kinds, limits, .. } =
        config;
    let names = north::Names::of(&settings);
    let reports = settings.reports;
    let node = Rc::new(Node {
        core: RefCell::new(Core::new(settings, seed, &limits)),
        south: South::new(reports),
        counter: counter::Counter::new(address, &limits),
        shutdown: shutdown::Shutdown::default(),
        names,
        limits,
        telling: Cell::default(),
        actions: Cell::default(),
    });
    shutdown::watch(&node)?;
    let mut inventory = Inventory::new(zones, kinds);
    inventory.restore(&node, &known)?;
    counter::start(&node);
    spawn(inventory::follow(node.clone(), inventory, discovery));
    let listener =
        TcpListener::bind(listen).await.map_err(|e| format!("listen: cannot listen on {listen}: {e}"))?;
    north::accept(&node, listener).await;
    shutdown::finish(&node).await;
    Ok(())
}
