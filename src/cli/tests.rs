//! The command line as a whole.

use super::*;
use clap::CommandFactory as _;

#[test]
fn command_line_is_consistent_and_serves_without_arguments() {
    Cli::command().debug_assert();
    let bare = Cli::try_parse_from(["quartzcleat"]).expect("no arguments are needed");
    assert!(bare.command.is_none());
    assert!(Cli::try_parse_from(["quartzcleat", "expect", "--format", "xml"]).is_err());
}

/// Arguments with present names, and the same arguments with former ones.
const RENAMED: [(&[&str], &[&str]); 4] = [
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
            Cli::try_parse_from(arguments).expect("it is accepted")
        )
    };
    for (present, former) in RENAMED {
        assert_eq!(parse(former), parse(present), "{former:?}");
    }
}
