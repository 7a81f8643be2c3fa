//! What on-call staff do to a running limiter: the console, servers out of service, draining, a new version.

mod process;
mod toy;

use process::{ask, request, served, start, CHECK};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const PING: &str = "*1\r\n$4\r\nPING\r\n";
const TOY: &str = "{\"host\":\"toy-0\"}";

/// Callers that finish no call hold nobody up, and no bad call changes anything.
#[test]
fn the_console_answers_while_callers_stall_and_bad_calls_change_nothing() {
    let limiter = start(20, false, |text| text);
    let stalled: Vec<_> = (0..50)
        .map(|n| {
            let mut caller = TcpStream::connect(limiter.console).expect("the console listens");
            caller
                .write_all(&b"PUT /drain HTTP/1.1\r\n"[..n % 20])
                .expect("the console reads");
            caller
        })
        .collect();
    let began = Instant::now();
    for (method, path, body, status) in [
        ("GET", "/ready", "", 200),
        ("GET", "/drain", "", 405),
        ("PUT", "/ready", "", 405),
        ("PUT", "/", "", 404),
        ("PUT", "/servers/disable", "", 400),
        ("PUT", "/servers/disable", "{\"host\":1}", 422),
        ("PUT", "/servers/disable", "{\"host\":\"toy-9\"}", 404),
        ("PUT", "/servers/enable", "{\"host\":\"toy-9\"}", 404),
    ] {
        assert_eq!(
            limiter.call(method, path, body),
            status,
            "{method} {path} {body}"
        );
    }
    assert!(
        began.elapsed() < Duration::from_secs(1),
        "after {:?}",
        began.elapsed()
    );
    assert_eq!(
        ask(
            &mut limiter.connect(),
            &(request("Q.ASK", 1, CHECK, "") + PING),
            2
        ),
        served(1) + "+PONG\r\n"
    );
    drop(stalled);
}

/// From the yes on nothing goes to the server, however often it is said; one call back ends it.
#[test]
fn a_server_out_of_service_gets_nothing_until_one_call_back() {
    let limiter = start(21, false, |text| text);
    let mut client = limiter.connect();
    assert_eq!(
        ask(&mut client, &request("Q.ASK", 1, CHECK, ""), 1),
        served(1)
    );
    assert_eq!(
        (
            limiter.call("PUT", "/servers/disable", TOY),
            limiter.call("PUT", "/servers/disable", TOY)
        ),
        (200, 200)
    );
    let answer = ask(&mut client, &request("Q.ASK", 2, CHECK, ""), 1);
    assert!(answer.starts_with("-BUSY"), "{answer}");
    assert_eq!(limiter.call("PUT", "/servers/enable", TOY), 200);
    served_again(&limiter);
}

/// A server that is back counts as cold, so not every request is given to it; the first ones soon are.
fn served_again(limiter: &process::Limiter) {
    let began = Instant::now();
    let few = CHECK.replace("units=1", "units=0.01");
    let mut ids = 100..;
    while !ask(
        &mut limiter.connect(),
        &request("Q.ASK", ids.next().unwrap_or(0), &few, ""),
        1,
    )
    .starts_with('$')
    {
        assert!(
            began.elapsed() < Duration::from_secs(5),
            "not used after {:?}",
            began.elapsed()
        );
    }
}

/// Drained, it says no at once, serves who still comes, lets kept connections go, and is back at a word.
#[test]
fn a_drain_sends_clients_away_between_requests_and_ends_at_a_word() {
    let limiter = start(22, false, |text| text);
    let mut kept = limiter.connect();
    assert_eq!(
        ask(&mut kept, &request("Q.ASK", 1, CHECK, ""), 1),
        served(1)
    );
    let began = Instant::now();
    assert_eq!(limiter.call("PUT", "/drain", ""), 200);
    assert_eq!(
        (
            ask(&mut kept, PING, 1).as_str(),
            limiter.call("GET", "/ready", "")
        ),
        ("-ERR draining\r\n", 503)
    );
    assert_eq!(
        ask(&mut limiter.connect(), &request("Q.ASK", 2, CHECK, ""), 1),
        served(2)
    );
    assert_eq!(kept.read(&mut [0]).expect("an end"), 0);
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "after {:?}",
        began.elapsed()
    );
    // Who comes all the same is heard once, and let go.
    let mut late = limiter.connect();
    assert_eq!(ask(&mut late, PING, 1), "-ERR draining\r\n");
    assert_eq!(late.read(&mut [0]).expect("an end"), 0);
    assert_eq!(limiter.call("PUT", "/undrain", ""), 200);
    let mut back = limiter.connect();
    assert_eq!(
        ask(
            &mut back,
            &(PING.to_owned() + &request("Q.ASK", 3, CHECK, "")),
            2
        ),
        "+PONG\r\n".to_owned() + &served(3)
    );
    assert_eq!(limiter.call("GET", "/ready", ""), 200);
}

/// Whether the other end has not closed a connection, as a client looks before it uses one again.
fn open(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("it is set");
    let seen = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("it is set");
    seen.is_err()
}

/// Twenty new versions one after another, under load on new and on kept connections: none is refused, cut off or
/// failed. Staff's words hold over them, whichever process they were said to.
#[test]
fn new_versions_take_over_without_a_request_lost() {
    let mut limiter = start(23, false, |text| text);
    let (over, address) = (AtomicBool::new(false), limiter.address);
    let facts = CHECK.replace("units=1", "units=0.001");
    std::thread::scope(|scope| {
        let client = |number: u64, keep: bool| {
            let (over, facts) = (&over, &facts);
            move || {
                let (mut id, mut kept, mut cut) = (number << 32, None, 0);
                while !over.load(Ordering::Relaxed) {
                    id += 1;
                    let mut stream: TcpStream = kept
                        .take()
                        .filter(open)
                        .unwrap_or_else(|| TcpStream::connect(address).expect("somebody listens"));
                    stream
                        .write_all(request("Q.ASK", id, facts, "").as_bytes())
                        .unwrap_or_default();
                    let mut answer = [0; 23];
                    match stream.read_exact(&mut answer) {
                        Ok(()) => {
                            assert_eq!(String::from_utf8_lossy(&answer), served(id));
                            kept = keep.then_some(stream);
                        }
                        // A kept connection may end as the request is on its way; a fresh one may not.
                        Err(e) => {
                            assert!(keep, "a new connection ends unheard: {e}");
                            cut += 1;
                        }
                    }
                    std::thread::sleep(Duration::from_millis(1));
                }
                (id - (number << 32), cut)
            }
        };
        let clients: Vec<_> = (1..=4)
            .map(|number| scope.spawn(client(number, number > 2)))
            .collect();
        for number in 0..20 {
            let mut first = limiter.upgrade(number);
            let term = format!("kill -TERM {}", first.id());
            assert!(std::process::Command::new("sh")
                .args(["-c", &term])
                .status()
                .expect("kill runs")
                .success());
            assert!(first.wait().expect("it ends").success());
        }
        over.store(true, Ordering::Relaxed);
        let (mut asked, mut cut) = (0, 0);
        for client in clients {
            let (of_client, cut_off) = client.join().expect("every request was served");
            (asked, cut) = (asked + of_client, cut + cut_off);
        }
        assert!(asked > 200 && cut <= 20, "{asked} asked, {cut} cut off");
    });
}

/// Waits until both processes are seen to refuse, since new connections come to either.
fn both_refuse(limiter: &process::Limiter) {
    let (began, few) = (Instant::now(), CHECK.replace("units=1", "units=0.01"));
    let mut ids = 5_000..;
    let mut in_a_row = 0;
    while in_a_row < 12 {
        let answer = ask(
            &mut limiter.connect(),
            &request("Q.ASK", ids.next().unwrap_or(0), &few, ""),
            1,
        );
        in_a_row = if answer.starts_with("-BUSY") {
            in_a_row + 1
        } else {
            0
        };
        assert!(
            began.elapsed() < Duration::from_secs(15),
            "not heard after {:?}",
            began.elapsed()
        );
    }
}

/// While two processes live, a word to either holds at both; if the second dies, the first goes on as if alone.
#[test]
fn in_the_overlap_either_process_can_be_told_and_the_second_may_die() {
    let mut limiter = start(27, false, |text| text);
    let old_console = limiter.console;
    let mut first = limiter.upgrade(70);
    assert_eq!(
        process::call(old_console, "PUT", "/servers/disable", TOY),
        200
    );
    both_refuse(&limiter);
    assert_eq!(limiter.call("PUT", "/drain", ""), 200);
    let began = Instant::now();
    while process::call(old_console, "GET", "/ready", "") != 503 {
        assert!(
            began.elapsed() < Duration::from_secs(1),
            "the drain is not heard"
        );
    }
    assert_eq!(process::call(old_console, "PUT", "/undrain", ""), 200);
    // The second is killed outright: what it was told stands at the first, and nothing is steered to it.
    limiter.child.kill().expect("it is killed");
    limiter.child.wait().expect("it ends");
    limiter.console = old_console;
    assert_eq!(limiter.call("PUT", "/servers/enable", TOY), 200);
    served_again(&limiter);
    let term = format!("kill -TERM {}", first.id());
    assert!(std::process::Command::new("sh")
        .args(["-c", &term])
        .status()
        .expect("kill runs")
        .success());
    // Nobody relieves it: as at any planned end it takes connections for a while.
    assert_eq!(ask(&mut limiter.connect(), PING, 1), "+PONG\r\n");
    assert!(first.wait().expect("it ends").success());
}

/// A first process that holds more than its half when the second comes, and takes no more for now, still hands over:
/// what waits in its queue is heard as it ends.
#[test]
fn who_waits_before_a_crowded_process_is_heard_as_it_ends() {
    let long = "\"onTimeNs\": 60000000000, \"hardLimitNs\": 60000000000";
    let mut limiter = start(29, false, |text| {
        let text = text.replace("\"sockets\": 1024", "\"sockets\": 128");
        text.replace(
            "\"onTimeNs\": 2000000000, \"hardLimitNs\": 7500000000",
            long,
        )
    });
    let facts = "c=bed-check,t=operator,d=50000,units=0.1,spread=1,first=0";
    let busy: Vec<_> = (100..140)
        .map(|id| {
            let mut client = limiter.connect();
            let both = PING.to_owned() + &request("Q.ASK", id, facts, "silent");
            assert_eq!(ask(&mut client, &both, 1), "+PONG\r\n");
            client
        })
        .collect();
    let old_console = limiter.console;
    let first = limiter.upgrade(71);
    // By the time that a word has come over, the first knows of the second, and keeps to its half.
    for (word, status) in [("/drain", 503), ("/undrain", 200)] {
        assert_eq!(limiter.call("PUT", word, ""), 200);
        while process::call(old_console, "GET", "/ready", "") != status {}
    }
    std::thread::scope(|scope| {
        let began = Instant::now();
        let waiting: Vec<_> = (0..20)
            .map(|_| scope.spawn(|| ask(&mut limiter.connect(), PING, 1)))
            .collect();
        // Some have been heard by the second by now; the others wait before the first.
        let term = format!("kill -TERM {}", first.id());
        assert!(std::process::Command::new("sh")
            .args(["-c", &term])
            .status()
            .expect("kill runs")
            .success());
        for client in waiting {
            assert_eq!(client.join().expect("it is heard"), "+PONG\r\n");
        }
        assert!(
            began.elapsed() < Duration::from_secs(3),
            "after {:?}",
            began.elapsed()
        );
    });
    drop(busy);
    let mut first = first;
    first.kill().expect("it is killed");
    first.wait().expect("it ends");
}

/// The console answers within its second however busy the limiter is, while fifty callers stall.
#[test]
fn the_console_answers_while_the_limiter_is_saturated() {
    let limiter = start(28, false, |text| text);
    let stalled: Vec<_> = (0..50)
        .map(|_| TcpStream::connect(limiter.console).expect("it listens"))
        .collect();
    let (over, address) = (AtomicBool::new(false), limiter.address);
    std::thread::scope(|scope| {
        for number in 1..=6_u64 {
            let over = &over;
            scope.spawn(move || {
                let mut id = number << 40;
                let mut stream = TcpStream::connect(address).expect("it listens");
                while !over.load(Ordering::Relaxed) {
                    let bytes: String = (0..200)
                        .map(|n| request("Q.ASK", id + n, CHECK, ""))
                        .collect();
                    id += 200;
                    ask(&mut stream, &bytes, 200);
                }
            });
        }
        let mut longest = Duration::ZERO;
        for _ in 0..20 {
            let began = Instant::now();
            assert_eq!(limiter.call("GET", "/ready", ""), 200);
            longest = longest.max(began.elapsed());
        }
        over.store(true, Ordering::Relaxed);
        println!("the longest of 20 calls took {longest:?}");
        assert!(longest < Duration::from_secs(1), "{longest:?}");
    });
    drop(stalled);
}

/// A ban said to the old process holds at the new one, and the call back to the new one frees it there.
#[test]
fn staffs_words_hold_over_a_new_version() {
    let mut limiter = start(24, false, |text| text);
    assert_eq!(limiter.call("PUT", "/servers/disable", TOY), 200);
    let mut first = limiter.upgrade(60);
    first.kill().expect("it is killed");
    first.wait().expect("it ends");
    let mut client = limiter.connect();
    let answer = ask(&mut client, &request("Q.ASK", 1, CHECK, ""), 1);
    assert!(answer.starts_with("-BUSY"), "{answer}");
    assert_eq!(limiter.call("PUT", "/servers/enable", TOY), 200);
    served_again(&limiter);
}

/// A version that starts while discovery is silent has the list that the first one holds, and serves by it.
#[test]
fn a_new_version_serves_by_the_list_handed_over() {
    let mut limiter = start(39, false, |text| text);
    assert_eq!(
        ask(&mut limiter.connect(), &request("Q.ASK", 1, CHECK, ""), 1),
        served(1)
    );
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("an address");
    limiter.discovery = silent.local_addr().expect("an address");
    let mut first = limiter.upgrade(72);
    first.kill().expect("it is killed");
    first.wait().expect("it ends");
    assert_eq!(
        ask(&mut limiter.connect(), &request("Q.ASK", 2, CHECK, ""), 1),
        served(2)
    );
    let left = std::fs::read_dir(&limiter.folder)
        .expect("it is there")
        .flatten();
    let left = left.filter(|file| {
        file.path()
            .extension()
            .is_some_and(|end| end == "heritage" || end == "draft")
    });
    assert_eq!(left.count(), 0, "what was handed over is taken away");
}

/// The length of the value that an answer announces.
fn announced(client: &mut TcpStream) -> usize {
    let (mut head, mut byte) = (String::new(), [0]);
    while !head.ends_with("\r\n") {
        client.read_exact(&mut byte).expect("a head");
        head.push(char::from(byte[0]));
    }
    head.trim_end()
        .strip_prefix('$')
        .and_then(|digits| digits.parse().ok())
        .unwrap_or_else(|| panic!("{head}"))
}

/// Forty values of 4 MiB at once, to clients that take them slowly: all are whole, and the limiter never holds more
/// than a part of its 48 MB.
#[test]
fn long_values_pass_through_a_small_memory() {
    let limiter = start(25, false, |text| {
        text.replace("\"memory_mb\": 192", "\"memory_mb\": 48")
    });
    let facts = CHECK.replace("units=1", "units=0.01");
    let mut clients: Vec<_> = (0..40)
        .map(|id| {
            let mut client = limiter.connect();
            client
                .write_all(request("Q.ASK", id, &facts, "long").as_bytes())
                .expect("the limiter reads");
            // All have begun before any is taken further.
            assert_eq!(announced(&mut client), toy::LONG);
            (id, client)
        })
        .collect();
    for (id, client) in &mut clients {
        let mut value = vec![0; toy::LONG + 2];
        client.read_exact(&mut value).expect("the value is whole");
        let expected: Vec<_> = format!("{id:016x}")
            .bytes()
            .cycle()
            .take(toy::LONG)
            .collect();
        assert!(value[..toy::LONG] == expected && value.ends_with(b"\r\n"));
    }
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", limiter.child.id())).expect("it runs");
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .expect("a peak");
    println!("highest resident size: {}", peak.trim());
    let kb: u64 = peak
        .split_whitespace()
        .next()
        .and_then(|text| text.parse().ok())
        .expect("a size");
    assert!(kb < 32 << 10, "{kb} kB");
    // The last one: the first has been idle for as long as the others took, which on a busy machine is too long.
    assert_eq!(
        ask(&mut clients[39].1, &request("Q.ASK", 99, &facts, ""), 1),
        served(99)
    );
}

/// What is shorter or longer than it says never looks whole to its client.
#[test]
fn a_spoilt_long_value_ends_before_its_end() {
    let limiter = start(26, false, |text| text);
    for (id, body) in [(1, "short"), (2, "over")] {
        let mut client = limiter.connect();
        client
            .write_all(request("Q.ASK", id, CHECK, body).as_bytes())
            .expect("the limiter reads");
        let length = announced(&mut client);
        let mut value = Vec::new();
        client.read_to_end(&mut value).unwrap_or_default();
        assert!(
            !value.is_empty() && value.len() < length,
            "{body}: {} of {length}",
            value.len()
        );
    }
}
