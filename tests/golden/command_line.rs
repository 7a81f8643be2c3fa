//! The names of commands and flags. Their descriptions may change.

use crate::{assert_golden, LIMITER};
use std::process::Command;

/// The line of a name or default, below those that it belongs to.
fn line(indent: usize, name: &str) -> String {
    format!("{:indent$}{name}\n", "")
}

/// The text before the first separator.
fn before<'a>(text: &'a str, separator: &str) -> &'a str {
    text.split(separator).next().unwrap_or_default()
}

/// Names of commands, flags, their values and defaults in a help text.
fn names(help: &str) -> String {
    let mut names = String::new();
    let mut section = "";
    for help_line in help.lines() {
        let text = help_line.trim();
        if !help_line.starts_with(' ') && help_line.ends_with(':') {
            section = help_line;
        }
        let listed =
            section == "Commands:" && help_line.starts_with("  ") && !help_line.starts_with("   ");
        if text.starts_with('-') && !text.starts_with("- ") {
            names += &line(2, before(text, "  "));
        } else if let Some(value) = text.strip_prefix("- ") {
            names += &line(4, before(value, ":"));
        } else if listed {
            names += &line(2, before(text, " "));
        } else if let Some(at) = text.find("[default: ").or_else(|| text.find("[env: ")) {
            names += &line(4, &text[at..]);
        } else if text.starts_with("Usage:") {
            names += &line(0, text);
        }
    }
    names
}

#[test]
fn commands_and_flags_keep_their_names() {
    let mut all = String::new();
    for command in ["", "serve", "check", "expect", "demo", "use"] {
        let arguments = if command.is_empty() {
            vec!["--help"]
        } else {
            vec![command, "--help"]
        };
        let output = Command::new(LIMITER)
            .env_remove("QUARTZCLEAT_CONFIG")
            .args(arguments)
            .output()
            .expect("the limiter runs");
        assert!(output.status.success());
        let help = String::from_utf8_lossy(&output.stdout);
        let section = format!("# {command}\n{}", names(&help));
        all += &section;
    }
    assert_golden("wire-flags.txt", &all);
}
