//! Tests of argument parsing.

use super::*;
use clap::CommandFactory as _;

#[test]
fn command_line_is_consistent_and_serves_without_arguments() {
    Cli::command().debug_assert();
    let bare = Cli::try_parse_from(["quartzcleat"]).expect("no arguments are needed");
    assert!(bare.command.is_none());
    assert!(Cli::try_parse_from(["quartzcleat", "expect", "--format", "xml"]).is_err());
}

/// Arguments with current names, each with the same arguments under former names.
const RENAMED_ARGUMENTS: [(&[&str], &[&str]); 4] = [
    (&["expect", "--runs", "7"], &["expect", "--plays", "7"]),
    (&["expect", "--no-attribution"], &["expect", "--no-blame"]),
    (&["expect", "--no-vacuity"], &["expect", "--no-vary"]),
    (&["usage", "sink"], &["use", "sink"]),
];

#[test]
fn former_names_of_commands_and_flags_are_accepted() {
    let parse = |arguments: &[&str]| {
        let arguments = std::iter::once("quartzcleat").chain(arguments.iter().copied());
        format!(
            "{:?}",
            Cli::try_parse_from(arguments).expect("the arguments are accepted")
        )
    };
    for (current, former) in RENAMED_ARGUMENTS {
        assert_eq!(parse(former), parse(current), "{former:?}");
    }
}
