//! The inventory: discovery's list of hosts, watched without a gap.

pub mod backoff;

use super::config::Addresses;
use super::config::Limits;
use super::discovery::backoff::Backoff;
use super::engine::EngineDriver;
use super::metrics::SharedMetrics;
use super::resp::upstream::UpstreamPool;
use crate::api::{Event, HostEntry, HostId, HostState, ListMode};
use quartzcleat_admin::Bans;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, timeout, Instant};

/// A list of hosts as discovery gave it.
struct List {
    version: u64,
    whole: bool,
    entries: Vec<(String, HostEntry, SocketAddr)>,
}

/// A whole answer of HTTP/1.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
    /// Bytes it takes in the buffer.
    pub length: usize,
    /// Whether the connection lasts.
    pub lasts: bool,
}

/// Names as discovery gives them, and the numbers that the module knows them by.
pub struct EndpointList {
    zones: Vec<String>,
    kinds: Vec<String>,
    ids: HashMap<String, HostId>,
    taken: HashSet<HostId>,
    /// The version of the list held.
    version: u64,
    /// Each server as discovery told it last.
    told: BTreeMap<String, (HostEntry, SocketAddr)>,
    /// Some list was taken.
    answered: bool,
    /// How many lists were taken from discovery.
    taken_in: u64,
    /// The generation of a whole list that went back, until another is taken.
    doubted: Option<u64>,
}

impl EndpointList {
    /// An inventory that lists nothing.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> Self {
        EndpointList {
            zones,
            kinds,
            ids: HashMap::new(),
            taken: HashSet::new(),
            version: 0,
            told: BTreeMap::new(),
            answered: false,
            taken_in: 0,
            doubted: None,
        }
    }

    /// Whether a list goes before the one held, by the answer to a call that was made when so many had been taken.
    /// Guards against answers that overtake each other. Generations decide; one that goes back is believed where nothing
    /// was taken since the call and the next call says the same: then discovery itself has begun anew.
    fn is_news(&mut self, list: &List, taken_in: u64) -> bool {
        if list.version > self.version || !self.answered {
            return true;
        }
        if !list.whole || taken_in != self.taken_in {
            return false;
        }
        let doubted = self.doubted.replace(list.version);
        list.version == self.version || doubted.is_some_and(|before| list.version >= before)
    }

    fn read(&mut self, list: &Value) -> Result<List, String> {
        let version = list
            .get("generation")
            .and_then(Value::as_u64)
            .ok_or("generation: not a number")?;
        let whole = list
            .get("reset")
            .and_then(Value::as_bool)
            .ok_or("reset: neither true nor false")?;
        let entries = list
            .get("instances")
            .and_then(Value::as_array)
            .ok_or("instances: not a list")?;
        let entries: Result<_, _> = entries.iter().map(|entry| self.entry(entry)).collect();
        Ok(List {
            version,
            whole,
            entries: entries?,
        })
    }

    fn entry(&mut self, entry: &Value) -> Result<(String, HostEntry, SocketAddr), String> {
        let text = |key: &str| {
            let text = entry.get(key).and_then(Value::as_str);
            text.ok_or_else(|| format!("instances: {key} is missing or no text in {entry}"))
        };
        let count = |key: &str| entry.get(key).and_then(Value::as_u64).unwrap_or(0);
        let address = text("hostPort")?
            .parse()
            .map_err(|_| format!("instances: hostPort is no address in {entry}"))?;
        let state = match text("lifecycle")? {
            "SERVING" => HostState::Ready,
            "DELETED" => HostState::Gone,
            // Whatever else there may be one day, it is not serving.
            _ => HostState::Draining,
        };
        let name = text("instanceId")?;
        let host = self.id(name);
        let weight = entry.get("weight").and_then(Value::as_f64).unwrap_or(0.0);
        let (zone, kind) = (
            index(&mut self.zones, text("zone")?),
            index(&mut self.kinds, text("machineType")?),
        );
        let (cell, started) = (
            count("cell") as u32,
            count("startedAtMs").saturating_mul(1_000_000),
        );
        Ok((
            name.to_owned(),
            HostEntry {
                host,
                state,
                cell,
                zone,
                kind,
                started,
                weight,
            },
            address,
        ))
    }

    /// The number of a host: a hash of its name, the same at every limiter and after a restart; where two names
    /// share one, the later takes the next that is free.
    fn id(&mut self, name: &str) -> HostId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let hash = name.bytes().fold(0x811c_9dc5_u32, |hash, byte| {
            (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
        });
        let mut id = HostId(hash);
        while !self.taken.insert(id) {
            id = HostId(id.0.wrapping_add(1));
        }
        self.ids.insert(name.to_owned(), id);
        id
    }

    /// The number by which the module knows a zone that new settings number in an order of their own.
    pub fn zone(&mut self, names: &[String], number: u32) -> u32 {
        names
            .get(number as usize)
            .map_or(number, |name| index(&mut self.zones, name))
    }

    /// The names of zones, by their numbers.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// The list held, in discovery's form.
    pub fn list(&self) -> Value {
        let name =
            |names: &[String], number: u32| names.get(number as usize).cloned().unwrap_or_default();
        let entries = self.told.iter().map(|(id, (entry, address))| {
            let state = match entry.state {
                HostState::Ready => "SERVING",
                HostState::Draining => "DRAINING",
                HostState::Gone => "DELETED",
            };
            json!({
                "instanceId": id, "hostPort": address.to_string(), "zone": name(&self.zones, entry.zone),
                "machineType": name(&self.kinds, entry.kind), "cell": entry.cell, "lifecycle": state,
                "weight": entry.weight, "startedAtMs": entry.started / 1_000_000,
            })
        });
        json!({ "generation": self.version, "reset": true, "instances": entries.collect::<Vec<_>>() })
    }

    /// Whether discovery has told of hosts since the start.
    pub fn answered(&self) -> bool {
        self.answered
    }
}

/// The client of the discovery service: follows the endpoint list, and tells the engine and the connections to hosts.
pub struct DiscoveryClient {
    limits: Rc<Limits>,
    engine: Rc<EngineDriver>,
    upstream: Rc<UpstreamPool>,
    addresses: watch::Receiver<Addresses>,
    metrics: Option<SharedMetrics>,
    endpoints: RefCell<EndpointList>,
    maintenance: RefCell<Bans>,
    /// The names of all hosts ever listed are kept for another process of this limiter.
    records_names: bool,
    /// Notified when the watch is behind, and is to be opened again.
    reopen_watch: Notify,
}

/// The parts of a limiter that discovery works with.
pub struct DiscoveryParts {
    /// Sizes, counts and times.
    pub limits: Rc<Limits>,
    /// Is told of each list.
    pub engine: Rc<EngineDriver>,
    /// Is told of each host's address and state.
    pub upstream: Rc<UpstreamPool>,
    /// Where discovery listens.
    pub addresses: watch::Receiver<Addresses>,
    /// Counts failed calls.
    pub metrics: Option<SharedMetrics>,
}

impl DiscoveryClient {
    /// A client that has not called discovery yet. `records_names` keeps the names of all hosts ever listed, for another
    /// process of this limiter.
    pub fn new(parts: DiscoveryParts, endpoints: EndpointList, records_names: bool) -> Self {
        let DiscoveryParts {
            limits,
            engine,
            upstream,
            addresses,
            metrics,
        } = parts;
        DiscoveryClient {
            limits,
            engine,
            upstream,
            addresses,
            metrics,
            endpoints: RefCell::new(endpoints),
            maintenance: RefCell::default(),
            records_names,
            reopen_watch: Notify::new(),
        }
    }

    /// The endpoint list as last received.
    pub fn endpoints(&self) -> &RefCell<EndpointList> {
        &self.endpoints
    }

    /// The hosts in maintenance.
    pub fn maintenance(&self) -> &RefCell<Bans> {
        &self.maintenance
    }

    /// Whether a list has been received since the start.
    pub fn has_answered(&self) -> bool {
        self.endpoints.borrow().answered()
    }
}

/// Takes the list that the configuration holds, the first thing the module is told.
///
/// # Errors
/// The list is malformed.
pub fn restore(client: &DiscoveryClient, known: &Value) -> Result<(), String> {
    let list = match known {
        Value::Null => List {
            version: 0,
            whole: true,
            entries: Vec::new(),
        },
        known => client
            .endpoints
            .borrow_mut()
            .read(known)
            .map_err(|e| format!("known.{e}"))?,
    };
    apply(client, list, ListMode::Restored);
    Ok(())
}

/// Takes a list in. What staff said of a server goes before what it says, here and nowhere else.
fn apply(client: &DiscoveryClient, list: List, mode: ListMode) {
    let List {
        version, entries, ..
    } = list;
    let mut endpoints = client.endpoints.borrow_mut();
    endpoints.version = version;
    endpoints.answered |= mode != ListMode::Restored;
    endpoints.taken_in += u64::from(mode != ListMode::Restored);
    endpoints.doubted = None;
    if mode != ListMode::Update {
        endpoints.told.clear();
    }
    for (name, entry, address) in &entries {
        endpoints
            .told
            .insert(name.clone(), (entry.clone(), *address));
    }
    drop(endpoints);
    let mut bans = client.maintenance.borrow_mut();
    let entries: Vec<_> = entries
        .into_iter()
        .map(|(name, entry, address)| {
            if client.records_names {
                bans.list(&name);
            }
            (bans.judge(&name, &entry), address)
        })
        .collect();
    drop(bans);
    tell(client, version, mode, entries);
    let mut endpoints = client.endpoints.borrow_mut();
    endpoints
        .ids
        .retain(|_, id| client.upstream.contains_host(*id));
    endpoints
        .taken
        .retain(|id| client.upstream.contains_host(*id));
    endpoints
        .told
        .retain(|_, (entry, _)| client.upstream.contains_host(entry.host));
}

fn tell(
    client: &DiscoveryClient,
    version: u64,
    mode: ListMode,
    entries: Vec<(HostEntry, SocketAddr)>,
) {
    entries
        .iter()
        .for_each(|(entry, address)| client.upstream.update_host(entry, *address));
    let entries: Vec<_> = entries.into_iter().map(|(entry, _)| entry).collect();
    if mode != ListMode::Update {
        client.upstream.retain_listed(&entries);
    }
    client.engine.handle(Event::Hosts {
        version,
        mode,
        entries,
    });
    client.upstream.forget_gone_hosts(&client.limits);
}

/// Staff said something of a server: what is believed of it is told anew.
pub fn judge_again(client: &DiscoveryClient, name: &str) {
    let endpoints = client.endpoints.borrow();
    let (version, told) = (endpoints.version, endpoints.told.get(name).cloned());
    drop(endpoints);
    if let Some((entry, address)) = told {
        let entry = client.maintenance.borrow().judge(name, &entry);
        tell(client, version, ListMode::Update, vec![(entry, address)]);
    }
}

/// The number of a name; one that is not known gets the next.
fn index(names: &mut Vec<String>, name: &str) -> u32 {
    let known = names.iter().position(|known| known == name);
    known.unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    }) as u32
}

/// Follows discovery for good. Each call comes at once behind the answer before it, so that the watch goes on;
/// after a failure, and at a new address, it begins anew.
pub async fn follow(client: Rc<DiscoveryClient>, mut backoff: Backoff) {
    let mut addresses = client.addresses.clone();
    if client.limits.list_by_asking {
        sleep(backoff.first()).await;
    }
    loop {
        let address = addresses.borrow_and_update().discovery;
        let watched = async {
            if let Err(problem) = watch(&client, address, &mut backoff).await {
                tracing::warn!("inventory: {}", problem.text);
                if let Some(metrics) = &client.metrics {
                    metrics.borrow_mut().list_failed();
                }
                // Only this watch is known to be at fault, which was answered before.
                if problem.alone {
                    return;
                }
            }
            sleep(backoff.after_failure()).await;
        };
        // Guards against a watch that goes on at an address that discovery has left, or without a word while there is
        // news.
        tokio::select! {
            () = watched => {}
            _ = addresses.changed() => {}
            () = client.reopen_watch.notified() => {}
        }
    }
}

/// Asks for the whole list now and then, beside the watch. Guards against a watch whose answer is lost: until its wait
/// is over it looks the same as one that has nothing to tell, and hosts come and go unseen. A watch that is found to be
/// behind is broken, and opened anew.
pub async fn check(client: Rc<DiscoveryClient>) {
    loop {
        sleep(client.limits.check).await;
        let (address, taken_in) = (
            client.addresses.borrow().discovery,
            client.endpoints.borrow().taken_in,
        );
        // Whatever fails here the watch meets too, and tells.
        if let Ok(Ok(list)) = timeout(client.limits.check_time, whole_list(&client, address)).await
        {
            let moved = client.addresses.borrow().discovery != address;
            let mut endpoints = client.endpoints.borrow_mut();
            let news = !moved && list.whole && endpoints.is_news(&list, taken_in);
            let news = news && list.version != endpoints.version;
            drop(endpoints);
            if news {
                tracing::info!(
                    held = client.endpoints.borrow().version,
                    version = list.version,
                    "the watch is behind"
                );
                apply(&client, list, ListMode::Replace);
                client.reopen_watch.notify_one();
            }
        }
    }
}

/// Why a watch ended.
struct Lost {
    text: String,
    /// It had been answered before, for a while.
    alone: bool,
}

impl From<String> for Lost {
    fn from(text: String) -> Self {
        Lost { text, alone: false }
    }
}

async fn whole_list(client: &DiscoveryClient, address: SocketAddr) -> Result<List, String> {
    let mut stream = TcpStream::connect(address)
        .await
        .map_err(|e| e.to_string())?;
    let call =
        format!("GET /discovery/hosts HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream
        .write_all(call.as_bytes())
        .await
        .map_err(|e| e.to_string())?;
    let limits = &client.limits;
    let answer = answer(&mut stream, &mut Vec::new(), limits.check_time, limits).await;
    let list =
        serde_json::from_slice(&answer.map_err(|e| e.to_string())?.0).map_err(|e| e.to_string())?;
    client.endpoints.borrow_mut().read(&list)
}

async fn watch(
    client: &DiscoveryClient,
    address: SocketAddr,
    backoff: &mut Backoff,
) -> Result<(), Lost> {
    let limits = &client.limits;
    let connect = timeout(limits.connect.get(), TcpStream::connect(address)).await;
    let mut stream = connect
        .map_err(|e| e.to_string())?
        .map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let mut input = Vec::new();
    let news = |version| {
        format!(
            "/discovery/hosts?index={version}&wait={}",
            limits.watch.as_millis()
        )
    };
    let whole = || ("/discovery/hosts".to_owned(), limits.watch_slack);
    // Where discovery is to be asked, the whole list is dear, and given to nobody while many ask: the watch begins
    // with what changed since the list held.
    let (mut path, mut patience) = if limits.list_by_asking {
        (
            news(client.endpoints.borrow().version),
            limits.watch + limits.watch_slack,
        )
    } else {
        whole()
    };
    let (began, mut answered) = (Instant::now(), false);
    loop {
        let taken_in = client.endpoints.borrow().taken_in;
        let call = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        // Guards against asking without a pause where each connection is lost right after its first answer.
        let lost = |text: String| Lost {
            text,
            alone: answered && began.elapsed() >= limits.check,
        };
        stream
            .write_all(call.as_bytes())
            .await
            .map_err(|e| lost(e.to_string()))?;
        let (body, lasts) = answer(&mut stream, &mut input, patience, limits)
            .await
            .map_err(|e| lost(e.to_string()))?;
        let list: Value = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
        let list = client.endpoints.borrow_mut().read(&list)?;
        let asked = std::mem::replace(&mut path, news(list.version));
        patience = limits.watch + limits.watch_slack;
        let mut endpoints = client.endpoints.borrow_mut();
        let (is_news, older) = (
            endpoints.is_news(&list, taken_in),
            list.version < endpoints.version,
        );
        drop(endpoints);
        let list_is_whole = list.whole;
        if is_news {
            let mode = if list.whole {
                ListMode::Replace
            } else {
                ListMode::Update
            };
            apply(client, list, mode);
        } else if older {
            // Changes to a list that is not held: the whole one is asked for.
            tracing::info!(
                version = list.version,
                "an answer that is older than the list held is left alone"
            );
            (path, patience) = whole();
            // Guards against asking without a pause a discovery that answers the call for all with old changes.
            if asked == path && !list_is_whole {
                return Err(
                    "the call for the whole list is answered with changes that are old"
                        .to_owned()
                        .into(),
                );
            }
        }
        backoff.answered();
        answered = true;
        if !lasts {
            return Ok(());
        }
    }
}

/// Reads one answer; its body, and whether the connection lasts.
async fn answer(
    stream: &mut TcpStream,
    input: &mut Vec<u8>,
    patience: Duration,
    limits: &Limits,
) -> io::Result<(Vec<u8>, bool)> {
    let whole = async {
        loop {
            if let Some(Response {
                status,
                body,
                length,
                lasts,
            }) = response(input, limits.list_bytes)?
            {
                input.drain(..length);
                return match status {
                    200 => Ok((body, lasts)),
                    _ => Err(io::Error::other(format!(
                        "discovery answers with status {status}"
                    ))),
                };
            }
            if stream.read_buf(input).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    };
    timeout(patience, whole)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// The answer at the start of `bytes`, if it is whole: its status, body and length, and whether the connection
/// lasts. Knows bodies with a length and chunked ones.
///
/// # Errors
/// The bytes are no HTTP response, or exceed a limit.
pub fn response(bytes: &[u8], most: usize) -> io::Result<Option<Response>> {
    let bad = |what: &str| Err(io::Error::new(io::ErrorKind::InvalidData, what.to_owned()));
    let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else {
        return if bytes.len() > 16 << 10 {
            bad("discovery's answer has no end to its head")
        } else {
            Ok(None)
        };
    };
    let Ok(head) = std::str::from_utf8(&bytes[..end]) else {
        return bad("discovery's answer is no text");
    };
    let mut lines = head.split("\r\n");
    let status = lines
        .next()
        .and_then(|line| line.strip_prefix("HTTP/1."))
        .and_then(|line| line.get(2..5));
    let Some(status) = status.and_then(|code| code.parse().ok()) else {
        return bad("discovery speaks no HTTP/1");
    };
    let (mut length, mut chunked, mut lasts) = (None, false, true);
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse::<usize>().ok(),
            "transfer-encoding" => chunked = value.eq_ignore_ascii_case("chunked"),
            "connection" => lasts = !value.eq_ignore_ascii_case("close"),
            _ => {}
        }
    }
    let start = end + 4;
    if !chunked {
        return match length {
            None => bad("discovery's answer tells no length"),
            Some(length) if length > most => bad("discovery's answer is too long"),
            Some(length) if bytes.len() - start < length => Ok(None),
            Some(length) => Ok(Some(Response {
                status,
                body: bytes[start..start + length].to_vec(),
                length: start + length,
                lasts,
            })),
        };
    }
    let (mut body, mut at) = (Vec::new(), start);
    loop {
        let Some(line) = bytes[at..].windows(2).position(|two| two == b"\r\n") else {
            return if bytes.len() - at > 64 {
                bad("a chunk has no length")
            } else {
                Ok(None)
            };
        };
        let text = std::str::from_utf8(&bytes[at..at + line]).unwrap_or_default();
        let size = usize::from_str_radix(text.split(';').next().unwrap_or_default().trim(), 16);
        let Ok(size) = size else {
            return bad("a chunk has no length");
        };
        if size > most || body.len() + size > most {
            return bad("discovery's answer is too long");
        }
        at += line + 2;
        if bytes.len() < at + size + 2 {
            return Ok(None);
        }
        body.extend_from_slice(&bytes[at..at + size]);
        if &bytes[at + size..at + size + 2] != b"\r\n" {
            return bad("a chunk does not end where it should");
        }
        at += size + 2;
        if size == 0 {
            return Ok(Some(Response {
                status,
                body,
                length: at,
                lasts,
            }));
        }
    }
}

#[cfg(test)]
mod crossings;

#[cfg(test)]
pub(crate) mod tests {
    use super::*;
    use crate::net::task::spawn;
    use tokio::net::TcpListener;

    /// Takes a whole list of one server, that serves.
    pub(crate) fn told(client: &DiscoveryClient, name: &str) {
        let text = format!(
            r#"{{"generation":1,"reset":true,"instances":[{{"instanceId":"{name}","zone":"a",
            "hostPort":"127.0.0.1:5","machineType":"m","lifecycle":"SERVING"}}]}}"#
        );
        let list = client
            .endpoints
            .borrow_mut()
            .read(&serde_json::from_str(&text).expect("JSON"));
        apply(client, list.expect("a list"), ListMode::Replace);
    }

    /// The same number for a name at every limiter, and never one for two names.
    #[test]
    fn hosts_keep_their_numbers_and_share_none() {
        let (mut one, mut two) = (
            EndpointList::new(vec![], vec![]),
            EndpointList::new(vec![], vec![]),
        );
        assert_eq!(one.id("s-5be2a07c"), two.id("s-5be2a07c"));
        let taken = two.id("s-1");
        let mut three = EndpointList::new(vec![], vec![]);
        three.taken.insert(taken);
        assert_eq!(three.id("s-1"), HostId(taken.0.wrapping_add(1)));
        assert_eq!(three.id("s-1"), HostId(taken.0.wrapping_add(1)));
    }

    #[test]
    fn entries_are_read_and_faulty_ones_named() {
        let mut endpoints = EndpointList::new(vec!["a".into()], vec!["m1".into()]);
        let text = r#"{"generation":4,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:5",
            "zone":"b","machineType":"m1","cell":3,"lifecycle":"DRAINING","weight":1.5,"startedAtMs":1700000000000}]}"#;
        let list = endpoints
            .read(&serde_json::from_str(text).expect("JSON"))
            .expect("a list");
        let entry = &list.entries[0].1;
        assert_eq!(
            (
                list.version,
                list.whole,
                entry.state,
                entry.zone,
                entry.kind
            ),
            (4, false, HostState::Draining, 1, 0)
        );
        assert_eq!(
            (entry.cell, entry.started, entry.weight),
            (3, 1_700_000_000_000_000_000, 1.5)
        );
        let faulty = text.replace("127.0.0.1:5", "nowhere");
        let problem = endpoints
            .read(&serde_json::from_str(&faulty).expect("JSON"))
            .err()
            .expect("a fault");
        assert!(problem.starts_with("instances: hostPort"), "{problem}");
    }

    /// A watch whose answer is lost: what changed is known by the next look at the whole list, and a list that is no
    /// newer than the one held changes nothing.
    #[test]
    fn a_watch_that_is_lost_is_made_up_for() {
        let text = |version: u64, state: &str| {
            let body = format!(
                r#"{{"generation":{version},"reset":true,"instances":[{{"instanceId":"s-1","zone":"a",
                "hostPort":"127.0.0.1:5","machineType":"m","lifecycle":"{state}"}}]}}"#
            );
            format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        crate::net::tests::with_limiter(
            &[("127.0.0.1:7001", "127.77.0.24:7001")],
            |limiter| async move {
                let discovery = TcpListener::bind("127.77.0.24:7001")
                    .await
                    .expect("the address is free");
                spawn(follow(
                    limiter.discovery().clone(),
                    Backoff::of(limiter.limits(), 1),
                ));
                spawn(check(limiter.discovery().clone()));
                let mut watches = Vec::new();
                let mut told = Vec::new();
                // The first list, two that are no newer, and a newer one; the watch is never answered.
                let answers = [
                    (4, "SERVING"),
                    (4, "DRAINING"),
                    (3, "DRAINING"),
                    (5, "DRAINING"),
                ];
                for (version, state) in answers {
                    let (mut stream, _) = discovery.accept().await.expect("the limiter asks");
                    let mut call = vec![0; 512];
                    let count = stream.read(&mut call).await.expect("it asks");
                    assert!(
                        call[..count].starts_with(b"GET /discovery/hosts HTTP"),
                        "the whole list"
                    );
                    stream
                        .write_all(text(version, state).as_bytes())
                        .await
                        .expect("the limiter reads");
                    watches.push(stream);
                }
                while told.len() < 2 {
                    match crate::net::tests::next(&limiter).await {
                        Event::Hosts {
                            version,
                            mode: ListMode::Replace,
                            entries,
                        } => {
                            told.push((version, entries[0].state));
                        }
                        other => panic!("{other:?}"),
                    }
                }
                assert_eq!(told, [(4, HostState::Ready), (5, HostState::Draining)]);
            },
        );
    }

    /// Two hundred times out and back, while discovery goes on saying the opposite: told as draining at once and for as
    /// long as it is out, on changes, whole lists and silence alike, and as ready at the call back.
    #[test]
    fn staffs_word_goes_before_discovery_s() {
        crate::net::tests::with_limiter(&[], |limiter| async move {
            let list = |version: u64, state: &str, whole: bool| {
                let text = format!(
                    r#"{{"generation":{version},"reset":{whole},"instances":[{{"instanceId":"s-1","zone":"a",
                    "hostPort":"127.0.0.1:5","machineType":"m","lifecycle":"{state}"}}]}}"#
                );
                let list = limiter
                    .discovery()
                    .endpoints
                    .borrow_mut()
                    .read(&serde_json::from_str(&text).expect("JSON"));
                apply(
                    limiter.discovery(),
                    list.expect("a list"),
                    if whole {
                        ListMode::Replace
                    } else {
                        ListMode::Update
                    },
                );
            };
            let told = || {
                let event = limiter.engine().take_event();
                match event {
                    Some(Event::Hosts { entries, .. }) => entries[0].state,
                    other => panic!("{other:?}"),
                }
            };
            list(0, "SERVING", true);
            assert_eq!(told(), HostState::Ready);
            limiter.discovery().maintenance.borrow_mut().list("s-1");
            for round in 0..200 {
                let now = 1_000 * round;
                assert_eq!(
                    limiter
                        .discovery()
                        .maintenance
                        .borrow_mut()
                        .disable("s-1", now),
                    Ok(true)
                );
                judge_again(limiter.discovery(), "s-1");
                assert_eq!(told(), HostState::Draining, "at the call itself");
                for (state, whole) in [("SERVING", false), ("DRAINING", false), ("SERVING", true)] {
                    list(round, state, whole);
                    assert_eq!(told(), HostState::Draining);
                }
                assert_eq!(
                    limiter
                        .discovery()
                        .maintenance
                        .borrow_mut()
                        .enable("s-1", now + 500),
                    Ok(true)
                );
                judge_again(limiter.discovery(), "s-1");
                assert_eq!(told(), HostState::Ready);
            }
        });
    }

    /// However many hosts come and go, no more is held than those that are listed or have left just now.
    #[test]
    fn names_that_are_gone_are_forgotten() {
        crate::net::tests::with_limiter(&[], |limiter| async move {
            let list = |version: u64, name: u64, state: &str| {
                format!(
                    r#"{{"generation":{version},"reset":false,"instances":[{{"instanceId":"s-{name}","zone":"a",
                    "hostPort":"127.0.0.1:5","machineType":"m","lifecycle":"{state}"}}]}}"#
                )
            };
            for name in 0..50 {
                for state in ["SERVING", "DRAINING", "DELETED"] {
                    let text = list(3 * name, name, state);
                    let list = limiter
                        .discovery()
                        .endpoints
                        .borrow_mut()
                        .read(&serde_json::from_str(&text).expect("JSON"));
                    apply(limiter.discovery(), list.expect("a list"), ListMode::Update);
                }
            }
            sleep(limiter.limits().drain.get()).await;
            let text = list(200, 50, "SERVING");
            let list = limiter
                .discovery()
                .endpoints
                .borrow_mut()
                .read(&serde_json::from_str(&text).expect("JSON"));
            apply(limiter.discovery(), list.expect("a list"), ListMode::Update);
            let endpoints = limiter.discovery().endpoints.borrow();
            assert_eq!(
                (
                    endpoints.ids.len(),
                    endpoints.taken.len(),
                    endpoints.told.len()
                ),
                (1, 1, 1)
            );
        });
    }
}
