//! The program as a process, spoken to over sockets, beside a toy platform.

use quartzcleat_fakes::process::Signal;
use quartzcleat_test_support::commands::{request, send, served, CHECK_FACTS, HOLD_FACTS};
use quartzcleat_test_support::limiter::LimiterSetup;
use std::io::{Read, Write};
use std::time::{Duration, Instant};

/// A limiter of this build.
fn limiter_setup(number: u8) -> LimiterSetup {
    LimiterSetup::new(env!("CARGO_BIN_EXE_quartzcleat"), number)
}

#[test]
fn pipelined_requests_are_served_in_order_and_malformed_ones_do_not_end_them() {
    let limiter = limiter_setup(1).start();
    let mut client = limiter.connect();
    let broken = request("Q.ASK", 3, "c=bed-check,t=operator", "");
    let unknown = "*1\r\n$5\r\nHELLO\r\n";
    let bytes = request("Q.ASK", 1, CHECK_FACTS, "")
        + unknown
        + &request("Q.DO", 2, HOLD_FACTS, "a bed")
        + &broken
        + &request("Q.ASK", 4, CHECK_FACTS, "x");
    let expected = served(1)
        + "-ERR unknown command\r\n"
        + &served(2)
        + "-ERR the list holds no d that is a time\r\n"
        + &served(4);
    assert_eq!(send(&mut client, &bytes, 5), expected);
    // What cannot be read any further is answered and ends the connection, after all that came before it.
    let expected = served(5) + "-ERR a command is an array of bulk strings\r\n";
    assert_eq!(
        send(
            &mut client,
            &(request("Q.ASK", 5, CHECK_FACTS, "") + "PING\r\n"),
            3
        ),
        expected
    );
}

#[test]
fn every_failure_of_a_host_ends_in_one_answer_before_the_deadline() {
    let limiter = limiter_setup(2).start();
    for (body, id) in [("error", 1), ("cut", 2), ("silent", 3)] {
        let (mut client, began) = (limiter.connect(), Instant::now());
        let answer = send(&mut client, &request("Q.DO", id, HOLD_FACTS, body), 1);
        assert!(
            answer.starts_with('-') && answer.ends_with("\r\n"),
            "{body}: {answer:?}"
        );
        assert!(
            began.elapsed() < Duration::from_millis(950),
            "{body}: after {:?}",
            began.elapsed()
        );
    }
    assert_eq!(
        send(
            &mut limiter.connect(),
            &request("Q.DO", 9, HOLD_FACTS, "fine"),
            1
        ),
        served(9)
    );
}

/// The design lets requests pass while the counter is silent, after a short wait.
#[test]
fn a_silent_counter_holds_nobody_up() {
    let limiter = limiter_setup(3).with_silent_counter().start();
    let (mut client, began) = (limiter.connect(), Instant::now());
    for id in 1..=5 {
        assert_eq!(
            send(&mut client, &request("Q.ASK", id, CHECK_FACTS, ""), 1),
            served(id)
        );
    }
    assert!(
        began.elapsed() < Duration::from_millis(900),
        "after {:?}",
        began.elapsed()
    );
}

#[test]
fn beyond_the_quota_and_past_the_open_cap_the_answer_is_a_back_off_one() {
    let limiter = limiter_setup(4)
        .with_config(move |text| text.replace("\"openCap\": 20000", "\"openCap\": 1"))
        .start();
    let mut client = limiter.connect();
    // The open cap: the second finds the first still out.
    let both = request("Q.DO", 1, HOLD_FACTS, "silent") + &request("Q.ASK", 2, CHECK_FACTS, "");
    let answers = send(&mut client, &both, 2);
    assert!(
        answers.starts_with('-') && answers.ends_with("\r\n-BUSY 1000\r\n"),
        "{answers}"
    );
    // The quota: guide has a window of 9 s for 18 units, and asks for 30 within it.
    let mut client = limiter.connect();
    let facts = "c=bed-check,t=guide,d=900,units=6,spread=1,first=0";
    let answers: Vec<_> = (3..13)
        .map(|id| send(&mut client, &request("Q.ASK", id, facts, ""), 1))
        .collect();
    assert!(
        answers.iter().any(|answer| answer.starts_with("-BUSY")),
        "{answers:?}"
    );
}

/// Where the settings do not allow to tell clients when to come back, no answer does.
#[test]
fn no_time_is_told_where_the_settings_forbid_it() {
    let limiter = limiter_setup(10)
        .with_config(move |text| {
            text.replace("\"retryAfter\": true", "\"retryAfter\": false")
                .replace("\"openCap\": 20000", "\"openCap\": 1")
        })
        .start();
    let facts = "c=bed-check,t=guide,d=900,units=6,spread=1,first=0";
    let answers: Vec<_> = (1..11)
        .map(|id| send(&mut limiter.connect(), &request("Q.ASK", id, facts, ""), 1))
        .collect();
    assert!(
        answers.iter().any(|answer| answer == "-BUSY\r\n"),
        "{answers:?}"
    );
    let both = request("Q.DO", 20, HOLD_FACTS, "silent") + &request("Q.ASK", 21, CHECK_FACTS, "");
    assert!(send(&mut limiter.connect(), &both, 2).ends_with("\r\n-BUSY\r\n"));
}

/// Where every connection is owed something, one past the limit gets back-off answers and is let go.
#[test]
fn a_connection_past_the_limit_is_told_to_back_off() {
    let long = "\"onTimeNs\": 60000000000, \"hardLimitNs\": 60000000000";
    let limiter = limiter_setup(6)
        .with_config(move |text| {
            let text = text.replace("\"sockets\": 1024", "\"sockets\": 128");
            text.replace(
                "\"onTimeNs\": 2000000000, \"hardLimitNs\": 7500000000",
                long,
            )
        })
        .start();
    let facts = "c=bed-check,t=operator,d=50000,units=0.1,spread=1,first=0";
    let open = |id| {
        let mut client = limiter.connect();
        // By the answer to the first command the second has been read.
        let both = request("Q.ASK", id, facts, "silent");
        assert_eq!(
            send(&mut client, &("*1\r\n$4\r\nPING\r\n".to_owned() + &both), 1),
            "+PONG\r\n"
        );
        client
    };
    let mut held: Vec<_> = (100..164).map(open).collect();
    let two = request("Q.ASK", 1, CHECK_FACTS, "") + &request("Q.ASK", 2, CHECK_FACTS, "");
    assert_eq!(
        send(&mut limiter.connect(), &two, 3),
        "-BUSY 1000\r\n-BUSY 1000\r\n"
    );
    // They make room as they leave: a further connection is served more than once.
    held.clear();
    let since = Instant::now();
    let ping = b"*1\r\n$4\r\nPING\r\n";
    let twice = |_| {
        let (mut client, mut answers) = (limiter.connect(), [0; 14]);
        let pinged = client
            .write_all(ping)
            .and_then(|()| client.read_exact(&mut answers[..7]));
        let again = pinged.and_then(|()| client.write_all(ping));
        again
            .and_then(|()| client.read_exact(&mut answers[7..]))
            .is_ok()
    };
    assert!((0..)
        .take_while(|_| since.elapsed() < Duration::from_secs(20))
        .any(twice));
}

/// Past the limit on connections the one that has been idle longest makes room for one that asks.
#[test]
fn the_longest_idle_connection_makes_room() {
    let limiter = limiter_setup(8)
        .with_config(move |text| text.replace("\"sockets\": 1024", "\"sockets\": 128"))
        .start();
    let few = CHECK_FACTS.replace("units=1", "units=0.1");
    let open = |id| {
        let mut client = limiter.connect();
        assert_eq!(
            send(&mut client, &request("Q.ASK", id, &few, ""), 1),
            served(id)
        );
        client
    };
    let mut held: Vec<_> = (0..64).map(open).collect();
    let further = open(64);
    assert_eq!(held[0].read(&mut [0]).expect("an end"), 0);
    assert_eq!(
        send(&mut held[63], &request("Q.ASK", 65, CHECK_FACTS, ""), 1),
        served(65)
    );
    drop(further);
}

/// Who says nothing, or half a command, is let go within 3 s, and who has been idle for long a little later.
#[test]
fn connections_that_ask_for_nothing_end() {
    let limiter = limiter_setup(9).start();
    let (began, whole) = (Instant::now(), request("Q.ASK", 1, CHECK_FACTS, ""));
    let (mut silent, mut half, mut used) =
        (limiter.connect(), limiter.connect(), limiter.connect());
    half.write_all(&whole.as_bytes()[..40])
        .expect("the limiter reads");
    assert_eq!(send(&mut used, &whole, 1), served(1));
    for client in [&mut silent, &mut half] {
        // In order, also where half a command was read.
        assert_eq!(client.read(&mut [0]).ok(), Some(0));
    }
    assert!(
        began.elapsed() < Duration::from_secs(3),
        "after {:?}",
        began.elapsed()
    );
    assert_eq!(
        send(&mut used, &request("Q.ASK", 2, CHECK_FACTS, ""), 1),
        served(2)
    );
    assert_eq!(used.read(&mut [0]).expect("an end"), 0);
}

/// At a planned end, connections are served on, and one that waits for an answer gets it.
#[test]
fn at_sigterm_what_was_taken_is_answered_and_the_program_ends_well() {
    let mut limiter = limiter_setup(5).start();
    let (mut idle, mut busy) = (limiter.connect(), limiter.connect());
    busy.write_all(request("Q.DO", 1, HOLD_FACTS, "silent").as_bytes())
        .expect("the limiter reads");
    let waiting = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(200));
        let late = send(&mut idle, &request("Q.ASK", 2, CHECK_FACTS, ""), 1);
        (late, send(&mut busy, "", 1))
    });
    assert!(limiter.terminate().success());
    let (late, answer) = waiting.join().expect("the clients end");
    assert_eq!(late, served(2));
    assert!(
        answer.starts_with('-') && answer.ends_with("\r\n"),
        "{answer:?}"
    );
}

/// SIGHUP moves the limiter to the services that the file names by then; a faulty file moves nothing.
#[test]
fn at_sighup_discovery_and_counter_are_called_where_the_file_says() {
    let mut limiter = limiter_setup(7).start();
    let mut client = limiter.connect();
    std::fs::write(&limiter.config_path, "{").expect("the file is replaced");
    limiter.signal(Signal::SIGHUP);
    assert_eq!(
        send(&mut client, &request("Q.ASK", 1, CHECK_FACTS, ""), 1),
        served(1)
    );
    let services = [
        std::net::TcpListener::bind("127.0.0.1:0"),
        std::net::TcpListener::bind("127.0.0.1:0"),
    ];
    let services = services.map(|bound| bound.expect("a port is free"));
    let [discovery, counter] = [0, 1].map(|i: usize| {
        services[i]
            .local_addr()
            .expect("it has an address")
            .to_string()
    });
    let text = include_str!("../examples/toy.json").replace("127.0.0.1:7001", &discovery);
    std::fs::write(
        &limiter.config_path,
        text.replace("127.0.0.1:7002", &counter),
    )
    .expect("the file is replaced");
    limiter.signal(Signal::SIGHUP);
    let called = services
        .each_ref()
        .map(|service| service.accept().expect("the limiter connects"));
    // The list held stays valid while the new address tells nothing, and a silent counter holds nobody up.
    assert_eq!(
        send(&mut client, &request("Q.ASK", 2, CHECK_FACTS, ""), 1),
        served(2)
    );
    assert!(limiter.terminate().success());
    drop(called);
}

#[test]
fn a_faulty_configuration_is_named_by_its_key() {
    for (from, to, message) in [
        (
            "\"127.0.0.1:7001\"",
            "\"nowhere\"",
            "discovery: \"nowhere\" is not an address",
        ),
        (
            "\"sendCap\": 4",
            "\"sendCap\": \"four\"",
            "settings.limits.sendCap: cannot read",
        ),
        (
            "\"sockets\": 1024",
            "\"sockets\": -1",
            "limits.sockets: -1 is not a count",
        ),
        (
            "\"dedup\"",
            "\"dedupe\"",
            "settings.categories.1.effect: unknown word",
        ),
        ("\"counter\": \"127.0.0.1:7002\",", "", "counter: missing"),
        ("\"8c1f30d27a5be964\"", "7", "seed: 7 is not a text"),
    ] {
        let text = include_str!("../examples/toy.json").replacen(from, to, 1);
        let problem = quartzcleat::net::config::parse(&text, |_| None)
            .expect_err(to)
            .to_string();
        assert!(problem.starts_with(message), "{problem}");
    }
}
