//! An older build beside the present one: each hands over to the other under load, and no request is lost.
//!
//! `QUARTZCLEAT_OLDER=path cargo test --test side_by_side -- --ignored` runs it.

use quartzcleat_test_support::commands::{is_open, request, send, CHECK_FACTS};
use quartzcleat_test_support::limiter::{terminate, Limiter, LimiterSetup};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::Child;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A limiter of this build.
fn limiter_setup(number: u8) -> LimiterSetup {
    LimiterSetup::new(env!("CARGO_BIN_EXE_quartzcleat"), number)
}

const CLIENTS: u64 = 8;
const LONGEST_WAIT: Duration = Duration::from_secs(20);
/// Requests that must be served between two steps, so that there is load.
const ENOUGH: u64 = 100;
const HOST: &str = r#"{"host":"toy-0"}"#;

fn end(mut process: Child) {
    terminate(&process);
    assert!(process.wait().expect("it ends").success());
}

/// Ends the clients also where an assertion fails.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn wait_until(condition: impl Fn() -> bool) {
    let since = Instant::now();
    while !condition() {
        assert!(
            since.elapsed() < LONGEST_WAIT,
            "too few requests are served"
        );
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// The answers that all clients got.
#[derive(Default)]
struct Answers {
    all: AtomicU64,
    served: AtomicU64,
}

impl Answers {
    /// Waits until enough further requests are served.
    fn wait_for_more(&self) {
        let before = self.served.load(Ordering::Relaxed);
        wait_until(|| self.served.load(Ordering::Relaxed) > before + ENOUGH);
    }
}

/// Sends requests one after another; each must have one sound answer.
fn run_client(client: u64, address: SocketAddr, stop: &AtomicBool, answers: &Answers) {
    let few = CHECK_FACTS.replace("units=1", "units=0.01");
    let mut ids = client << 32..;
    let connect = || TcpStream::connect(address).expect("a process listens");
    let mut stream = connect();
    while !stop.load(Ordering::Relaxed) {
        if !is_open(&stream) {
            stream = connect();
        }
        let timeout = stream.set_read_timeout(Some(LONGEST_WAIT));
        timeout.expect("a time-out is set");
        let id = ids.next().unwrap_or_default();
        let answer = send(&mut stream, &request("Q.ASK", id, &few, ""), 1);
        let is_served = answer == format!("$16\r\n{id:016x}\r\n");
        assert!(
            is_served || answer.starts_with("-BUSY"),
            "client {client}, request {id}: {answer:?}"
        );
        answers.all.fetch_add(1, Ordering::Relaxed);
        let served = u64::from(is_served);
        answers.served.fetch_add(served, Ordering::Relaxed);
    }
}

/// Hands over while the host is in maintenance, which the later process must know from the earlier one.
fn hand_over_maintenance(limiter: &mut Limiter, program: &str, number: u8) {
    assert_eq!(limiter.call_admin("PUT", "/servers/disable", HOST), 200);
    let earlier = limiter.upgrade_to(Path::new(program), number + 2);
    end(earlier);
    let mut stream = TcpStream::connect(limiter.address).expect("a process listens");
    let id = (100 + u64::from(number)) << 32;
    let answer = send(&mut stream, &request("Q.ASK", id, CHECK_FACTS, ""), 1);
    assert!(
        answer.starts_with("-BUSY"),
        "maintenance is not handed over: {answer:?}"
    );
}

#[test]
#[ignore = "needs an older build: QUARTZCLEAT_OLDER=path"]
fn builds_hand_over_to_each_other_without_a_request_lost() {
    let older =
        std::env::var("QUARTZCLEAT_OLDER").expect("QUARTZCLEAT_OLDER names the older build");
    let mut limiter = limiter_setup(210).start();
    let address = limiter.address;
    let stop = AtomicBool::new(false);
    let answers = Answers::default();
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (stop, answers) = (&stop, &answers);
            scope.spawn(move || run_client(client, address, stop, answers));
        }
        let _stop_clients = StopOnDrop(&stop);
        let builds = [(1, older.as_str()), (2, env!("CARGO_BIN_EXE_quartzcleat"))];
        // New to old and old to new while requests are forwarded.
        for (number, program) in builds {
            let earlier = limiter.upgrade_to(Path::new(program), number);
            end(earlier);
            answers.wait_for_more();
        }
        for (number, program) in builds {
            hand_over_maintenance(&mut limiter, program, number);
            assert_eq!(limiter.call_admin("PUT", "/servers/enable", HOST), 200);
            answers.wait_for_more();
        }
    });
    println!(
        "{} answered, {} of them served",
        answers.all.load(Ordering::Relaxed),
        answers.served.load(Ordering::Relaxed)
    );
}
