//! Hosts gateway instances on the wire: reads batches, hands events to the module, flushes replies.

use quartzcleat::api::Nanos;
use quartzcleat::choice::DecisionEngine;
use quartzcleat::simulator::{self, Decoder, Line};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|info| eprintln!("quartzcleat-sim: {info}")));
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("quartzcleat-sim: {message}");
            ExitCode::FAILURE
        }
    }
}

fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut decoder = Decoder::new();
    let mut limiter_count: BTreeMap<String, DecisionEngine> = BTreeMap::new();
    let (mut clock, mut current): (Option<Nanos>, Option<String>) = (None, None);
    let (mut line, mut reply, mut actions) = (Vec::new(), String::new(), Vec::new());
    let mut speaker: Option<String> = None;
    loop {
        line.clear();
        if input
            .read_until(b'\n', &mut line)
            .map_err(|e| format!("cannot read: {e}"))?
            == 0
        {
            return match clock {
                None => Ok(()),
                Some(_) => Err(format!(
                    "line {}: input ends inside a batch",
                    decoder.lines()
                )),
            };
        }
        let number = decoder.lines() + 1;
        let text =
            std::str::from_utf8(&line).map_err(|e| format!("line {number}, field name: {e}"))?;
        let Some(decoded) = decoder
            .decode(text.trim_end_matches('\n'))
            .map_err(|e| e.to_string())?
        else {
            continue;
        };
        let now = match (clock, &decoded) {
            (None, Line::Tick(now)) => {
                clock = Some(*now);
                continue;
            }
            (Some(now), _) => now,
            (None, _) => return Err(format!("line {number}, field name: expected TICK")),
        };
        let outside = || format!("line {number}, field name: no running instance was named by ON");
        match decoded {
            Line::Tick(_) => return Err(format!("line {number}, field name: TICK inside a batch")),
            Line::On(name) => current = Some(name),
            Line::Start { seed, settings } => {
                let name = current.clone().ok_or_else(outside)?;
                match catch_unwind(AssertUnwindSafe(|| {
                    DecisionEngine::new(*settings, seed, now)
                })) {
                    Ok(gateway) => drop(limiter_count.insert(name, gateway)),
                    Err(panic) => simulator::encode_bug(&panic_text(&*panic), &mut reply),
                }
            }
            Line::Stop => drop(limiter_count.remove(current.as_deref().ok_or_else(outside)?)),
            Line::Event(event) => {
                let name = current.as_deref().ok_or_else(outside)?;
                let gateway = limiter_count.get_mut(name).ok_or_else(outside)?;
                actions.clear();
                let outcome = catch_unwind(AssertUnwindSafe(|| {
                    gateway.handle(now, event, &mut actions);
                }));
                if (outcome.is_err() || !actions.is_empty()) && speaker.as_deref() != Some(name) {
                    simulator::encode_by(name, &mut reply);
                    speaker = Some(name.to_owned());
                }
                actions
                    .iter()
                    .for_each(|action| simulator::encode(action, &mut reply));
                if let Err(panic) = outcome {
                    simulator::encode_bug(&panic_text(&*panic), &mut reply);
                }
            }
            Line::EndOfBatch => {
                simulator::encode_end(&mut reply);
                let sent = output
                    .write_all(reply.as_bytes())
                    .and_then(|()| output.flush());
                sent.map_err(|e| format!("cannot write: {e}"))?;
                reply.clear();
                (clock, current, speaker) = (None, None, None);
            }
        }
    }
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic in the module")
        .to_owned()
}
