//! The interface of the decision module: what it is told ([`Settings`], [`Event`]) and what it asks for
//! ([`Action`]). Plain data, no decisions. In [`Settings`] a zero, `false` or empty list means "not told";
//! what follows from that is for the decision module to say.

/// A point on, or a span of, the caller's clock, in nanoseconds.
pub type Nanos = u64;

/// A request (one try of a client), unique for the life of the day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A back-end host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u32);

/// A customer, the owner of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub u64);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    Retryable,
    /// Carries a key; hosts of one group drop repeats for a while.
    Keyed,
    /// Must never run twice.
    #[default]
    Unsafe,
}

/// The hosts that drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Group {
    /// All hosts.
    All,
    /// The hosts of one zone.
    Zone,
    #[default]
    /// The hosts of one cell.
    Cell,
}

/// A class of request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Its name, for people only.
    pub name: String,
    /// Whether it may run more than once.
    pub effect: Effect,
    /// For a keyed class: which hosts drop its repeats.
    pub group: Group,
    /// For a keyed class: how long they do, from sending the first attempt that may have run.
    pub dedup_window: Nanos,
    /// An answer within this time earns its full worth.
    pub latency_objective: Nanos,
    /// The aim is longer by this multiple of the request's own work.
    pub latency_objective_stretch: f64,
    /// How long a client waits in all, over its tries.
    pub deadline: Nanos,
    /// What an answer is worth.
    pub priority_weight: f64,
    /// The part of the worth that an answer past the aim still earns.
    pub late_weight: f64,
    /// The answer is streamed.
    pub stream: bool,
}

/// A plan: the quota of each of its customers, over all gateways together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Its name, for people only.
    pub name: String,
    /// Units a second at which a customer's quota refills; zero: no such quota.
    pub rate: f64,
    /// The most units the quota holds.
    pub burst: f64,
    /// The most attempts out at once; zero: no such quota.
    pub open: u32,
    /// Multiplies the worth of its requests.
    pub weight_factor: f64,
    /// The part of its worth that a request sent on beyond the quota earns.
    pub over_quota_weight: f64,
    /// The part of its worth that such a request costs.
    pub over_quota_cost: f64,
    /// Units a second at which the hard ceiling refills; zero: no ceiling.
    pub ceiling_rate: f64,
    /// The most units the ceiling holds.
    pub ceiling_burst: f64,
    /// How far the ceiling may be overdrawn.
    pub ceiling_slack: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportSource {
    /// They come with answers and probes.
    Answers,
    /// They come with probes only.
    Probes,
    #[default]
    /// There are none.
    Nowhere,
}

/// What a gateway is told once, at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The classes of request, by their numbers.
    pub classes: Vec<Class>,
    /// The plans, by their numbers.
    pub plans: Vec<Plan>,
    /// How many gateways there are.
    pub limiter_count: u32,
    /// This gateway's number among them, from zero.
    pub me: u32,
    /// The zone this gateway is in.
    pub zone: u32,
    /// The shortest gap between two batches of events.
    pub tick: Nanos,
    /// The host list comes only to those who ask.
    pub discovery_by_polling: bool,
    /// Where load reports come from.
    pub reports: ReportSource,
    /// There is a counter service.
    pub counter: bool,
    /// A counter call without an answer by then ends as a time-out.
    pub counter_timeout: Nanos,
    /// The price of one call for each request.
    pub counter_price: f64,
    /// Units are a guess; the true ones come with the first good answer.
    pub settled_later: bool,
    /// The most units that one request counts.
    pub largest_request: f64,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Hosts may be probed.
    pub may_health_check: bool,
    /// Messages to peers may be sent.
    pub may_message_peers: bool,
    /// A request may have two attempts out at once.
    pub hedged_requests: bool,
    /// Clients are told how long to stay away.
    pub retry_after: bool,
    /// The longest such time that clients follow.
    pub longest_retry_after: Nanos,
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// The most requests that this gateway can hold.
    pub max_open: u32,
    /// A connection not made by then has failed.
    pub connect_timeout: Nanos,
    /// A final answer is still in time this long after the deadline.
    pub answer_grace: Nanos,
    /// Nothing new may go to a draining host later than this.
    pub drain_grace: Nanos,
    /// A host starts with this part of its capacity at least.
    pub slow_start_floor: f64,
    /// It is warm after this time at the latest.
    pub slow_start_duration: Nanos,
    /// A cold host tips when sent this multiple of what it can do ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_duration: Nanos,
    /// Price of one attempt across zones for each request.
    pub cross_zone_price: f64,
    /// Price of as much work wasted as was asked for.
    pub waste_price: f64,
    /// Price of all failing only after the aim.
    pub late_failure_price: f64,
    /// Price of one probe for each request.
    pub health_check_price: f64,
}

/// What discovery says of a host's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostState {
    /// It takes requests.
    Ready,
    /// It finishes what it has; nothing new may go there.
    Draining,
    #[default]
    /// It is gone.
    Gone,
}

/// One line of the host list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostEntry {
    /// Which host.
    pub host: HostId,
    /// What is known of its process.
    pub state: HostState,
    /// Its cell.
    pub cell: u32,
    /// Its zone.
    pub zone: u32,
    /// Its kind of machine.
    pub kind: u32,
    /// Time of the latest start; zero: long past.
    pub started: Nanos,
    /// Its size beside others'; zero: not told.
    pub weight: f64,
}

/// How a host list relates to the one held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    /// Only the entries that changed.
    Update,
    /// The complete list.
    Replace,
    /// The complete list as last held before a restart; it may be out of date.
    Restored,
    /// A discovery call failed or the subscription broke; the list held stays valid.
    Unavailable,
}

/// How an attempt, a probe or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Done.
    Good,
    /// The host answered with an error; it may have run.
    Error,
    /// Turned away without being looked at.
    Rejected,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection came about.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// It was taken back; it may have run.
    Cancelled,
    /// The attempt was not allowed and did nothing.
    NeverSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NeverSent)
    }
}

/// A host's load report: name and value pairs.
pub type Load = Vec<(String, f64)>;

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of hosts, or changes to it.
    Hosts {
        /// Version of the list.
        version: u64,
        /// How the entries relate to the list held.
        mode: ListMode,
        /// The entries.
        entries: Vec<HostEntry>,
    },
    /// A client's try came in; it is owed exactly one final answer.
    Request {
        /// The request.
        id: RequestId,
        /// Its class's number.
        class: u32,
        /// Its plan's number.
        plan: u32,
        /// Its customer.
        customer: CustomerId,
        /// How long until the client gives up on this try.
        budget: Nanos,
        /// The units it takes out of the quota.
        units: f64,
        /// How many gateways this customer's requests may arrive through.
        spread: u32,
        /// The number of the first of these.
        first_limiter: u32,
        /// Flags as told; they decide nothing.
        flags: u64,
    },
    /// A streamed answer has begun; its deadline is void.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt's number, from zero.
        attempt: u32,
        /// The host.
        host: HostId,
        /// How long it took.
        elapsed: Nanos,
    },
    /// An attempt ended; each gets exactly one of these.
    AttemptDone {
        /// The request.
        id: RequestId,
        /// The attempt's number, from zero.
        attempt: u32,
        /// The host.
        host: HostId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        elapsed: Nanos,
        /// The request is finished, by this outcome or before it.
        over: bool,
        /// The customer's use as the meter tells it; zero: not told.
        metered_use: u64,
        /// The request's true units where they were a guess; zero: not told.
        true_units: f64,
        /// The host's load report, if one came along.
        load: Load,
    },
    /// The client went away; nothing is owed any more.
    Abandoned {
        /// The request.
        id: RequestId,
    },
    /// A timer set with [`Action::SetTimer`] is due.
    Timer {
        /// The timer's tag.
        tag: String,
    },
    /// The result of an [`Action::HealthCheck`].
    HealthCheckDone {
        /// The host.
        host: HostId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        elapsed: Nanos,
        /// The host's load report, if one came along.
        load: Load,
    },
    /// New settings, which hold from now on. Classes and plans keep the numbers that requests may have.
    SettingsChanged {
        /// Them.
        settings: Box<Settings>,
    },
    /// What the gateway had learned in whose place this one is; nothing was requested of this one yet.
    SnapshotInherited {
        /// That.
        learned: Box<crate::EngineSnapshot>,
    },
    /// A message from another gateway.
    Peer {
        /// The sender's number.
        from: u32,
        /// The message.
        bytes: Vec<u8>,
    },
    /// The answer to one [`Action::Count`]; for a name they come in the order of the calls.
    CounterReplied {
        /// The count's name.
        name: String,
        /// How it ended.
        outcome: Outcome,
        /// Its total after the call, valid with [`Outcome::Good`].
        total: f64,
        /// How long it took.
        elapsed: Nanos,
    },
}

/// Which peers a message goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peers {
    /// Every other gateway.
    All,
    /// The gateway of this number.
    One(u32),
}

/// What the gateway is to do, at the time of the event that caused it and in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a host.
    Attempt {
        /// The request.
        id: RequestId,
        /// The host.
        host: HostId,
        /// Give up waiting after this time.
        timeout: Nanos,
        /// It must have begun within this time, or not at all.
        begins_within: Nanos,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Final answer: refused; trying again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should stay away; zero: no advice.
        retry_after: Nanos,
    },
    /// Final answer: failed; it promises nothing.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Bring back an [`Event::Timer`].
    SetTimer {
        /// The tag to bring back.
        tag: String,
        /// How long from now.
        after: Nanos,
    },
    /// Ask a host how it is.
    HealthCheck {
        /// The host.
        host: HostId,
    },
    /// Close the idle connections to a host.
    CloseIdle {
        /// The host.
        host: HostId,
    },
    /// Send a message to other gateways.
    MessagePeers {
        /// Which of them.
        to: Peers,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Add to a count at the counter service and get its total back.
    Count {
        /// The count's name.
        name: String,
        /// What to add; zero only reads.
        amount: f64,
        /// How long a new name is kept.
        keep_for: Nanos,
    },
    /// Ask to be told of changes to the host list, or no longer.
    Watch {
        /// Whether to be told.
        on: bool,
    },
    /// Ask for the complete host list once.
    FetchHosts,
    /// A line for the operators.
    Log {
        /// The line.
        text: String,
    },
}
