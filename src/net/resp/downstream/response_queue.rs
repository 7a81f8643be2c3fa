//! The responses of a connection, in the order of its commands.

use super::output_buffer::OutputBuffer;
use crate::api::RequestId;
use crate::net::engine::{Answer, Frontend, Value};
use crate::net::frontend::RequestHandler;
use crate::net::memory::{MemoryBudget, Owner, Reservation};
use crate::net::resp::close::{self, SocketState};
use crate::net::resp::codec;
use crate::net::streaming_body::{ReadOutcome, StreamingBody};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;

const NANOS_PER_MS: u128 = 1_000_000;
/// Number of responses for which an empty queue keeps its memory.
const MAX_RETAINED_RESPONSES: usize = 32;

/// The response to one command.
pub(super) enum Response {
    /// The request has no answer yet.
    Pending(RequestId),
    /// The complete response, encoded.
    Ready(Vec<u8>),
    /// A complete long value.
    Value {
        /// The encoded header.
        head: Vec<u8>,
        /// The value, with its own reservation.
        value: Value,
    },
    /// A long value, whose body is sent as it is received.
    Streaming {
        /// The encoded header; empty once it has been collected.
        head: Vec<u8>,
        /// The bytes of the value.
        body: Rc<StreamingBody>,
    },
}

/// The reason why collecting responses stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CollectOutcome {
    /// The next response is not complete yet, or there is none.
    Pending,
    /// The body of a streamed value failed and will never be complete.
    BodyFailed,
}

/// The result of collecting responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Collected {
    /// Number of collected bytes that count towards the buffered bytes of the process.
    pub buffered_bytes: usize,
    /// The reason why collecting stopped.
    pub outcome: CollectOutcome,
}

/// The responses that have not been collected completely, in the order of their commands.
pub(super) struct ResponseQueue {
    responses: RefCell<VecDeque<Response>>,
    /// The place of the first response: the number of responses of this connection that have been collected completely.
    first_place: Cell<u64>,
    /// Notified when the first response is ready, or a value begins to be streamed.
    pub first_ready: Notify,
    /// The memory of the responses that the client has not taken, without that of long values.
    reservation: RefCell<Reservation>,
    /// Number of responses whose body is streamed.
    streaming_count: Cell<usize>,
    /// Whether the connection has read bytes that it has not handled as commands.
    has_unhandled_input: Cell<bool>,
    /// The client's connection, which its task owns.
    stream: Weak<TcpStream>,
}

impl Frontend for ResponseQueue {
    fn is_client_connected(&self) -> bool {
        let stream = self.stream.upgrade();
        stream.is_some_and(|stream| close::is_peer_connected(&stream))
    }

    fn has_commands_behind(&self, place: u64) -> bool {
        let next_place = self.first_place.get() + self.len() as u64;
        place + 1 < next_place || self.has_unhandled_input.get() || self.has_unread_bytes()
    }

    fn answer(&self, place: u64, answer: Answer) {
        let head = encode(&answer);
        let response = match answer {
            Answer::Streaming(body) => Response::Streaming { head, body },
            Answer::Served(value) if value.is_long() => Response::Value {
                head,
                value: value.into_response(),
            },
            _ => Response::Ready(head),
        };
        self.set(place, response);
    }
}

/// Returns whether a streamed value has failed before any of it was collected, so that the client can still get an error
/// instead.
fn is_unsent_failure(head: &[u8], body: &StreamingBody) -> bool {
    !head.is_empty() && body.has_failed()
}

/// Returns the memory that a short response takes.
fn reserved_bytes(bytes: &[u8]) -> usize {
    bytes.len() + size_of::<Response>()
}

/// Encodes an answer for the client; for a long value only the header.
pub(super) fn encode(answer: &Answer) -> Vec<u8> {
    let mut output = Vec::new();
    match answer {
        Answer::Served(value) if value.is_long() => {
            codec::write_head('$', value.as_bytes().len(), &mut output);
        }
        Answer::Served(value) => codec::write_bulk(value.as_bytes(), &mut output),
        Answer::Rejected {
            retry_after: Duration::ZERO,
        } => output.extend_from_slice(b"-BUSY\r\n"),
        Answer::Rejected { retry_after } => {
            let wait_ms = retry_after.as_nanos().div_ceil(NANOS_PER_MS);
            output.extend_from_slice(format!("-BUSY {wait_ms}\r\n").as_bytes());
        }
        Answer::Streaming(body) => codec::write_head('$', body.length(), &mut output),
        Answer::Failed => output.extend_from_slice(b"-ERR failed\r\n"),
    }
    output
}

impl ResponseQueue {
    /// Creates the empty queue of a connection.
    pub(super) fn new(stream: &Rc<TcpStream>, memory: &Rc<MemoryBudget>) -> Self {
        ResponseQueue {
            responses: RefCell::default(),
            first_place: Cell::default(),
            first_ready: Notify::new(),
            reservation: RefCell::new(memory.hold(Owner::Responses, 0)),
            streaming_count: Cell::default(),
            has_unhandled_input: Cell::default(),
            stream: Rc::downgrade(stream),
        }
    }

    /// Records whether the connection has read bytes that it has not handled as commands.
    pub(super) fn set_unhandled_input(&self, has_unhandled_input: bool) {
        self.has_unhandled_input.set(has_unhandled_input);
    }

    /// Returns whether the kernel has received bytes from the client that the connection has not read.
    fn has_unread_bytes(&self) -> bool {
        let stream = self.stream.upgrade();
        let state = stream.map(|stream| close::peek_now(&stream));
        matches!(state, Some(SocketState::Read(_)))
    }

    /// Sets the response at a place, unless the queue has been abandoned.
    fn set(&self, place: u64, response: Response) {
        let index = (place - self.first_place.get()) as usize;
        let is_streaming = matches!(response, Response::Streaming { .. });
        if let Some(slot) = self.responses.borrow_mut().get_mut(index) {
            self.count(&response);
            if is_streaming {
                self.streaming_count.set(self.streaming_count.get() + 1);
            }
            *slot = response;
        }
        if index == 0 || is_streaming {
            self.first_ready.notify_one();
        }
    }

    /// Appends a response and returns its place.
    pub(super) fn push(&self, response: Response) -> u64 {
        self.count(&response);
        let mut responses = self.responses.borrow_mut();
        responses.push_back(response);
        self.first_place.get() + responses.len() as u64 - 1
    }

    /// Appends an error response.
    pub(super) fn push_error(&self, problem: &str) {
        let text = format!("-ERR {problem}\r\n");
        self.push(Response::Ready(text.into_bytes()));
    }

    fn count(&self, response: &Response) {
        if let Response::Ready(bytes) = response {
            let mut reservation = self.reservation.borrow_mut();
            let reserved = reservation.bytes();
            reservation.resize(reserved + reserved_bytes(bytes));
        }
    }

    /// Releases the memory of responses that were sent.
    pub(super) fn release(&self, bytes: usize) {
        let mut reservation = self.reservation.borrow_mut();
        let reserved = reservation.bytes();
        reservation.resize(reserved - bytes);
    }

    /// Moves the responses at the front of the queue to `output` up to the first one that is not ready.
    pub(super) fn collect(&self, output: &mut OutputBuffer) -> Collected {
        let mut responses = self.responses.borrow_mut();
        let mut buffered_bytes = 0;
        let outcome = loop {
            match responses.front_mut() {
                Some(Response::Ready(bytes)) => {
                    output.bytes_mut().extend_from_slice(bytes);
                    buffered_bytes += reserved_bytes(bytes);
                }
                Some(Response::Value { head, .. }) => output.bytes_mut().append(head),
                Some(Response::Streaming { head, body }) if is_unsent_failure(head, body) => {
                    let bytes = output.bytes_mut();
                    bytes.append(&mut encode(&Answer::Failed));
                }
                Some(Response::Streaming { head, body }) => {
                    let bytes = output.bytes_mut();
                    bytes.append(head);
                    match body.read(bytes) {
                        ReadOutcome::MoreToCome => break CollectOutcome::Pending,
                        ReadOutcome::Failed => break CollectOutcome::BodyFailed,
                        ReadOutcome::Complete => bytes.extend_from_slice(b"\r\n"),
                    }
                }
                Some(Response::Pending(_)) | None => break CollectOutcome::Pending,
            }
            match responses.pop_front() {
                Some(Response::Value { value, .. }) => output.push_value(value),
                Some(Response::Streaming { .. }) => {
                    self.streaming_count.set(self.streaming_count.get() - 1);
                }
                Some(Response::Pending(_) | Response::Ready(_)) | None => {}
            }
            self.first_place.set(self.first_place.get() + 1);
        };
        if responses.is_empty() && responses.capacity() > MAX_RETAINED_RESPONSES {
            *responses = VecDeque::new();
        }
        Collected {
            buffered_bytes,
            outcome,
        }
    }

    /// Returns whether a value that is not collected completely is streamed.
    pub(super) fn is_streaming(&self) -> bool {
        self.streaming_count.get() > 0
    }

    /// Returns the body of the streamed value at the front of the queue; `None` if the first response is not streamed.
    pub(super) fn current_body(&self) -> Option<Rc<StreamingBody>> {
        match self.responses.borrow().front() {
            Some(Response::Streaming { body, .. }) => Some(body.clone()),
            _ => None,
        }
    }

    /// Returns the number of responses that have not been collected completely.
    pub(super) fn len(&self) -> usize {
        self.responses.borrow().len()
    }

    /// Returns whether all responses have been collected.
    pub(super) fn is_empty(&self) -> bool {
        self.responses.borrow().is_empty()
    }

    /// Returns whether at least one response has been collected completely.
    pub(super) fn has_responded(&self) -> bool {
        self.collected_count() > 0
    }

    /// Returns the number of responses that have been collected completely.
    pub(super) fn collected_count(&self) -> u64 {
        self.first_place.get()
    }

    /// Abandons all responses and their requests, because the connection has ended.
    pub(super) fn abandon(&self, handler: &dyn RequestHandler) {
        let responses = std::mem::take(&mut *self.responses.borrow_mut());
        for response in responses {
            match response {
                Response::Pending(id) => handler.abandon_request(id),
                Response::Ready(_) | Response::Value { .. } => {}
                Response::Streaming { body, .. } => body.abandon(),
            }
        }
    }
}
