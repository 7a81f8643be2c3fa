//! A connection to discovery: requests for the endpoint list, and their responses.

use super::http::{parse_response, Response, ResponseError};
use super::received_list::ListError;
use crate::net::config::Limits;
use crate::net::memory::{MemoryBudget, Owner, Reservation};
use crate::net::resp::codec;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

const STATUS_OK: u16 = 200;
/// Divisor of the maximum length of a list. By this fraction a response may be longer than its list: its head, and the
/// lines between the chunks of a chunked body.
const MAX_ENCODING_DIVISOR: usize = 4;
const LIST_PATH: &str = "/discovery/hosts";

/// The reason why a call to discovery failed.
#[derive(Debug, Error)]
pub(super) enum DiscoveryError {
    /// No connection was established within the connect timeout.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The response was not complete within the timeout of the request.
    #[error("no response in time")]
    ResponseTimeout,
    /// The response is not well-formed HTTP/1, or exceeds a limit.
    #[error(transparent)]
    Response(#[from] ResponseError),
    /// The response has this status instead of 200.
    #[error("discovery responded with status {0}")]
    Status(u16),
    /// The body is not JSON.
    #[error("endpoint list from discovery is not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The list is malformed.
    #[error(transparent)]
    List(#[from] ListError),
    /// A request for the full list was answered with changes older than the current list.
    #[error("discovery answered a request for the full list with outdated changes")]
    OutdatedChanges,
}

/// A request for the full list or for changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ListRequest {
    path: String,
    /// The time within which the complete response must arrive.
    timeout: Duration,
}

impl ListRequest {
    /// Returns a request for the full list.
    pub(super) fn full(timeout: Duration) -> Self {
        ListRequest {
            path: LIST_PATH.to_owned(),
            timeout,
        }
    }

    /// Returns a request for the changes since `version`. Discovery responds once there is a change, or after the watch
    /// timeout.
    pub(super) fn changes_since(version: u64, limits: &Limits) -> Self {
        let wait_ms = limits.discovery.watch_timeout.as_millis();
        ListRequest {
            path: format!("{LIST_PATH}?index={version}&wait={wait_ms}"),
            timeout: limits.discovery.watch_timeout + limits.discovery.watch_grace,
        }
    }
}

/// A successful response, whose list is not parsed yet.
pub(super) struct ListResponse {
    /// The list as JSON.
    pub list: Value,
    /// Whether the connection stays open for another request.
    pub keep_alive: bool,
    /// The memory of the list.
    _reservation: Reservation,
}

/// A connection to discovery.
pub(super) struct DiscoveryConnection {
    stream: TcpStream,
    address: SocketAddr,
    memory: Rc<MemoryBudget>,
    input: Vec<u8>,
    /// The memory of `input`.
    input_reservation: Reservation,
}

impl DiscoveryConnection {
    /// Connects to discovery.
    ///
    /// # Errors
    /// Returns an error if the connection cannot be established.
    pub(super) async fn open(
        address: SocketAddr,
        memory: &Rc<MemoryBudget>,
    ) -> Result<Self, DiscoveryError> {
        let stream = TcpStream::connect(address).await?;
        // A failure is harmless: without `TCP_NODELAY` requests are only slightly delayed.
        let _ = stream.set_nodelay(true);
        Ok(DiscoveryConnection {
            stream,
            address,
            memory: memory.clone(),
            input: Vec::new(),
            input_reservation: memory.hold(Owner::Services, 0),
        })
    }

    /// Sends a request and reads its response. The connection stays open.
    ///
    /// # Errors
    /// Returns an error if the request fails, or if the response is not a list.
    pub(super) async fn get(
        &mut self,
        request: &ListRequest,
        limits: &Limits,
    ) -> Result<ListResponse, DiscoveryError> {
        let ListRequest { path, timeout } = request;
        let address = self.address;
        let head = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        self.exchange(&head, *timeout, limits).await
    }

    /// Sends a request with `Connection: close` and reads its response.
    ///
    /// # Errors
    /// Returns an error if the request fails, or if the response is not a list.
    pub(super) async fn get_and_close(
        mut self,
        request: &ListRequest,
        limits: &Limits,
    ) -> Result<ListResponse, DiscoveryError> {
        let ListRequest { path, timeout } = request;
        let address = self.address;
        let head = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        self.exchange(&head, *timeout, limits).await
    }

    async fn exchange(
        &mut self,
        head: &str,
        response_timeout: Duration,
        limits: &Limits,
    ) -> Result<ListResponse, DiscoveryError> {
        self.stream.write_all(head.as_bytes()).await?;
        let response = timeout(response_timeout, self.read_response(limits))
            .await
            .map_err(|_| DiscoveryError::ResponseTimeout)??;
        if response.status != STATUS_OK {
            return Err(DiscoveryError::Status(response.status));
        }
        let list_bytes = response.body.len() * limits.memory.endpoint_list_factor;
        let reservation = self.memory.hold(Owner::Services, list_bytes);
        Ok(ListResponse {
            list: serde_json::from_slice(&response.body)?,
            keep_alive: response.keep_alive,
            _reservation: reservation,
        })
    }

    async fn read_response(&mut self, limits: &Limits) -> Result<Response, DiscoveryError> {
        let max_body_bytes = limits.discovery.max_response_bytes;
        let max_bytes = max_body_bytes + max_body_bytes / MAX_ENCODING_DIVISOR;
        let chunk_bytes = limits.codec.read_chunk_bytes;
        loop {
            if let Some(response) = parse_response(&self.input, max_body_bytes)? {
                codec::consume(&mut self.input, response.length, chunk_bytes);
                self.input_reservation.resize(self.input.capacity());
                return Ok(response);
            }
            if self.input.len() > max_bytes {
                return Err(ResponseError::BodyTooLong.into());
            }
            // The buffer doubles, so that a long list is copied a few times only.
            let growth = self.input.len().max(chunk_bytes);
            codec::read_more(&mut self.stream, &mut self.input, growth).await?;
            self.input_reservation.resize(self.input.capacity());
        }
    }
}
