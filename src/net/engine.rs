//! The decision module at work: its clock, the requests that are open, events in and actions out. Knows no
//! protocol: a front hands it a [`Request`] and gets one [`Answer`].

use super::config::Limits;
use super::streaming_body::Pipe;
use crate::api::*;
use crate::choice::{DecisionEngine, EngineSnapshot, EngineStatus};
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::ops::Range;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::sync::Notify;
use tokio::time::Instant;

/// The clock that all limiters share: Unix time in nanoseconds, read once and advanced by the monotonic clock.
/// Guards against windows cut at other moments than the other limiters cut theirs, and against leaps.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Nanos,
}

impl Clock {
    /// A clock read off the system's.
    pub fn new() -> Self {
        let unix = SystemTime::UNIX_EPOCH
            .elapsed()
            .map_or(0, |age| age.as_nanos() as Nanos);
        Clock {
            start: Instant::now(),
            unix,
        }
    }

    /// What it shows at a moment.
    pub fn at(&self, moment: Instant) -> Nanos {
        self.unix + moment.saturating_duration_since(self.start).as_nanos() as Nanos
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Where a request came from, and where its one answer goes.
pub trait Frontend {
    /// Gives the answer to the request that has this place.
    fn answer(&self, place: u64, answer: Answer);
}

/// The one final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Served, with the value as a host gave it.
    Served(Vec<u8>),
    /// Served, with a long value that comes bit by bit.
    Begun(Rc<Pipe>),
    /// The back-off answer: a new try is harmless, after this time.
    BackOff(Duration),
    /// Failed.
    Failed,
}

/// What a host is to get: words that are passed on as they came, but for the wait that one of them tells.
#[derive(Clone, Debug)]
pub struct Payload {
    /// The words, one behind another.
    pub bytes: Vec<u8>,
    /// Where in `bytes` each of them stands.
    pub words: Vec<Range<usize>>,
    /// Where in `bytes` the wait stands, in milliseconds.
    pub wait: Range<usize>,
}

/// A request as a front hands it in.
#[derive(Clone)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class's number; past the last one where it is not known.
    pub class: u32,
    /// Its plan's number; past the last one where it is not known.
    pub plan: u32,
    /// Its customer.
    pub customer: CustomerId,
    /// The units that it takes from the quota.
    pub units: f64,
    /// How many limiters its customer's requests may arrive through.
    pub spread: u32,
    /// The first of these.
    pub first: u32,
    /// Flags as told.
    pub flags: u64,
    /// How long the client waits.
    pub wait: Duration,
    /// What goes to a host.
    pub payload: Payload,
}

/// A request taken and not yet answered.
struct Open {
    front: Rc<dyn Frontend>,
    place: u64,
    payload: Rc<Payload>,
    customer: CustomerId,
    units: f64,
    deadline: Instant,
    attempts: u32,
}

/// What a relay takes to its host.
#[derive(Debug)]
pub enum HostCommand {
    /// An attempt of a request.
    Attempt {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// What the host gets.
        payload: Rc<Payload>,
        /// Whose it is, and the units that it came with.
        used: (CustomerId, f64),
    },
    /// A probe.
    HealthCheck,
}

/// One relay: an attempt or probe that the module ordered, on its way to its host and back.
#[derive(Debug)]
pub struct HostCall {
    /// What it takes there.
    pub command: HostCommand,
    /// The host.
    pub host: HostId,
    /// When the module ordered it.
    pub began: Instant,
    /// When the host must have all of it, or never gets it.
    pub begin_by: Instant,
    /// When it is given up.
    pub until: Instant,
    /// Told when the module takes it back, or when nobody waits for it before it is written.
    pub cancel: Rc<Cancellation>,
}

/// How a relay is taken back, and whether its host has all of it.
#[derive(Debug, Default)]
pub struct Cancellation {
    /// Told when it is taken back.
    pub asked: Notify,
    /// Its last byte has been written: the host may begin it.
    pub written: Cell<bool>,
}

/// The module, what it is to be told, and what is open.
pub struct Engine {
    gateway: DecisionEngine,
    clock: Clock,
    told: VecDeque<Event>,
    open: HashMap<RequestId, Open>,
    /// The relays that are out.
    out: HashMap<(RequestId, u32), Rc<Cancellation>>,
    /// Bytes of requests held, and of answers that clients have not taken.
    held: Rc<Cell<usize>>,
    max_open: usize,
    max_held: usize,
    max_attempts: u32,
    /// The most attempts that a request of any settings so far may have had.
    most_attempts: u32,
}

impl Engine {
    /// A core that has been told nothing yet.
    pub fn new(settings: Settings, seed: u64, limits: &Limits) -> Self {
        let clock = Clock::new();
        Engine {
            gateway: DecisionEngine::new(settings, seed, clock.at(Instant::now())),
            clock,
            told: VecDeque::new(),
            open: HashMap::new(),
            out: HashMap::new(),
            held: Rc::default(),
            max_open: limits.max_open,
            max_held: limits.held_bytes,
            max_attempts: limits.max_attempts,
            most_attempts: limits.max_attempts,
        }
    }

    /// Keeps to other limits from now on.
    pub fn retune(&mut self, limits: &Limits) {
        (self.max_open, self.max_attempts) = (limits.max_open, limits.max_attempts);
        self.most_attempts = self.most_attempts.max(limits.max_attempts);
    }

    /// Puts an event behind those that the module has yet to take.
    pub fn tell(&mut self, event: Event) {
        self.told.push_back(event);
    }

    /// Lets the module take the next event and appends its actions; false where there is none.
    pub fn step(&mut self, actions: &mut Vec<Action>) -> bool {
        let Some(mut event) = self.told.pop_front() else {
            return false;
        };
        if let Event::AttemptDone { id, over, .. } = &mut event {
            // Whether the request is over is a matter of this moment: what was told before may have ended it.
            *over |= !self.open.contains_key(id);
        }
        let now = self.clock.at(Instant::now());
        let gateway = &mut self.gateway;
        // Guards against a fault of the module on one event ending all that is open: each request has its last
        // moment, at which it is failed whatever the module says.
        if catch_unwind(AssertUnwindSafe(|| gateway.handle(now, event, actions))).is_err() {
            tracing::error!("the decision module failed on an event");
        }
        true
    }

    /// The event that the module takes next.
    pub fn next(&self) -> Option<&Event> {
        self.told.front()
    }

    /// What the module believes, and when that is.
    pub fn view(&self) -> (Nanos, EngineStatus) {
        (self.clock.at(Instant::now()), self.gateway.status())
    }

    /// What the module has learned.
    pub fn learned(&self) -> EngineSnapshot {
        self.gateway.snapshot()
    }

    /// The next event that the module has yet to take, for tests.
    #[cfg(test)]
    pub(crate) fn untold(&mut self) -> Option<Event> {
        self.told.pop_front()
    }

    /// Whether a request may be taken: there is room, and its id is not in use.
    pub fn has_room(&self) -> bool {
        self.open.len() < self.max_open && self.held.get() < self.max_held
    }

    /// Whether a request of this id is open or still out at a host.
    pub fn knows(&self, id: RequestId) -> bool {
        self.open.contains_key(&id)
            || (0..self.most_attempts).any(|n| self.out.contains_key(&(id, n)))
    }

    /// The tally of bytes held, to which fronts add what their clients have not taken.
    pub fn held(&self) -> Rc<Cell<usize>> {
        self.held.clone()
    }

    /// Holds a request until it is answered; returns its deadline.
    pub fn open(
        &mut self,
        front: Rc<dyn Frontend>,
        place: u64,
        request: &mut Request,
        came: Instant,
    ) -> Instant {
        let payload = std::mem::replace(
            &mut request.payload,
            Payload {
                bytes: Vec::new(),
                words: Vec::new(),
                wait: 0..0,
            },
        );
        let deadline = came + request.wait;
        self.held.set(self.held.get() + payload.bytes.len());
        let (payload, customer, units) = (Rc::new(payload), request.customer, request.units);
        let open = Open {
            front,
            place,
            payload,
            customer,
            units,
            deadline,
            attempts: 0,
        };
        self.open.insert(request.id, open);
        deadline
    }

    /// Ends a request; where its answer goes, if it was open. Guards against an attempt that begins once nobody waits
    /// for it (its connection comes up late, its host is slow to take it): one that is not written is taken back.
    pub fn close(&mut self, id: RequestId) -> Option<(Rc<dyn Frontend>, u64)> {
        let open = self.open.remove(&id)?;
        for attempt in 0..open.attempts {
            if let Some(cancel) = self
                .out
                .get(&(id, attempt))
                .filter(|cancel| !cancel.written.get())
            {
                cancel.asked.notify_one();
            }
        }
        self.held.set(self.held.get() - open.payload.bytes.len());
        Some((open.front, open.place))
    }

    /// The requests that are open.
    pub fn open_ids(&self) -> Vec<RequestId> {
        self.open.keys().copied().collect()
    }

    /// How many requests are open.
    pub fn count_open(&self) -> usize {
        self.open.len()
    }

    /// Begins an attempt. `Err` is its number where it must not be made: the request is over, its time is, or
    /// it had all its attempts.
    ///
    /// # Errors
    /// The attempt must not be made; the error is its number.
    pub fn begin(
        &mut self,
        id: RequestId,
        host: HostId,
        (timeout, begins_within): (Nanos, Nanos),
        now: Instant,
    ) -> Result<HostCall, u32> {
        let Some(open) = self.open.get_mut(&id) else {
            return Err(0);
        };
        let attempt = open.attempts;
        open.attempts += 1;
        if attempt >= self.max_attempts || now >= open.deadline {
            return Err(attempt);
        }
        let until = match timeout {
            0 => open.deadline,
            _ => open.deadline.min(now + Duration::from_nanos(timeout)),
        };
        let begin_by = until.min(
            now.checked_add(Duration::from_nanos(begins_within))
                .unwrap_or(until),
        );
        let cancel = Rc::new(Cancellation::default());
        self.out.insert((id, attempt), cancel.clone());
        let used = (open.customer, open.units);
        let command = HostCommand::Attempt {
            id,
            attempt,
            payload: open.payload.clone(),
            used,
        };
        Ok(HostCall {
            command,
            host,
            began: now,
            begin_by,
            until,
            cancel,
        })
    }

    /// Takes an attempt back, if it is out.
    pub fn cancel(&self, id: RequestId, attempt: u32) {
        if let Some(cancel) = self.out.get(&(id, attempt)) {
            cancel.asked.notify_one();
        }
    }

    /// Marks an attempt as no longer out.
    pub fn end(&mut self, id: RequestId, attempt: u32) {
        self.out.remove(&(id, attempt));
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::super::tests::with_limiter;
    use super::*;
    use std::cell::RefCell;

    /// A front that keeps what it is given.
    #[derive(Default)]
    pub(crate) struct RecordingFrontend(pub RefCell<Vec<(u64, Answer)>>);

    impl Frontend for RecordingFrontend {
        fn answer(&self, place: u64, answer: Answer) {
            self.0.borrow_mut().push((place, answer));
        }
    }

    pub(crate) fn request(id: u64) -> Request {
        let payload = Payload {
            bytes: b"Q.ASKd=900,c=x".to_vec(),
            words: vec![0..5, 5..14],
            wait: 7..10,
        };
        let (id, customer, wait) = (RequestId(id), CustomerId(7), Duration::from_millis(900));
        Request {
            id,
            class: 0,
            plan: 1,
            customer,
            units: 1.0,
            spread: 1,
            first: 0,
            flags: 0,
            wait,
            payload,
        }
    }

    #[test]
    fn two_clocks_agree_and_never_go_back() {
        let (one, two, now) = (Clock::new(), Clock::new(), Instant::now());
        assert!(one.at(now).abs_diff(two.at(now)) < 50_000_000);
        assert!(one.at(now + Duration::from_millis(3)) >= one.at(now) + 3_000_000);
        assert!(
            one.at(now) > 1_700_000_000_000_000_000,
            "Unix time, not time since the start"
        );
    }

    /// Numbers follow the orders, time-outs are cut to the deadline, and what must not be sent is not.
    #[test]
    fn attempts_keep_to_cap_and_deadline() {
        with_limiter(&[], |limiter| async move {
            let (mut engine, now) = (limiter.engine.borrow_mut(), Instant::now());
            let deadline = engine.open(
                Rc::new(RecordingFrontend::default()),
                0,
                &mut request(1),
                now,
            );
            let host = HostId(5);
            for timeout in [0, 5_000_000_000, 1_000_000, 0] {
                let relay = engine
                    .begin(RequestId(1), host, (timeout, Nanos::MAX), now)
                    .expect("within the cap");
                let until = if timeout == 1_000_000 {
                    now + Duration::from_millis(1)
                } else {
                    deadline
                };
                assert_eq!(relay.until, until);
            }
            assert_eq!(engine.begin(RequestId(1), host, (0, 1), now).err(), Some(4));
            engine.open(
                Rc::new(RecordingFrontend::default()),
                0,
                &mut request(2),
                now,
            );
            assert_eq!(
                engine.begin(RequestId(2), host, (0, 1), deadline).err(),
                Some(0)
            );
            assert_eq!(engine.begin(RequestId(3), host, (0, 1), now).err(), Some(0));
            // An id is in use until its last attempt has ended.
            engine.close(RequestId(1));
            assert!(engine.knows(RequestId(1)));
            (0..4).for_each(|attempt| engine.end(RequestId(1), attempt));
            assert!(!engine.knows(RequestId(1)));
        });
    }
}
