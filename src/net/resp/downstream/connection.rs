//! A client connection: handles commands as they arrive and sends the responses in the order of the commands.

use super::closing::{
    Admission, CloseDecision, ClosePolicy, CloseReason, ConnectionEnd, LossReason, Progress,
};
use super::idle_connections::{Activity, IdleTimer, Usage};
use super::input::{Input, InputState, ReadMode, ReceiveOutcome};
use super::output::Output;
use super::response_queue::{CollectOutcome, ResponseQueue};
use super::Downstream;
use crate::net::config::Limits;
use crate::net::resp::close::{self, SocketState, UnreadBytes};
use crate::net::shutdown::{CountGuard, Phase};
use crate::net::streaming_body::StreamingBody;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::sleep_until;

mod commands;
#[cfg(test)]
mod tests;

/// Number of commands after which a connection lets other tasks run. All tasks share one thread, so that a client that
/// sends many commands at once would otherwise delay all others.
const MAX_COMMANDS_PER_TURN: usize = 32;

/// Serves a connection until it ends, and closes it.
pub(super) async fn serve(downstream: &Rc<Downstream>, stream: TcpStream, admission: Admission) {
    let context = &downstream.context;
    let stream = Rc::new(stream);
    let responses = ResponseQueue::new(&stream, &context.memory);
    let responses = Rc::new(responses);
    let mut connection = Connection::new(downstream, &stream, admission, &responses);
    let end = connection.run().await;
    drop(connection);
    log_end(end, &responses);
    responses.abandon(&*context.handler);
    // At the connection limit a connection closes at once: if it lingered for its client, other clients would wait for
    // its file descriptor. After malformed bytes, the resulting reset may discard the last response.
    let has_capacity =
        context.shutdown.connections() < context.limits.downstream_connection_share();
    if let (ConnectionEnd::Orderly(reason), true) = (end, has_capacity) {
        close(&stream, reason, context.limits.downstream.linger_timeout).await;
    }
}

/// Closes a connection, and leaves requests unread that cross the close.
async fn close(stream: &TcpStream, reason: CloseReason, linger: Duration) {
    if reason.ends_reading() {
        close::close_discarding(stream, linger).await;
    } else if close::close_between_requests(stream, linger).await == UnreadBytes::Some {
        tracing::debug!(?reason, "request left unread by the close");
    }
}

fn log_end(end: ConnectionEnd, responses: &ResponseQueue) {
    tracing::debug!(
        ?end,
        responses = responses.collected_count(),
        unanswered = responses.len(),
        "client connection ended"
    );
}

/// What a connection does next.
enum Step {
    /// The connection ends.
    End(ConnectionEnd),
    /// There is more to do without waiting.
    Continue,
    /// Other tasks run first, since the connection has handled its commands of one turn.
    Yield,
    /// The connection waits for the client, a response, a time-out or a change of phase.
    Wait,
}

struct Connection<'a> {
    downstream: &'a Rc<Downstream>,
    responses: Rc<ResponseQueue>,
    input: Input<'a>,
    output: Output<'a>,
    idle_timer: IdleTimer,
    phase: watch::Receiver<Phase>,
    close_policy: ClosePolicy,
    /// Counts the connection while a response is in progress, so that a shutdown waits for it.
    response_guard: Option<CountGuard>,
    /// Number of commands handled since other tasks were last let run.
    commands_in_turn: usize,
    /// Whether the input contains no complete command.
    is_input_handled: bool,
}

impl<'a> Connection<'a> {
    fn new(
        downstream: &'a Rc<Downstream>,
        stream: &'a TcpStream,
        admission: Admission,
        responses: &Rc<ResponseQueue>,
    ) -> Self {
        let shutdown = &downstream.context.shutdown;
        Connection {
            downstream,
            responses: responses.clone(),
            input: Input::new(stream, &downstream.context.memory),
            output: Output::new(stream),
            idle_timer: IdleTimer::new(downstream.idle_connections.clone()),
            phase: shutdown.subscribe_phase(),
            close_policy: ClosePolicy::new(admission, shutdown.phase()),
            response_guard: None,
            commands_in_turn: 0,
            is_input_handled: true,
        }
    }

    fn limits(&self) -> &'a Rc<Limits> {
        &self.downstream.context.limits
    }

    async fn run(&mut self) -> ConnectionEnd {
        loop {
            let next = match self.step() {
                Step::End(end) => return end,
                Step::Continue => ControlFlow::Continue(()),
                Step::Yield => self.let_other_tasks_run().await,
                Step::Wait => self.wait().await,
            };
            if let ControlFlow::Break(end) = next {
                return end;
            }
        }
    }

    /// Does everything that is possible without waiting, and decides what comes next.
    fn step(&mut self) -> Step {
        self.handle_commands();
        let collected = self.output.collect(&self.responses);
        if self.read_mode() == ReadMode::Commands {
            // Before the client can receive the end of a streamed value, and send its next command.
            self.input.end_pause();
        }
        if self.output.write(&self.responses, self.limits()).is_err() {
            return Step::End(ConnectionEnd::Lost(LossReason::WriteFailed));
        }
        self.update_response_guard();
        let phase = *self.phase.borrow_and_update();
        let progress = self.progress(collected);
        match self.close_policy.decide(progress, phase) {
            CloseDecision::Close(reason) => Step::End(ConnectionEnd::Orderly(reason)),
            CloseDecision::CloseUnlessReceived(reason) => {
                match self.close_unless_received(reason) {
                    ControlFlow::Break(end) => Step::End(end),
                    ControlFlow::Continue(()) => Step::Continue,
                }
            }
            CloseDecision::Keep => {
                self.update_idle_timer(progress);
                if self.is_turn_over() {
                    Step::Yield
                } else if !self.is_input_handled && self.read_mode() == ReadMode::Commands {
                    // The commands were left while too many bytes were unsent.
                    Step::Continue
                } else {
                    Step::Wait
                }
            }
        }
    }

    fn update_response_guard(&mut self) {
        let is_in_progress = !self.output.is_empty() || self.responses.is_streaming();
        if !is_in_progress {
            self.response_guard = None;
        } else if self.response_guard.is_none() {
            let shutdown = &self.downstream.context.shutdown;
            self.response_guard = Some(shutdown.count_response());
        }
    }

    fn progress(&self, collected: CollectOutcome) -> Progress {
        Progress {
            input: self.input.state(),
            collected,
            is_output_empty: self.output.is_empty(),
            has_pending_response: !self.responses.is_empty(),
            has_responded: self.responses.has_responded(),
        }
    }

    fn is_turn_over(&self) -> bool {
        self.commands_in_turn >= MAX_COMMANDS_PER_TURN
    }

    /// Ends a connection that was idle for too long, did not complete a command, or was evicted. A command that was
    /// rejected for lack of memory is answered first.
    fn expire(&mut self, reason: CloseReason) -> ControlFlow<ConnectionEnd> {
        let ended = self.close_unless_received(reason);
        if ended.is_break() && self.input.is_rejecting() {
            self.reject_for_memory();
            self.input.set_malformed();
            return ControlFlow::Continue(());
        }
        ended
    }

    /// Closes the connection between two requests, unless the socket has received more bytes in the meantime.
    fn close_unless_received(&mut self, reason: CloseReason) -> ControlFlow<ConnectionEnd> {
        match self.input.read_now() {
            SocketState::Read(_) => ControlFlow::Continue(()),
            SocketState::Empty => ControlFlow::Break(ConnectionEnd::Orderly(reason)),
            SocketState::Closed => ControlFlow::Break(ConnectionEnd::Lost(LossReason::ClientGone)),
        }
    }

    fn update_idle_timer(&mut self, progress: Progress) {
        let activity = if !progress.is_between_requests() {
            Activity::Busy
        } else if progress.input == InputState::Empty {
            Activity::Idle
        } else {
            Activity::PartialCommand
        };
        let usage = if progress.has_responded {
            Usage::Used
        } else {
            Usage::New
        };
        self.idle_timer.update(activity, usage, self.limits());
    }

    /// Ends the turn. A client that has left in the meantime is noticed at once, so that no more of its commands are
    /// handled.
    async fn let_other_tasks_run(&mut self) -> ControlFlow<ConnectionEnd> {
        self.commands_in_turn = 0;
        yield_now().await;
        if self.input.has_client_gone().await {
            ControlFlow::Break(ConnectionEnd::Lost(LossReason::ClientGone))
        } else {
            ControlFlow::Continue(())
        }
    }

    /// Waits until there is something to do or the connection has ended.
    async fn wait(&mut self) -> ControlFlow<ConnectionEnd> {
        const CONTINUE: ControlFlow<ConnectionEnd> = ControlFlow::Continue(());
        let lost = |reason| ControlFlow::Break(ConnectionEnd::Lost(reason));
        let limits = self.limits();
        let read_mode = self.read_mode();
        let body = self.responses.current_body();
        let is_closing = *self.phase.borrow() >= Phase::Closing;
        let has_unwritten = !self.output.is_empty();
        let stalled_at = self.output.stalled_at(limits);
        tokio::select! {
            // Responses are polled first, since no command is read behind a value that begins to be streamed. Input is
            // polled next, so that a connection is not closed while a command can be read from it.
            biased;
            () = self.responses.first_ready.notified() => CONTINUE,
            received = self.input.receive(read_mode, limits) => match received {
                ReceiveOutcome::Received => CONTINUE,
                ReceiveOutcome::ClientGone => lost(LossReason::ClientGone),
            },
            () = self.output.writable(), if has_unwritten => CONTINUE,
            () = wait_for_body(body.as_deref()), if self.output.is_empty() => CONTINUE,
            () = sleep_until(stalled_at), if has_unwritten => lost(LossReason::WriteStalled),
            _ = self.phase.changed(), if !is_closing => CONTINUE,
            reason = self.idle_timer.expired(limits) => self.expire(reason),
        }
    }
}

/// Waits until more of a streamed value may be available; never returns without one.
async fn wait_for_body(body: Option<&StreamingBody>) {
    match body {
        Some(body) => body.filled().await,
        None => std::future::pending().await,
    }
}
