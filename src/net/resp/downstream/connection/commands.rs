//! The commands of a client connection: parses and handles them, and decides whether more of them are read.

use super::super::closing::Admission;
use super::super::input::{InputState, ReadMode, Rest};
use super::super::request_parser::{announced_wait, parse_client_command, ClientCommand};
use super::super::response_queue::{encode, Response};
use super::Connection;
use crate::net::engine::{Answer, Frontend, Request};
use crate::net::memory::{Owner, Reservation};
use crate::net::resp::codec::{self, Command};
use std::time::Duration;
use tokio::time::Instant;

/// Number of responses that a connection may be owed before it is left unread while there is no memory for requests.
const MAX_RESPONSES_WITHOUT_MEMORY: usize = 64;
pub(super) const PONG: &[u8] = b"+PONG\r\n";
const OK: &[u8] = b"+OK\r\n";
const DRAINING: &str = "draining";
const TOO_LONG: &str = "a message is too long";
const NO_MEMORY: &str = "no memory for a command of this form";
const TOO_MANY_COMMANDS: &str = "too many commands wait on this connection";

impl Connection<'_> {
    /// Handles the complete commands received, until the turn is over, malformed bytes or too many unsent bytes.
    pub(super) fn handle_commands(&mut self) {
        let limits = self.limits();
        if self.input.take_rejected() {
            self.reject_for_memory();
        }
        self.is_input_handled = !self.input.is_parsable();
        while !self.is_input_handled
            && !self.is_turn_over()
            && self.read_mode() == ReadMode::Commands
        {
            match codec::parse_command(self.input.unparsed(), limits) {
                Ok(None) => {
                    self.reserve_rest();
                    self.is_input_handled = true;
                }
                Ok(Some(command))
                    if self.responses.len() < limits.downstream.max_queued_commands =>
                {
                    self.handle_command(&command);
                    self.commands_in_turn += 1;
                }
                Ok(Some(_)) => self.refuse(TOO_MANY_COMMANDS),
                Err(malformed) => self.refuse(malformed.0),
            }
        }
        self.input.remove_parsed();
        let has_unhandled_input = self.input.state() == InputState::PartialCommand;
        self.responses.set_unhandled_input(has_unhandled_input);
    }

    /// Responds with an error to bytes after which nothing can be parsed.
    fn refuse(&mut self, problem: &str) {
        self.responses.push_error(problem);
        self.input.set_malformed();
    }

    /// Reserves memory for the rest of a long command. Half of the time that its client waits for an answer may pass
    /// until then, and the client needs time to send the rest.
    fn reserve_rest(&mut self) {
        let limits = self.limits();
        let bytes = self.input.unparsed();
        let Some(announced) = codec::announced_command(bytes, limits) else {
            return;
        };
        if announced.min_bytes <= limits.codec.read_chunk_bytes {
            return;
        }
        let longest_wait = limits.downstream.max_memory_wait;
        let client_wait = announced_wait(bytes, &announced, &self.downstream.catalog.borrow());
        let max_wait = client_wait.map_or(longest_wait, |wait| longest_wait.min(wait / 2));
        let max_wait = max_wait.min(self.time_to_final_answers());
        match self.input.reserve_rest(&announced, max_wait, limits) {
            Rest::Receivable => {}
            Rest::TooLong => self.refuse(TOO_LONG),
            Rest::NoMemory => self.refuse(NO_MEMORY),
        }
    }

    /// Returns the time until a shutdown gives its last answers; the longest duration without a shutdown.
    fn time_to_final_answers(&self) -> Duration {
        let deadlines = self.downstream.context.shutdown.deadlines();
        let remaining = deadlines.map(|at| at.answers.saturating_duration_since(Instant::now()));
        remaining.unwrap_or(Duration::MAX)
    }

    fn handle_command(&mut self, command: &Command) {
        let catalog = self.downstream.catalog.borrow();
        let parsed = parse_client_command(self.input.unparsed(), command, &catalog);
        drop(catalog);
        let command = self.input.take_command(command.length);
        match parsed {
            Ok(ClientCommand::Ping) => self.handle_ping(),
            Ok(ClientCommand::ConnectionSetting) => self.respond(OK),
            Ok(ClientCommand::Request(mut request)) => {
                request.payload.reservation =
                    Some(self.reserve_request(command.reservation, &command.bytes));
                request.payload.bytes = command.bytes;
                // The client's time counts from its last byte, which may have been unread for as long.
                request.wait = request.wait.saturating_sub(command.waited);
                self.handle_request(*request);
            }
            Err(error) => self.responses.push_error(&error.to_string()),
        }
    }

    /// Reserves the memory of a request. `command` is the reservation of a long command.
    fn reserve_request(&self, command: Option<Reservation>, bytes: &Vec<u8>) -> Reservation {
        let context = &self.downstream.context;
        let mut reservation = match command {
            Some(command) => command.transferred_to(Owner::Requests),
            None => context.memory.hold(Owner::Requests, 0),
        };
        reservation.resize(context.limits.memory.request_bytes + bytes.capacity());
        reservation
    }

    /// Rejects a command for which there was no memory in time. Its bytes have been discarded.
    pub(super) fn reject_for_memory(&self) {
        let retry_after = self.limits().requests.capacity_retry_after.get();
        let rejected = Answer::Rejected { retry_after };
        self.responses.push(Response::Ready(encode(&rejected)));
    }

    /// Tells the load balancer in front of the limiter whether the limiter accepts clients.
    fn handle_ping(&self) {
        if self.downstream.context.shutdown.accepts_clients() {
            self.respond(PONG);
        } else {
            self.responses.push_error(DRAINING);
        }
    }

    /// Passes a request to the handler, or rejects it if a limit is exceeded. Pipelined requests past the limit are
    /// rejected instead of left unread, since the disconnect of a client would not be noticed behind unread commands.
    fn handle_request(&self, request: Request) {
        let context = &self.downstream.context;
        let is_pipeline_full =
            self.responses.len() >= context.limits.downstream.max_pipelined_requests;
        let place = self.responses.push(Response::Pending(request.id));
        if is_pipeline_full || self.close_policy.admission() == Admission::Rejected {
            let retry_after = context.limits.requests.capacity_retry_after.get();
            self.responses
                .answer(place, Answer::Rejected { retry_after });
        } else {
            let frontend = self.responses.clone();
            context.handler.handle_request(frontend, place, request);
        }
    }

    fn respond(&self, response: &[u8]) {
        self.responses.push(Response::Ready(response.to_vec()));
    }

    /// Returns how the next bytes of the client are handled.
    pub(super) fn read_mode(&self) -> ReadMode {
        if self.input.state() == InputState::Malformed {
            ReadMode::Discard
        } else if self.output.is_full(self.limits())
            || self.responses.is_streaming()
            || self.owes_responses_without_memory()
            || self.is_ending_with_unsent_bytes()
        {
            ReadMode::Paused
        } else {
            ReadMode::Commands
        }
    }

    /// Returns whether bytes are unsent, and the process ends as soon as they are sent.
    fn is_ending_with_unsent_bytes(&self) -> bool {
        !self.output.is_empty() && self.downstream.context.shutdown.is_past_exit()
    }

    /// Returns whether responses are unsent, or many are pending, while the process has no memory for further requests.
    /// The next response wakes the connection.
    fn owes_responses_without_memory(&self) -> bool {
        let owes_responses =
            !self.output.is_empty() || self.responses.len() >= MAX_RESPONSES_WITHOUT_MEMORY;
        owes_responses && !self.downstream.context.memory.has_room_for_requests()
    }
}
