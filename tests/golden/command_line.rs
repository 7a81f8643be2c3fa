//! The names of commands and flags. Their descriptions may change.

use crate::{assert_golden, LIMITER};
use std::process::Command;

/// Names of commands, flags, their values and defaults in a help text.
fn names(help: &str) -> String {
    let mut names = String::new();
    let mut section = "";
    for line in help.lines() {
        let text = line.trim();
        if !line.starts_with(' ') && line.ends_with(':') {
            section = line;
        }
        let listed = section == "Commands:" && line.starts_with("  ") && !line.starts_with("   ");
        if text.starts_with('-') && !text.starts_with("- ") {
            let flag = text.split("  ").next().unwrap_or_default();
            names.push_str(&format!("  {flag}\n"));
        } else if let Some(value) = text.strip_prefix("- ") {
            names.push_str(&format!(
                "    {}\n",
                value.split(':').next().unwrap_or_default()
            ));
        } else if listed {
            names.push_str(&format!(
                "  {}\n",
                text.split(' ').next().unwrap_or_default()
            ));
        } else if let Some(at) = text.find("[default: ").or_else(|| text.find("[env: ")) {
            names.push_str(&format!("    {}\n", &text[at..]));
        } else if text.starts_with("Usage:") {
            names.push_str(&format!("{text}\n"));
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
        all += &format!(
            "# {command}\n{}",
            names(&String::from_utf8_lossy(&output.stdout))
        );
    }
    assert_golden("wire-flags.txt", &all);
}
