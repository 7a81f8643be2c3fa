//! A session of the simulator's protocol: reads batches, passes events to the decision engines of the named limiters,
//! and writes replies.

use super::encode::{encode, encode_end, encode_limiter, encode_panic};
use super::{DecodeError, Decoder, Line};
use crate::api::{Action, Nanos, Settings};
use crate::decision::DecisionEngine;
use std::any::Any;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The reason why a session ended early.
#[derive(Debug, thiserror::Error)]
pub enum SessionError {
    /// The input cannot be read.
    #[error("cannot read the input: {0}")]
    Read(#[source] io::Error),
    /// The reply cannot be written.
    #[error("cannot write the output: {0}")]
    Write(#[source] io::Error),
    /// A line is not valid UTF-8.
    #[error("line {line}, field name: {source}")]
    NotText {
        /// Number of the line, from one.
        line: u64,
        /// The position of the invalid bytes.
        source: std::str::Utf8Error,
    },
    /// A line is malformed.
    #[error(transparent)]
    Malformed(#[from] DecodeError),
    /// The input ends before the end of a batch.
    #[error("line {line}: input ends inside a batch")]
    EndsInBatch {
        /// Number of the last line.
        line: u64,
    },
    /// A batch does not begin with `TICK`.
    #[error("line {line}, field name: expected TICK")]
    ExpectedTick {
        /// Number of the line.
        line: u64,
    },
    /// A batch has a second `TICK`.
    #[error("line {line}, field name: TICK inside a batch")]
    TickInBatch {
        /// Number of the line.
        line: u64,
    },
    /// A line is for a limiter that was not named by `ON` or is not running.
    #[error("line {line}, field name: no running instance was named by ON")]
    NoInstance {
        /// Number of the line.
        line: u64,
    },
}

/// Serves batches from `input` until it ends and writes a reply to `output` after each.
///
/// # Errors
/// Returns an error if the input is malformed or ends inside a batch, or if reading or writing fails.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), SessionError> {
    let mut session = Session::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        let length = input
            .read_until(b'\n', &mut line)
            .map_err(SessionError::Read)?;
        if length == 0 {
            return session.check_end();
        }
        if let Some(reply) = session.handle_line(&line)? {
            output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(SessionError::Write)?;
        }
    }
}

/// The state of a session between two lines.
#[derive(Default)]
struct Session {
    decoder: Decoder,
    engines: BTreeMap<String, DecisionEngine>,
    /// Time of the current batch; `None` between batches.
    batch_time: Option<Nanos>,
    /// Name of the limiter that the current line is for; `None` before the batch names one.
    current: Option<String>,
    /// The limiter that the reply named last; `None` if it has named none.
    last_named: Option<String>,
    reply: String,
    actions: Vec<Action>,
}

impl Session {
    /// Handles one line. Returns the reply if it ends a batch.
    fn handle_line(&mut self, line: &[u8]) -> Result<Option<String>, SessionError> {
        let number = self.decoder.lines() + 1;
        let text = std::str::from_utf8(line).map_err(|source| SessionError::NotText {
            line: number,
            source,
        })?;
        let Some(decoded) = self.decoder.decode(text.trim_end_matches('\n'))? else {
            return Ok(None);
        };
        let Some(now) = self.batch_time else {
            return self.begin_batch(&decoded).map(|()| None);
        };
        match decoded {
            Line::Tick(_) => return Err(SessionError::TickInBatch { line: number }),
            Line::On(name) => self.current = Some(name),
            Line::Start { seed, settings } => self.start(*settings, seed, now)?,
            Line::Stop => {
                let name = self.current_name()?;
                self.engines.remove(&name);
            }
            Line::Event(event) => {
                self.run(|engine, actions| engine.handle(now, event, actions))?;
            }
            Line::UnknownTimer => self.run(|engine, actions| engine.advance(now, actions))?,
            Line::EndOfBatch => return Ok(Some(self.end_batch())),
        }
        Ok(None)
    }

    fn begin_batch(&mut self, line: &Line) -> Result<(), SessionError> {
        let Line::Tick(now) = line else {
            return Err(SessionError::ExpectedTick {
                line: self.decoder.lines(),
            });
        };
        self.batch_time = Some(*now);
        Ok(())
    }

    fn end_batch(&mut self) -> String {
        self.batch_time = None;
        self.current = None;
        self.last_named = None;
        encode_end(&mut self.reply);
        std::mem::take(&mut self.reply)
    }

    fn start(&mut self, settings: Settings, seed: u64, now: Nanos) -> Result<(), SessionError> {
        let name = self.current_name()?;
        let new_engine = || DecisionEngine::new(settings, seed, now);
        match catch_unwind(AssertUnwindSafe(new_engine)) {
            Ok(engine) => drop(self.engines.insert(name, engine)),
            Err(panic) => encode_panic(panic_text(&*panic), &mut self.reply),
        }
        Ok(())
    }

    /// Runs a step of the current limiter's engine and adds its actions to the reply. A panic is caught and reported as
    /// a line of the reply.
    fn run(
        &mut self,
        step: impl FnOnce(&mut DecisionEngine, &mut Vec<Action>),
    ) -> Result<(), SessionError> {
        let name = self.current_name()?;
        let Some(engine) = self.engines.get_mut(&name) else {
            return Err(self.no_instance_error());
        };
        self.actions.clear();
        let actions = &mut self.actions;
        let result = catch_unwind(AssertUnwindSafe(|| step(engine, actions)));
        let has_output = result.is_err() || !self.actions.is_empty();
        if has_output && self.last_named.as_ref() != Some(&name) {
            encode_limiter(&name, &mut self.reply);
            self.last_named = Some(name);
        }
        for action in &self.actions {
            encode(action, &mut self.reply);
        }
        if let Err(panic) = result {
            encode_panic(panic_text(&*panic), &mut self.reply);
        }
        Ok(())
    }

    fn current_name(&self) -> Result<String, SessionError> {
        self.current.clone().ok_or_else(|| self.no_instance_error())
    }

    fn no_instance_error(&self) -> SessionError {
        SessionError::NoInstance {
            line: self.decoder.lines(),
        }
    }

    fn check_end(&self) -> Result<(), SessionError> {
        match self.batch_time {
            None => Ok(()),
            Some(_) => Err(SessionError::EndsInBatch {
                line: self.decoder.lines(),
            }),
        }
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic in the module")
}
