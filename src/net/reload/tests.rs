//! Tests that a valid configuration is applied completely, and that an invalid one changes nothing.

use super::*;
use crate::api::ClassIndex;
use crate::net::tests::with_limiter;
use crate::net::Limiter;
use proptest::prelude::*;

impl ConfigReloader {
    /// Returns the sender of the services' addresses, through which tests read and change them.
    pub(crate) fn addresses(&self) -> &watch::Sender<Addresses> {
        &self.active_config.addresses
    }
}

const EXAMPLE: &str = include_str!("../../../examples/toy.json");

fn parse_replacement(limiter: &Limiter, text: &str) -> Result<Config, ConfigError> {
    config::parse_replacement(
        &limiter.reloader().active_config.file.borrow(),
        text,
        |_| None,
    )
}

/// Requests of a class that is missing from the new file are accepted during the grace period, and then refused.
#[test]
fn valid_file_changes_classes_and_attempts() {
    with_limiter(&[], |limiter| async move {
        let text = EXAMPLE.replace(
            "\"bed-hold\", \"effect\": \"dedup\"",
            "\"hut-hold\", \"effect\": \"fragile\"",
        );
        let text = text.replace("\"sendCap\": 4", "\"sendCap\": 2");
        limiter.reloader().apply(parse_replacement(&limiter, &text));
        let Event::SettingsChanged { settings } = crate::net::tests::next_event(&limiter).await
        else {
            panic!("the engine receives the settings")
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
        assert_eq!(
            (index("bed-hold"), index("hut-hold")),
            (Some(ClassIndex(1)), Some(ClassIndex(2)))
        );
        let later = limiter
            .reloader()
            .active_config
            .indices
            .borrow()
            .accepted(unix_time::now() + ClassIndices::removal_grace());
        limiter
            .reloader()
            .active_config
            .catalog
            .borrow_mut()
            .retain(&later);
        assert_eq!(
            (index("bed-hold"), index("hut-hold")),
            (None, Some(ClassIndex(2)))
        );
    });
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// A file that is truncated, lacks a line or has a negative number changes nothing.
    #[test]
    fn invalid_file_changes_nothing(end in 0..EXAMPLE.len() - 3, line in 1..EXAMPLE.lines().count() - 1, damage in 0..3) {
        let broken = match damage {
            0 => EXAMPLE[..end].to_owned(),
            1 => EXAMPLE.lines().enumerate().filter(|(i, _)| *i != line).map(|(_, text)| text.to_owned() + "\n").collect(),
            _ => EXAMPLE.replacen("\"hardLimitNs\": ", "\"hardLimitNs\": -", 1 + end % 2),
        };
        // Without one of these lines the file is still valid; the line of `guide` is a complete plan.
        let missing = EXAMPLE.lines().nth(line).unwrap_or_default();
        let may_be_missing = ["\"seed\"", "\"known\"", "\"guide\""].iter().any(|key| missing.contains(key));
        with_limiter(&[], |limiter| async move {
            let before = (*limiter.reloader().addresses().borrow(), limiter.reloader().active_config.file.borrow().clone());
            let result = parse_replacement(&limiter, &broken);
            assert!(result.is_err() || (damage == 1 && may_be_missing), "{broken}");
            if result.is_ok() {
                return;
            }
            limiter.reloader().apply(result);
            assert_eq!((*limiter.reloader().addresses().borrow(), limiter.reloader().active_config.file.borrow().clone()), before);
            assert!(limiter.engine().take_event().is_none());
        });
    }
}
