//! SIGHUP: the configuration is read again. A sound file holds from then on, its addresses and its settings; of a
//! broken one nothing does, and the log names all its faults. What follows from descriptors and memory, and whether
//! discovery is asked, holds until the next start.

use super::config::{self, Config};
use super::resp::downstream::RequestCatalog;
use super::shutdown::unix;
use super::task::spawn;
use super::Limiter;
use crate::api::Event;
use quartzcleat_admin::Numbers;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::sleep;

/// Waits for SIGHUP, each time it comes.
///
/// # Errors
/// The signal handler cannot be installed.
pub fn watch(limiter: &Rc<Limiter>) -> Result<(), String> {
    let mut hangup =
        signal(SignalKind::hangup()).map_err(|e| format!("cannot wait for SIGHUP: {e}"))?;
    let limiter = limiter.clone();
    spawn(async move {
        while hangup.recv().await.is_some() {
            let read = config::again(&limiter.file.borrow());
            apply(&limiter, read);
        }
    });
    Ok(())
}

/// Goes over to a new configuration. Guards against a faulty one: it is reported, and the old one holds.
fn apply(limiter: &Rc<Limiter>, read: Result<Config, String>) {
    let config = match read {
        Err(problem) => return tracing::warn!("the configuration stays as it was: {problem}"),
        Ok(config) => config,
    };
    let Config {
        addresses,
        mut settings,
        limits,
        zones,
        file,
        ..
    } = config;
    limiter.file.replace(file);
    limiter
        .addresses
        .send_if_modified(|held| std::mem::replace(held, addresses) != addresses);
    limiter.limits.retune(&limits);
    limiter.upstream.reports.set(settings.reports);
    // Zones keep their numbers too.
    settings.zone = limiter.endpoints.borrow_mut().zone(&zones, settings.zone);
    let table = limiter.numbers.borrow_mut().take(&settings, unix());
    limiter.engine.borrow_mut().retune(&limits);
    hear(limiter, &table);
    tracing::info!(
        classes = settings.classes.len(),
        plans = settings.plans.len(),
        "new settings are in force"
    );
    limiter.tell(Event::SettingsChanged {
        settings: Box::new(table),
    });
    // What vanished is heard a little longer.
    let limiter = limiter.clone();
    spawn(async move {
        sleep(Duration::from_nanos(Numbers::heard_for())).await;
        let terms = limiter
            .terms
            .borrow()
            .heard_again(limiter.numbers.borrow().heard(unix()));
        limiter.terms.replace(terms);
    });
}

fn hear(limiter: &Rc<Limiter>, table: &crate::api::Settings) {
    let heard = limiter.numbers.borrow().heard(unix());
    limiter.terms.replace(RequestCatalog::of(table, heard));
}

#[cfg(test)]
mod crossings;

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::tests::with_limiter;
    use proptest::prelude::*;

    const TOY: &str = include_str!("../../examples/toy.json");

    fn again(limiter: &Limiter, text: &str) -> Result<Config, String> {
        config::reread(&limiter.file.borrow(), text, |_| None)
    }

    /// A sound file is taken whole; requests of a class that is gone are heard for a moment, then no more.
    #[test]
    fn classes_and_attempts_change_while_the_program_runs() {
        with_limiter(&[], |limiter| async move {
            let text = TOY.replace(
                "\"bed-hold\", \"effect\": \"dedup\"",
                "\"hut-hold\", \"effect\": \"fragile\"",
            );
            let text = text.replace("\"sendCap\": 4", "\"sendCap\": 2");
            apply(&limiter, again(&limiter, &text));
            let Event::SettingsChanged { settings } = crate::net::tests::next(&limiter).await
            else {
                panic!("not told")
            };
            let names: Vec<_> = settings
                .classes
                .iter()
                .map(|class| class.name.as_str())
                .collect();
            assert_eq!(
                (names, settings.max_attempts),
                (vec!["bed-check", "bed-hold", "hut-hold"], 2)
            );
            let number = |name: &str| limiter.terms.borrow().class(name);
            assert_eq!((number("bed-hold"), number("hut-hold")), (Some(1), Some(2)));
            let later = limiter
                .numbers
                .borrow()
                .heard(unix() + Numbers::heard_for());
            let terms = limiter.terms.borrow().heard_again(later);
            assert_eq!(
                (terms.class("bed-hold"), terms.class("hut-hold")),
                (None, Some(2))
            );
        });
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

        /// Whatever is cut off, whichever line is lost and whatever number turns to nought: nothing of it is taken.
        #[test]
        fn a_broken_file_changes_nothing(end in 0..TOY.len() - 3, line in 1..TOY.lines().count() - 1, what in 0..3) {
            let broken = match what {
                0 => TOY[..end].to_owned(),
                1 => TOY.lines().enumerate().filter(|(i, _)| *i != line).map(|(_, text)| text.to_owned() + "\n").collect(),
                _ => TOY.replacen("\"hardLimitNs\": ", "\"hardLimitNs\": -", 1 + end % 2),
            };
            // Lines that a file may lose leave it whole; one is a whole plan, which may vanish.
            let gone = TOY.lines().nth(line).unwrap_or_default();
            let may = ["\"seed\"", "\"known\"", "\"guide\""].iter().any(|key| gone.contains(key));
            with_limiter(&[], |limiter| async move {
                let before = (*limiter.addresses.borrow(), limiter.file.borrow().clone());
                let read = again(&limiter, &broken);
                assert!(read.is_err() || (what == 1 && may), "{broken}");
                if read.is_ok() {
                    return;
                }
                apply(&limiter, read);
                assert_eq!((*limiter.addresses.borrow(), limiter.file.borrow().clone()), before);
                assert!(limiter.engine.borrow_mut().untold().is_none());
            });
        }
    }
}
