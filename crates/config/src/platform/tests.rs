//! Tests that the key table, the decoder and the encoder agree on every key.

use super::*;

#[test]
fn all_faults_are_reported_at_once() {
    let pairs = [
        ("balancers", "many"),
        ("limits.sendCap", "-1"),
        ("stats.how", "often"),
        ("me", "0"),
    ];
    let faults = decode(pairs.into_iter().collect()).expect_err("three faults");
    let paths: Vec<_> = faults.iter().map(|fault| fault.path.as_str()).collect();
    assert_eq!(paths, ["balancers", "stats.how", "limits.sendCap"]);
    assert!(decode([("categories.count", "4000000000")].into_iter().collect()).is_err());
}

/// Checks for each key that its default equals an absent key, that another value changes the settings, and that the
/// changed settings survive encoding and decoding.
#[test]
fn key_table_decoder_and_encoder_agree() {
    let counts = [("categories.count", "1"), ("contracts.count", "1")];
    let absent = decode(counts.into_iter().collect()).expect("valid");
    for SettingKey {
        pattern,
        kind,
        default,
    } in KEYS
    {
        let path = pattern.replace(".N.", ".0.");
        assert_eq!(key_of(&path).map(|key| key.pattern), Some(*pattern));
        let read = |value: &str| {
            decode(counts.into_iter().chain([(path.as_str(), value)]).collect())
                .unwrap_or_else(|faults| panic!("{path}: {faults:?}"))
        };
        assert_eq!(read(default), absent, "{path}");
        let other = match kind {
            Kind::Duration | Kind::Number => "7",
            Kind::Flag => "true",
            Kind::Keyword(keywords) => keywords[1],
            Kind::Name => "x",
        };
        let other = read(other);
        assert_ne!(other, absent, "{path} is read");
        // Encoding and decoding preserves the settings.
        let pairs = flatten(&encode(&other, &[])).expect("it has a flat form");
        let decoded = decode(
            pairs
                .iter()
                .map(|(key, value)| (key.as_str(), value.as_str()))
                .collect(),
        );
        assert_eq!(decoded, Ok(other), "{path} is written");
    }
}
