//! Discovery: the whole list, and watches that wait for what changes. Each limiter has a listener of its own, so that
//! what is told is noted with whom it was told to.

use crate::stage::{spawn, Stage};
use quartzcleat_invariants::Fact;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

/// What discovery holds.
pub(crate) struct DiscoveryDesk {
    /// Changes in their order: the host, and whether it is gone.
    changes: Vec<(usize, bool)>,
    /// Up to which change it may tell; the first generation is 1.
    told: watch::Sender<u64>,
    held: Vec<usize>,
    speaks: watch::Sender<bool>,
}

impl DiscoveryDesk {
    pub(crate) fn new(_limiters: usize) -> Self {
        let (told, speaks) = (watch::Sender::new(1), watch::Sender::new(true));
        DiscoveryDesk {
            changes: Vec::new(),
            told,
            held: Vec::new(),
            speaks,
        }
    }

    /// A host is listed from the beginning.
    pub(crate) fn hold(&mut self, node: usize) {
        self.held.push(node);
    }

    /// The hosts that are listed.
    pub(crate) fn held(&self) -> Vec<usize> {
        self.held.clone()
    }

    /// The version of what may be told.
    pub(crate) fn generation(&self) -> u64 {
        *self.told.borrow()
    }

    /// Notes a change; its version.
    pub(crate) fn change(&mut self, node: usize, gone: bool) -> u64 {
        self.held.retain(|held| *held != node);
        if !gone {
            self.held.push(node);
        }
        self.changes.push((node, gone));
        self.changes.len() as u64 + 1
    }

    /// From now on all up to this version may be told.
    pub(crate) fn publish(&mut self, version: u64) {
        self.told.send_modify(|told| *told = version.max(*told));
    }

    /// Falls silent, or speaks again.
    pub(crate) fn speak(&mut self, on: bool) {
        self.speaks.send_replace(on);
    }

    /// The hosts changed between two versions, each once.
    fn between(&self, from: u64, to: u64) -> Vec<usize> {
        let range = (from.max(1) - 1) as usize..((to.max(1) - 1) as usize).min(self.changes.len());
        let mut nodes: Vec<usize> = self
            .changes
            .get(range)
            .unwrap_or_default()
            .iter()
            .map(|(node, _)| *node)
            .collect();
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }
}

/// Serves one limiter's calls for good.
pub(crate) async fn serve(stage: Rc<Stage>, limiter: usize, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let stage = stage.clone();
        spawn(async move { drop(converse(&stage, limiter, stream).await) });
    }
}

async fn converse(stage: &Rc<Stage>, limiter: usize, mut stream: TcpStream) -> io::Result<()> {
    let mut input = Vec::new();
    loop {
        while let Some(end) = input.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            input.drain(..end + 4);
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            let (generation, whole, nodes) = answer(stage, &path).await;
            let body = {
                let mut list = stage.list(limiter, whole, &nodes);
                list["generation"] = generation.into();
                list.to_string()
            };
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(text.as_bytes()).await?;
            for node in nodes {
                let state = stage.state(node);
                stage.note(Fact::HostStateLearned {
                    limiter,
                    host: node,
                    state,
                });
            }
        }
        if input.len() > 16 << 10 || stream.read_buf(&mut input).await? == 0 {
            return Ok(());
        }
    }
}

/// Waits as long as a call asks for; the version, whether the list is whole, and the hosts in it.
async fn answer(stage: &Rc<Stage>, path: &str) -> (u64, bool, Vec<usize>) {
    let (mut told, mut speaks) = {
        let desk = stage.discovery.borrow();
        (desk.told.subscribe(), desk.speaks.subscribe())
    };
    let value = |name: &str| {
        let query = path.split_once('?').map_or("", |(_, query)| query);
        query.split('&').find_map(|pair| {
            pair.strip_prefix(name)?
                .strip_prefix('=')?
                .parse::<u64>()
                .ok()
        })
    };
    let index = value("index");
    if let Some(index) = index {
        let wait = Duration::from_millis(value("wait").unwrap_or(0).min(60_000));
        let _ = timeout(wait, told.wait_for(|version| *version > index)).await;
    }
    // Silence holds back every answer.
    let _ = speaks.wait_for(|speaks| *speaks).await;
    let desk = stage.discovery.borrow();
    let now = desk.generation();
    match index {
        Some(index) if index >= 1 => (now, false, desk.between(index, now)),
        _ => (now, true, desk.held()),
    }
}
