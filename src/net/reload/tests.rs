//! What a new configuration changes, and that a faulty one changes nothing.

use super::*;
use crate::net::tests::with_limiter;
use crate::net::Limiter;
use proptest::prelude::*;

impl ConfigReloader {
    /// The addresses of the services, to look at and to change.
    pub(crate) fn addresses(&self) -> &watch::Sender<Addresses> {
        &self.active_config.addresses
    }
}

const TOY: &str = include_str!("../../../examples/toy.json");

fn again(limiter: &Limiter, text: &str) -> Result<Config, ConfigError> {
    config::parse_replacement(
        &limiter.reloader().active_config.file.borrow(),
        text,
        |_| None,
    )
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
        limiter.reloader().apply(again(&limiter, &text));
        let Event::SettingsChanged { settings } = crate::net::tests::next(&limiter).await else {
            panic!("not told")
        };
        let names: Vec<_> = settings
            .classes
            .iter()
            .map(|class| class.name.as_str())
            .collect();
        assert_eq!(
            (names, settings.attempts.max_per_request),
            (vec!["bed-check", "bed-hold", "hut-hold"], 2)
        );
        let index = |name: &str| {
            let catalog = limiter.reloader().active_config.catalog.borrow();
            catalog.class(name).map(|entry| entry.index)
        };
        assert_eq!((index("bed-hold"), index("hut-hold")), (Some(1), Some(2)));
        let later = limiter
            .reloader()
            .active_config
            .indices
            .borrow()
            .accepted(unix_time::now() + ClassIndices::accepted_after_removal());
        limiter
            .reloader()
            .active_config
            .catalog
            .borrow_mut()
            .retain(&later);
        assert_eq!((index("bed-hold"), index("hut-hold")), (None, Some(2)));
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
            let before = (*limiter.reloader().addresses().borrow(), limiter.reloader().active_config.file.borrow().clone());
            let read = again(&limiter, &broken);
            assert!(read.is_err() || (what == 1 && may), "{broken}");
            if read.is_ok() {
                return;
            }
            limiter.reloader().apply(read);
            assert_eq!((*limiter.reloader().addresses().borrow(), limiter.reloader().active_config.file.borrow().clone()), before);
            assert!(limiter.engine().take_event().is_none());
        });
    }
}
