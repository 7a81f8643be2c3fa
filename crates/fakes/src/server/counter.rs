//! The fake counter: answers `ADDGET` calls in order on each connection, using the simulation's model of totals and
//! queues.

use crate::context::Context;
use crate::resp::CommandStream;
use quartzcleat_decision::api::{LimiterIndex, Nanos, Outcome};
use quartzcleat_simulation::counter::CounterReply;
use quartzcleat_simulation::oracle::ChoicePoint;
use quartzcleat_simulation::scenario::CounterCallOutcome;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

const NANOS_PER_MS: Nanos = 1_000_000;
const BUSY: &str = "-BUSY\r\n";

/// An `ADDGET` call.
struct Call<'a> {
    name: &'a str,
    amount: f64,
    /// How long the total is kept, in nanoseconds.
    lifetime: Nanos,
}

impl<'a> Call<'a> {
    /// Parses the numbers of a call. Returns `None` if one is malformed.
    fn parse(name: &'a str, amount: &str, lifetime_ms: &str) -> Option<Self> {
        let lifetime_ms: u64 = lifetime_ms.parse().ok()?;
        Some(Call {
            name,
            amount: amount.parse().ok()?,
            lifetime: lifetime_ms.saturating_mul(NANOS_PER_MS),
        })
    }
}

/// Serves one connection of a limiter.
pub(crate) async fn serve_connection(
    context: Rc<Context>,
    limiter: LimiterIndex,
    stream: TcpStream,
) -> io::Result<()> {
    let mut stream = CommandStream::new(stream);
    while let Some(arguments) = stream.next_command().await? {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let answer = match arguments.as_slice() {
            ["ADDGET", name, amount, lifetime_ms] => {
                match Call::parse(name, amount, lifetime_ms) {
                    None => "-ERR no number\r\n".to_owned(),
                    Some(call) => match answer_call(&context, limiter, &call).await {
                        Some(answer) => answer,
                        // Answers are in order: a call without one blocks all later calls on its connection.
                        None => return std::future::pending().await,
                    },
                }
            }
            ["PING"] => "+PONG\r\n".to_owned(),
            ["CLIENT" | "SELECT", ..] => "+OK\r\n".to_owned(),
            _ => "-ERR no such call\r\n".to_owned(),
        };
        stream.write(&answer).await?;
    }
    Ok(())
}

/// Returns the encoded answer to a call, or `None` if the call is never answered.
async fn answer_call(context: &Context, limiter: LimiterIndex, call: &Call<'_>) -> Option<String> {
    let number = context.counter.borrow_mut().next_call(limiter);
    let outcomes = &context.scenario.counter.call_outcomes;
    match context.choose(ChoicePoint::CounterCall, number, outcomes) {
        Some(CounterCallOutcome::Normal) | None => {}
        Some(CounterCallOutcome::RequestLost) => return None,
        Some(CounterCallOutcome::AnswerLost) => {
            execute(context, call);
            return None;
        }
        Some(CounterCallOutcome::Rejected) => return Some(BUSY.to_owned()),
    }
    let network_delay = Duration::from_nanos(context.scenario.network.counter);
    sleep(network_delay).await;
    let now = context.now();
    let done = context.counter.borrow_mut().model.enqueue(call.name, now)?;
    sleep(Duration::from_nanos(done.saturating_sub(now))).await;
    let CounterReply { outcome, total } = execute(context, call);
    sleep(network_delay).await;
    match outcome {
        Outcome::Good => {
            let text = total.to_string();
            Some(format!("${}\r\n{text}\r\n", text.len()))
        }
        Outcome::Rejected => Some(BUSY.to_owned()),
        _ => None,
    }
}

/// Executes a call at the current time.
fn execute(context: &Context, call: &Call<'_>) -> CounterReply {
    let now = context.now();
    let mut counter = context.counter.borrow_mut();
    counter
        .model
        .execute(call.name, call.amount, call.lifetime, now)
}
