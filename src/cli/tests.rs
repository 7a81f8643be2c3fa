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
