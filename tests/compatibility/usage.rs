//! Usage records: spools and sinks, whole and cut in the middle of the last record.

use std::path::PathBuf;
use std::process::Command;

#[test]
fn stored_spools_and_sinks_add_up_to_the_same() {
    let data = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/compatibility/data");
    for sink in ["sink", "sink-cut"] {
        for spool in ["spool", "spool-cut"] {
            for format in ["human", "json"] {
                let output = Command::new(env!("CARGO_BIN_EXE_quartzcleat"))
                    .env_remove("QUARTZCLEAT_CONFIG")
                    .arg("use")
                    .arg(data.join(sink))
                    .arg("--spool")
                    .arg(data.join(spool))
                    .args(["--format", format])
                    .output()
                    .expect("the limiter runs");
                let text = String::from_utf8_lossy(&output.stdout);
                let code = output.status.code().expect("an exit code");
                let name = format!("use-{sink}-{spool}-{format}.txt");
                let expected =
                    std::fs::read_to_string(data.join(&name)).expect("the expected text");
                assert_eq!(format!("{text}exit code {code}\n"), expected, "{name}");
            }
        }
    }
}
