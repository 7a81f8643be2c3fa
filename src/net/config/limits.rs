//! The sizes, counts and times that one process keeps to.

use crate::api::Settings;
use std::cell::Cell;
use std::time::Duration;

/// Every size, count and time that the program is held to, filled at start and handed down.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The longest value, in bytes.
    pub value_bytes: usize,
    /// The longest value that is passed on as it comes, in bytes.
    pub bulk_bytes: usize,
    /// What may lie between host and client of such a value, in bytes, and as much again unsent.
    pub window: usize,
    /// How long a host may be silent within such a value.
    pub bulk_silence: Duration,
    /// How long a client may take nothing of what is there for it.
    pub north_stall: Duration,
    /// The longest message of a client or a host, in bytes.
    pub frame_bytes: usize,
    /// The most words of a command, and members of an array.
    pub words: usize,
    /// Bytes by which a read buffer grows at a time.
    pub read_bytes: usize,
    /// Requests and answers held, in bytes, past which new requests get a back-off answer.
    pub held_bytes: usize,
    /// Connections on the north side past which a further one takes the place of the one that has been idle
    /// longest; where none is idle, it gets only back-off answers.
    pub north_connections: usize,
    /// How long after it came up a client's connection may be without its first whole command, and how long any
    /// further command may take from its first byte to its last.
    pub north_command: Duration,
    /// How long a client's connection is kept idle.
    pub north_idle: Duration,
    /// By how much sooner one that never asked for anything makes room than one that did.
    pub north_stranger: Duration,
    /// How long a connection that was ended here is kept for its client to end it too.
    pub north_linger: Duration,
    /// How often it is looked whether a client has gone whose connection is not read from.
    pub north_look: Duration,
    /// Requests of one connection that are not answered yet, past which further ones are told to back off.
    pub north_pipeline: usize,
    /// Commands of one connection that may wait for their turn, those past the limit on requests included; what follows
    /// them is not read any more.
    pub north_waiting: usize,
    /// Bytes that a client has not taken yet, past which its connection is not read.
    pub north_unsent: usize,
    /// Open requests, past which new ones get a back-off answer.
    pub max_open: usize,
    /// Attempts of one request.
    pub max_attempts: u32,
    /// Whether clients are told when to come back.
    pub tells_when: Cell<bool>,
    /// What a client is told to wait where the limiter itself has no room.
    pub back_off: Cell<Duration>,
    /// How long before its deadline a request that nothing has answered is failed.
    pub last_moment: Duration,
    /// Callers of the console at once, past which the oldest makes room.
    pub callers: usize,
    /// How long a caller may take for its call.
    pub caller_time: Duration,
    /// The longest call, in bytes.
    pub call_bytes: usize,
    /// How often it is looked for a second process of this limiter, where there is a console.
    pub look: Duration,
    /// How long a call about a server not heard of waits for discovery's first list; its caller waits 1 s.
    pub first_list: Duration,
    /// How long a second process waits for what the first one knows: it is looked for every `look`.
    pub inherit: Duration,
    /// How long a second process waits for discovery before it takes clients.
    pub catch_up: Duration,
    /// How long the last connections may take to come up once others are steered to another process.
    pub steered: Duration,
    /// How many processes of this limiter share what it may hold.
    pub sharers: Cell<usize>,
    /// Connections to all hosts together.
    pub south_connections: usize,
    /// How long a connection to a host is kept idle.
    pub south_idle: Cell<Duration>,
    /// How long a connection to a host takes no relay after an answer.
    pub south_rest: Duration,
    /// How long a host may pause within an answer that is taken whole.
    pub south_answer: Duration,
    /// How long a connection to a host may take to come up.
    pub connect: Cell<Duration>,
    /// How long after the word of its drain a host may be sent what was decided before.
    pub drain: Cell<Duration>,
    /// Connections to the counter.
    pub counter_links: usize,
    /// How long a call to the counter may take.
    pub counter_call: Cell<Duration>,
    /// Calls held on one connection to the counter.
    pub counter_calls: usize,
    /// The longest answer of the counter, in bytes.
    pub counter_answer: usize,
    /// How long a connection to the counter with calls on it may stay silent.
    pub counter_silence: Duration,
    /// How long a connection to the counter is kept idle.
    pub counter_idle: Duration,
    /// The longest answer of discovery, in bytes.
    pub list_bytes: usize,
    /// How long discovery is asked to wait for news.
    pub watch: Duration,
    /// How much later its answer may come.
    pub watch_slack: Duration,
    /// How often the whole list is asked for beside the watch, where that costs nothing.
    pub check: Duration,
    /// How long that may take.
    pub check_time: Duration,
    /// The pause before a connection that failed is made again.
    pub again: Duration,
    /// Whether discovery is one service of fixed capacity that all limiters ask in turn.
    pub list_by_asking: bool,
    /// The time over which all limiters together spread their calls to discovery, where they ask it.
    pub list_turn: Duration,
    /// The longest pause before it is asked again.
    pub list_most: Duration,
    /// How long after SIGTERM all goes on as before.
    pub linger: Duration,
    /// How long after SIGTERM new requests get only back-off answers.
    pub last_call: Duration,
    /// How long after SIGTERM the program ends whatever is left.
    pub end: Cell<Duration>,
    /// How long before that its last answers are given.
    pub last_answers: Cell<Duration>,
}

impl Limits {
    pub(super) fn new(settings: &Settings, sockets: usize, memory: usize, idle: Duration) -> Self {
        let longest = settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or(0);
        let time = |nanos: u64, default: u64| {
            Duration::from_nanos(if nanos > 0 { nanos } else { default })
        };
        let value_bytes = 64 << 10;
        // 25 calls a second by all limiters, however many: of 100 made at once 60 waited 2 s in vain, of 100 spread over
        // 4 s none. Bounded by the 6 s after which news counts as told, asked for or not.
        let list_turn = Duration::from_millis(40 * u64::from(settings.limiter_count))
            .min(Duration::from_secs(4));
        Limits {
            value_bytes,
            bulk_bytes: 4 << 20,
            window: 32 << 10,
            bulk_silence: Duration::from_secs(10),
            north_stall: Duration::from_secs(20),
            frame_bytes: value_bytes + (8 << 10),
            words: 16,
            read_bytes: 4 << 10,
            held_bytes: memory / 4,
            // Clients hold at most a third of the descriptors for requests; the rest is for those that idle.
            north_connections: sockets / 2,
            north_command: Duration::from_millis(2_600),
            north_idle: Duration::from_secs(5),
            north_stranger: Duration::from_secs(1),
            north_linger: Duration::from_millis(500),
            north_look: Duration::from_millis(50),
            north_pipeline: 1024,
            north_waiting: 4096,
            north_unsent: 256 << 10,
            max_open: if settings.max_open > 0 {
                settings.max_open as usize
            } else {
                20_000
            },
            max_attempts: settings.max_attempts.max(1),
            tells_when: Cell::new(settings.retry_after),
            back_off: Cell::new(match settings.retry_after {
                true => time(settings.longest_retry_after, 1_000_000_000),
                false => Duration::ZERO,
            }),
            last_moment: Duration::from_millis(2),
            callers: (sockets / 32).clamp(4, 32),
            caller_time: Duration::from_secs(5),
            call_bytes: 8 << 10,
            look: Duration::from_millis(50),
            first_list: Duration::from_millis(600),
            catch_up: Duration::from_secs(1),
            inherit: Duration::from_millis(250),
            sharers: Cell::new(1),
            steered: Duration::from_millis(100),
            south_connections: sockets * 3 / 10,
            // Half of what the host grants: a request written to one that it just closed ends as a reset.
            south_idle: Cell::new(idle / 2),
            // A second answer may come some milliseconds behind the first; hardly more connections are needed for it.
            south_rest: Duration::from_millis(20),
            south_answer: Duration::from_millis(250),
            connect: Cell::new(time(settings.connect_timeout, 250_000_000)),
            drain: Cell::new(time(settings.drain_grace, 1_000_000_000) / 2),
            counter_links: 4,
            counter_call: Cell::new(time(settings.counter_timeout, 30_000_000)),
            counter_calls: 4096,
            counter_answer: 256,
            // Guards against a counter that hangs and still counts the connections given up: its longest
            // outage must not use up the 32 that it holds.
            counter_silence: Duration::from_secs(2),
            counter_idle: Duration::from_secs(3),
            list_bytes: 4 << 20,
            // What a watch that fell silent misses is told 2 s after its wait. Where discovery is asked, the calls that
            // come back with nothing take a quarter of what it can answer, at most.
            watch: match settings.discovery_by_polling {
                true => (4 * list_turn).clamp(Duration::from_secs(4), Duration::from_secs(20)),
                false => Duration::from_secs(20),
            },
            watch_slack: Duration::from_millis(1_500),
            check: Duration::from_secs(1),
            check_time: Duration::from_millis(500),
            again: Duration::from_millis(100),
            list_by_asking: settings.discovery_by_polling,
            list_turn,
            // With the call itself (connect and answer) it stays under the 6 s after which news counts as told.
            list_most: Duration::from_secs(4),
            linger: Duration::from_millis(600),
            last_call: Duration::from_secs(2),
            end: Cell::new(
                Duration::from_nanos(longest.max(3_000_000_000)) + Duration::from_millis(600),
            ),
            last_answers: Cell::new(Duration::from_millis(100)),
        }
    }
}

impl Limits {
    /// Connections on the north side that this process may hold, beside another or alone.
    pub fn north_share(&self) -> usize {
        self.north_connections / self.sharers.get()
    }

    /// Connections to hosts that this process may hold.
    pub fn south_share(&self) -> usize {
        self.south_connections / self.sharers.get()
    }

    /// Takes over the times that follow from the settings; a process's size holds until its next start.
    pub fn retune(&self, new: &Limits) {
        self.tells_when.set(new.tells_when.get());
        self.back_off.set(new.back_off.get());
        self.connect.set(new.connect.get());
        self.drain.set(new.drain.get());
        self.south_idle.set(new.south_idle.get());
        self.counter_call.set(new.counter_call.get());
        self.end.set(self.end.get().max(new.end.get()));
    }
}
