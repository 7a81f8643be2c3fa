//! Standard error and exit code of a limiter that cannot start.

use crate::{assert_golden, LIMITER};
use quartzcleat_fakes::process::limiter_command;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

const EXAMPLE: &str = include_str!("../../examples/toy.json");

/// A folder for the files of one test, removed at its end.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("golden-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder is made");
        TestFolder(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("the file is written");
        path
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        // A folder that stays in the temporary files changes no result.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A limiter that reads no configuration of the surroundings.
fn limiter() -> Command {
    let mut command = limiter_command(Path::new(LIMITER), Path::new(""));
    command
        .env_remove("BALANCER_CONFIG")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command
}

/// Runs a command that fails; its exit code and standard error, in which the folder is replaced by a name.
fn record(name: &str, command: &mut Command, folder: &TestFolder) -> String {
    let output = command.output().expect("the limiter runs");
    assert!(output.stdout.is_empty(), "{name}");
    let errors = String::from_utf8(output.stderr).expect("errors are text");
    let errors = errors.replace(&folder.0.display().to_string(), "<folder>");
    format!("# {name}: {}\n{errors}", output.status)
}

fn with_config(path: &Path) -> Command {
    let mut command = limiter();
    command.env("BALANCER_CONFIG", path);
    command
}

#[test]
fn a_faulty_platform_configuration_ends_the_start() {
    let folder = TestFolder::new("platform");
    let mut transcript = record("not named", &mut limiter(), &folder)
        + &record(
            "no file",
            &mut with_config(&folder.0.join("none.json")),
            &folder,
        );
    for (name, from, to) in [
        ("not JSON", "\"name\"", "name"),
        ("no counter", "\"counter\": \"127.0.0.1:7002\",", ""),
        ("no address", "\"127.0.0.1:7001\"", "\"nowhere\""),
        ("no count", "\"sockets\": 1024", "\"sockets\": -1"),
        ("too few sockets", "\"sockets\": 1024", "\"sockets\": 8"),
        ("no number", "\"sendCap\": 4", "\"sendCap\": \"four\""),
        ("no keyword", "\"dedup\"", "\"dedupe\""),
        ("no seed", "\"8c1f30d27a5be964\"", "\"x\""),
        ("seed no text", "\"8c1f30d27a5be964\"", "7"),
        ("no list of names", "\"zones\": [\"a\"]", "\"zones\": 7"),
        ("no name", "\"zones\": [\"a\"]", "\"zones\": [7]"),
        (
            "no idle time",
            "\"connIdleNs\": 30000000000",
            "\"connIdleNs\": \"x\"",
        ),
        ("no list of hosts", "\"instances\": []", "\"instances\": 7"),
        ("no host", "\"instances\": []", "\"instances\": [{}]"),
    ] {
        assert!(EXAMPLE.contains(from), "{name}");
        let path = folder.write("platform.json", &EXAMPLE.replacen(from, to, 1));
        transcript += &record(name, &mut with_config(&path), &folder);
    }
    assert_golden("messages-start-platform.txt", &transcript);
}

#[test]
fn a_faulty_product_configuration_ends_the_start() {
    let folder = TestFolder::new("product");
    let platform = folder.write("platform.json", EXAMPLE);
    let mut transcript = String::new();
    let missing = folder.0.join("none.yaml");
    let with_product = |path: &Path| {
        let mut command = with_config(&platform);
        command.arg("--config").arg(path);
        command
    };
    transcript += &record("no file", &mut with_product(&missing), &folder);
    for (name, text) in [
        ("not YAML", "log: ["),
        ("unknown key", "logs: {}\n"),
        (
            "faults of two keys",
            "log:\n  form: x\ntally:\n  every: x\n",
        ),
        ("log filter", "log:\n  filter: \"=\"\n"),
    ] {
        let path = folder.write("product.yaml", text);
        transcript += &record(name, &mut with_product(&path), &folder);
    }
    assert_golden("messages-start-product.txt", &transcript);
}

/// Both addresses are taken by a socket that shares its port with no other.
#[test]
fn an_address_in_use_ends_the_start() {
    let folder = TestFolder::new("addresses");
    let platform = folder.write("platform.json", EXAMPLE);
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = taken.local_addr().expect("it has an address").to_string();
    let mut transcript = String::new();
    for (name, variable) in [
        ("clients", "BALANCER_LISTEN"),
        ("admin", "BALANCER_CONSOLE"),
    ] {
        let mut command = with_config(&platform);
        command
            .env("TMPDIR", &folder.0)
            .env("BALANCER_DISCOVERY", &address)
            .env("BALANCER_COUNTER", &address)
            .env(variable, &address);
        transcript += &record(name, &mut command, &folder).replace(&address, "<address>");
    }
    assert_golden("messages-start-addresses.txt", &transcript);
}
