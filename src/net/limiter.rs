//! One limiter process: owns its parts, starts them, serves clients, and ends in order.

use super::config::{Addresses, Config, Limits};
use super::discovery::backoff::Backoff;
use super::discovery::EndpointList;
use super::engine::Engine;
use super::hot_restart::HotRestart;
use super::metrics::Metrics;
use super::resp::downstream::{self, Downstream, RequestCatalog};
use super::resp::upstream::Upstream;
use super::{
    admin, counter, discovery, hot_restart, leases, metrics, reload, shutdown, stages, task,
    usage_export,
};
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
pub struct Limiter {
    /// Sizes, counts and times.
    pub limits: Rc<Limits>,
    /// The module and what is open.
    pub engine: RefCell<Engine>,
    /// Where the services listen, for those who follow their moves.
    pub addresses: watch::Sender<Addresses>,
    /// Hosts and the connections to them.
    pub upstream: Upstream,
    /// The counter service.
    pub counter: counter::Counter,
    /// How far the end of the program has come.
    pub shutdown: Rc<shutdown::Shutdown>,
    /// Discovery's list as last told.
    pub endpoints: RefCell<EndpointList>,
    /// Told when the watch of discovery is behind, and is to be opened anew.
    pub reopen_watch: Notify,
    /// The numbers of classes and plans.
    pub numbers: RefCell<Numbers>,
    /// What a request may ask for.
    pub terms: Rc<RefCell<RequestCatalog>>,
    /// The configuration in force, as it was read.
    pub file: RefCell<Value>,
    /// Servers that staff took out of service.
    pub bans: RefCell<Bans>,
    /// The other process of this limiter, while a new version takes over.
    pub hot_restart: HotRestart,
    /// What is written down of each customer's use; nothing where it is not exported.
    pub usage_recorder: OnceCell<Rc<usage_export::UsageRecorder>>,
    /// What is counted for those who watch, and how often it is told; nothing where nobody asked.
    pub metrics: Option<(Duration, RefCell<Metrics>)>,
    telling: Cell<bool>,
    actions: Cell<Vec<Action>>,
}

impl Limiter {
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
            metrics,
            zones,
            kinds,
            file,
            ..
        } = config;
        let numbers = Numbers::new(&settings);
        let hot_restart = HotRestart::new(&name, listen, console.is_some());
        Rc::new(Limiter {
            upstream: Upstream::new(settings.reports),
            addresses: watch::Sender::new(addresses),
            counter: counter::Counter::new(&limits),
            shutdown: Rc::new(shutdown::Shutdown::new(&limits)),
            endpoints: RefCell::new(EndpointList::new(zones, kinds)),
            reopen_watch: Notify::new(),
            bans: RefCell::default(),
            hot_restart,
            terms: Rc::new(RefCell::new(RequestCatalog::of(
                &settings,
                numbers.heard(0),
            ))),
            numbers: RefCell::new(numbers),
            file: RefCell::new(file),
            engine: RefCell::new(Engine::new(settings, seed, &limits)),
            metrics: metrics.map(|every| (every, RefCell::new(Metrics::new(name)))),
            usage_recorder: OnceCell::new(),
            limits: Rc::new(limits),
            telling: Cell::default(),
            actions: Cell::default(),
        })
    }

    /// Tells the module what happened and carries out what it orders. What that causes in turn waits until all
    /// its actions are done: the module is never called from within its own actions.
    pub fn tell(self: &Rc<Self>, event: Event) {
        self.engine.borrow_mut().tell(event);
        if self.telling.replace(true) {
            return;
        }
        let mut actions = self.actions.take();
        loop {
            let cause = self.metrics.as_ref().and_then(|(_, metrics)| {
                self.engine
                    .borrow()
                    .next()
                    .map(|event| metrics.borrow_mut().told(event))
            });
            let more = self.engine.borrow_mut().step(&mut actions);
            if !more {
                break;
            }
            if let (Some((_, metrics)), Some(cause)) = (&self.metrics, cause) {
                metrics.borrow_mut().ordered(cause, &actions);
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
///
/// # Errors
/// A part cannot start: the runtime, a signal handler, a listening socket, the leases or the usage export.
pub fn serve(config: Config) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    LocalSet::new().block_on(&runtime, run(config))
}

async fn run(config: Config) -> Result<(), String> {
    let (listen, console, known) = (config.listen, config.console, config.known.clone());
    let lease = config.lease.clone();
    let backoff = Backoff::of(&config.limits, config.seed);
    let limiter = Limiter::new(config);
    // Before anything is answered, so that no signal finds the program without a handler.
    shutdown::watch(&limiter)?;
    reload::watch(&limiter)?;
    if let Some(lease) = lease {
        if let Some(usage_recorder) = leases::usage_recorder(&lease)? {
            let _ = limiter.usage_recorder.set(usage_recorder);
        }
        leases::start(
            lease,
            &limiter.shutdown,
            limiter.usage_recorder.get().cloned(),
        )
        .await?;
    }
    // What another process knows goes before the first list is believed.
    hot_restart::look(&limiter);
    discovery::restore(&limiter, &known)?;
    counter::start(&limiter);
    metrics::start(&limiter);
    task::spawn(discovery::follow(limiter.clone(), backoff));
    if !limiter.limits.list_by_asking {
        task::spawn(discovery::check(limiter.clone()));
    }
    let staff = match console {
        None => None,
        Some(at) => {
            let bound = TcpListener::bind(at).await;
            Some(bound.map_err(|e| format!("console: cannot listen on {at}: {e}"))?)
        }
    };
    // Guards against clients that are refused for want of hosts while the process before this one still serves them.
    if limiter.hot_restart.beside() {
        hot_restart::publish(&limiter);
        let until = Instant::now() + limiter.limits.catch_up;
        while !limiter.endpoints.borrow().answered() && Instant::now() < until {
            sleep(limiter.limits.last_moment).await;
        }
        let until = Instant::now() + limiter.limits.inherit;
        while !hot_restart::inherit(&limiter) && Instant::now() < until {
            sleep(limiter.limits.last_moment).await;
        }
    }
    let listener = open(listen).map_err(|e| format!("listen: cannot listen on {listen}: {e}"))?;
    if let Some(staff) = staff {
        limiter.hot_restart.serving();
        hot_restart::start(&limiter);
        task::spawn(admin::accept(limiter.clone(), staff));
    }
    downstream::accept(
        &Rc::new(Downstream::new(
            stages::accept::frontend_context(&limiter),
            limiter.terms.clone(),
        )),
        listener,
    )
    .await;
    shutdown::finish(&limiter).await;
    Ok(())
}

/// Listens for clients, beside another process of this limiter if there is one.
fn open(listen: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if listen.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
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
    pub(crate) fn with_limiter<F: Future<Output = ()>>(
        changes: &[(&str, &str)],
        test: impl FnOnce(Rc<Limiter>) -> F,
    ) {
        let text = include_str!("../../examples/toy.json").to_owned();
        let text = changes.iter().fold(text, |text, (from, to)| {
            assert!(text.contains(from), "the example holds {from}");
            text.replace(from, to)
        });
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        LocalSet::new().block_on(&runtime.expect("a runtime starts"), async {
            let limiter = Limiter::new(
                super::super::config::read(&text, |_| None).expect("the configuration is sound"),
            );
            limiter.telling.set(true);
            test(limiter).await;
        });
    }

    /// Waits for the next event that the module would be told.
    pub(crate) async fn next(limiter: &Rc<Limiter>) -> Event {
        loop {
            let event = limiter.engine.borrow_mut().untold();
            if let Some(event) = event {
                return event;
            }
            tokio::time::sleep(limiter.limits.last_moment).await;
        }
    }
}
