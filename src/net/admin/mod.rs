//! The admin interface: HTTP/1.1, one request per connection, for operators and for the program that starts the
//! process.
//!
//! Requests are parsed by `quartzcleat-admin` and executed here.

mod http;

#[cfg(test)]
mod tests;

use super::config::Limits;
use super::discovery::DiscoveryClient;
use super::hot_restart::HotRestart;
use super::memory::{MemoryBudget, Owner};
use super::resp::codec;
use super::shutdown::Shutdown;
use super::unix_time;
use quartzcleat_admin::{AdminRequest, MaintenanceChange, RequestError, UnknownHost};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Number of bytes by which the buffer of a request grows at a time.
const READ_CHUNK_BYTES: usize = 1 << 10;

/// Components that requests to the admin interface read and change.
pub struct AdminContext {
    /// Limits of the process.
    limits: Rc<Limits>,
    /// Puts hosts into maintenance, and records which hosts were ever listed.
    discovery: Rc<DiscoveryClient>,
    /// Starts and stops draining.
    shutdown: Rc<Shutdown>,
    /// Publishes each change to the other process of this limiter.
    hot_restart: Rc<HotRestart>,
    /// Counts the requests that are received.
    memory: Rc<MemoryBudget>,
}

impl AdminContext {
    /// Creates the context of a limiter's admin interface.
    pub fn new(
        limits: &Rc<Limits>,
        discovery: &Rc<DiscoveryClient>,
        shutdown: &Rc<Shutdown>,
        hot_restart: &Rc<HotRestart>,
        memory: &Rc<MemoryBudget>,
    ) -> Self {
        AdminContext {
            limits: limits.clone(),
            discovery: discovery.clone(),
            shutdown: shutdown.clone(),
            hot_restart: hot_restart.clone(),
            memory: memory.clone(),
        }
    }
}

/// Response to a request.
#[derive(Debug)]
struct Response {
    /// HTTP status code.
    status: u16,
    /// One sentence for the operator.
    text: String,
}

impl Response {
    fn new(status: u16, text: impl Into<String>) -> Self {
        Response {
            status,
            text: text.into(),
        }
    }
}

impl From<RequestError> for Response {
    fn from(error: RequestError) -> Self {
        Response::new(error.status(), error.to_string())
    }
}

/// Accepts connections until the task is dropped. Past the limit the oldest connection is closed, so that clients that
/// never finish a request cannot keep others out.
pub async fn accept(context: Rc<AdminContext>, listener: TcpListener) {
    let mut connections: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.retain(|connection| !connection.is_finished());
                while connections.len() >= context.limits.admin.max_connections {
                    connections.pop_front().inspect(JoinHandle::abort);
                }
                let connection = serve(context.clone(), stream);
                connections.push_back(tokio::task::spawn_local(connection));
            }
            Err(error) => {
                tracing::warn!(%error, "admin connection not accepted");
                sleep(context.limits.reconnect_pause).await;
            }
        }
    }
}

async fn serve(context: Rc<AdminContext>, mut stream: TcpStream) {
    let request_timeout = context.limits.admin.request_timeout;
    // A request's head and body.
    let max_bytes = 2 * context.limits.admin.max_request_bytes;
    let _reservation = context.memory.hold(Owner::Services, max_bytes);
    let request = read_request(&mut stream, context.limits.admin.max_request_bytes);
    let response = match timeout(request_timeout, request).await {
        Err(_) => RequestError::Timeout.into(),
        // The client disconnected before it had sent a complete request.
        Ok(None) => return,
        Ok(Some(Err(error))) => error.into(),
        Ok(Some(Ok(request))) => {
            wait_for_first_list(&context, &request).await;
            execute(&context, request)
        }
    };
    let response = http::encode(response.status, &response.text);
    // A client that does not read its response within the timeout is disconnected.
    let _ = timeout(request_timeout, respond(&mut stream, &response)).await;
}

/// Reads one request; returns `None` if the client disconnects before its end.
async fn read_request(
    stream: &mut TcpStream,
    max_bytes: usize,
) -> Option<Result<AdminRequest, RequestError>> {
    let mut bytes = Vec::new();
    loop {
        if let Some(request) = http::parse(&bytes, max_bytes) {
            return Some(request);
        }
        let received = codec::read_more(stream, &mut bytes, READ_CHUNK_BYTES).await;
        received.ok()?;
    }
}

/// Writes the response and closes the connection. Remaining bytes of the request are read before the socket is closed:
/// unread, they would cause a reset, which could overtake the response.
async fn respond(stream: &mut TcpStream, response: &str) {
    // A write error means that the client has disconnected and needs no response.
    let _ = stream.write_all(response.as_bytes()).await;
    let _ = stream.shutdown().await;
    let mut unread = [0; 512];
    while let Ok(1..) = codec::read_some(stream, &mut unread).await {}
}

/// Waits for discovery's first list if a request names a host that is not known yet: an operator's request may arrive
/// before the list, and the host may be on it.
async fn wait_for_first_list(context: &AdminContext, request: &AdminRequest) {
    let (AdminRequest::Disable(name) | AdminRequest::Enable(name)) = request else {
        return;
    };
    let is_listing_known =
        || context.discovery.has_listed(name) || context.discovery.has_answered();
    let wait = async {
        while !is_listing_known() {
            sleep(context.limits.requests.deadline_margin).await;
        }
    };
    // After the timeout the request is answered according to the hosts listed so far.
    let _ = timeout(context.limits.admin.first_list_timeout, wait).await;
}

/// Executes a request and returns the response to it.
fn execute(context: &AdminContext, request: AdminRequest) -> Response {
    match request {
        AdminRequest::Ready => readiness(context),
        AdminRequest::Disable(name) => disable(context, &name),
        AdminRequest::Enable(name) => enable(context, &name),
        AdminRequest::Drain => {
            context.shutdown.drain();
            tracing::info!("draining started by an operator");
            context.hot_restart.publish();
            Response::new(200, "clients are sent away")
        }
        AdminRequest::Undrain => {
            context.shutdown.undrain();
            tracing::info!("draining stopped by an operator");
            context.hot_restart.publish();
            Response::new(200, "clients are taken")
        }
    }
}

fn readiness(context: &AdminContext) -> Response {
    if !context.shutdown.accepts_clients() {
        Response::new(503, "draining: clients are sent away")
    } else if context.shutdown.is_closing() {
        Response::new(503, "ending")
    } else {
        Response::new(200, "taking clients")
    }
}

fn disable(context: &AdminContext, name: &str) -> Response {
    match context.discovery.disable(name, unix_time::now()) {
        Err(UnknownHost) => return unknown_host(context),
        Ok(MaintenanceChange::Unchanged) => {}
        Ok(MaintenanceChange::Changed) => {
            tracing::info!(host = name, "maintenance started by an operator");
            publish_maintenance(context, name);
        }
    }
    Response::new(200, format!("{name} gets nothing new until it is enabled"))
}

fn enable(context: &AdminContext, name: &str) -> Response {
    match context.discovery.enable(name, unix_time::now()) {
        Err(UnknownHost) => return unknown_host(context),
        Ok(MaintenanceChange::Unchanged) => {}
        Ok(MaintenanceChange::Changed) => {
            tracing::info!(host = name, "maintenance ended by an operator");
            publish_maintenance(context, name);
        }
    }
    Response::new(200, format!("{name} may serve"))
}

fn publish_maintenance(context: &AdminContext, name: &str) {
    context.discovery.reapply_maintenance(name);
    context.hot_restart.publish();
}

fn unknown_host(context: &AdminContext) -> Response {
    if context.discovery.has_answered() {
        Response::new(
            404,
            "no server of this id was ever listed; use discovery's instanceId",
        )
    } else {
        Response::new(503, "discovery has not told of any server yet; call again")
    }
}
