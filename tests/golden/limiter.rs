//! The limiter on sockets: answers to clients' commands, and the admin console's codes.

use crate::{assert_golden, limiter_setup};
use quartzcleat_test_support::commands::{call_admin, command, send, CHECK_FACTS, HOLD_FACTS};

const CUSTOMER: &str = "000000000000004d";
const ID: &str = "0000000000000001";

/// A fact of a sound request, and what makes the request unusable in its place.
const WRONG_FACTS: [(&str, &str); 7] = [
    ("c=", "c=x"),
    ("t=", "t=x"),
    ("d=", "d=x"),
    ("units=", "units=0"),
    ("units=", "units=7"),
    ("spread=", "spread=2"),
    ("first=", "first=1"),
];

/// After each of these nothing more of the connection can be read.
const MALFORMED: [&str; 11] = [
    "PING\r\n",
    "*x\r\n",
    "*17\r\n",
    "*1\n",
    "*1\r\n:1\r\n",
    "*1\r\n$x\r\n",
    "*1\r\n$99999999\r\n",
    "*1\r\n$1\r\nab\r\n",
    "*1\rx",
    "*1\r\n$-1\r\n",
    "*0\r\n",
];

fn request(verb: &str, facts: &str) -> String {
    command(&[verb, CUSTOMER, ID, facts])
}

fn well_formed_commands() -> Vec<String> {
    vec![
        command(&["PING"]),
        command(&["ping"]),
        command(&["CLIENT", "SETNAME", "x"]),
        command(&["SELECT", "0"]),
        command(&["HELLO"]),
        command(&["Q.ASK", CUSTOMER, ID]),
        command(&["Q.ASK", CUSTOMER, ID, CHECK_FACTS, "a", "b"]),
        command(&["Q.ASK", "4d", ID, CHECK_FACTS]),
        command(&["Q.ASK", "0000000200000000", ID, CHECK_FACTS]),
        command(&["Q.ASK", CUSTOMER, "1", CHECK_FACTS]),
        request("Q.ASK", "c"),
        request("Q.DO", CHECK_FACTS),
        request("Q.ASK", HOLD_FACTS),
        request("Q.DO", &HOLD_FACTS.replace("k=", "r=")),
        request("Q.ASK", CHECK_FACTS),
        command(&["Q.DO", CUSTOMER, "0000000000000002", HOLD_FACTS, "body"]),
        command(&["q.do", CUSTOMER, ID]),
    ]
}

fn request_with_wrong_fact((key, wrong): (&str, &str)) -> String {
    let facts: Vec<_> = CHECK_FACTS
        .split(',')
        .map(|fact| if fact.starts_with(key) { wrong } else { fact })
        .collect();
    request("Q.ASK", &facts.join(","))
}

#[test]
fn each_command_gets_its_exact_answer() {
    let limiter = limiter_setup(201).start();
    let mut cases = well_formed_commands();
    cases.extend(WRONG_FACTS.map(request_with_wrong_fact));
    cases.extend(MALFORMED.map(str::to_owned));
    cases.push(format!("*{}", "1".repeat(1100)));
    let exchanges: Vec<String> = cases
        .iter()
        .map(|case| {
            let answer = send(&mut limiter.connect(), case, 1);
            format!("> {}\n< {}\n", case.escape_debug(), answer.escape_debug())
        })
        .collect();
    assert_golden("wire-resp.txt", &exchanges.concat());
}

#[test]
fn each_admin_call_gets_its_status() {
    let limiter = limiter_setup(202).start();
    let host = r#"{"host":"toy-0"}"#;
    let mut transcript = String::new();
    for (method, path, body) in [
        ("GET", "/ready", ""),
        ("PUT", "/ready", ""),
        ("GET", "/", ""),
        ("GET", "/ready?x=1", ""),
        ("PUT", "/servers/disable", host),
        ("PUT", "/servers/disable", host),
        ("PUT", "/servers/enable", host),
        ("GET", "/servers/disable", host),
        ("POST", "/servers/enable", host),
        ("PUT", "/servers/disable", r#"{"host":"unknown"}"#),
        ("PUT", "/servers/enable", r#"{"host":"unknown"}"#),
        ("PUT", "/servers/disable", ""),
        ("PUT", "/servers/enable", "{"),
        ("PUT", "/servers/disable", "[]"),
        ("PUT", "/servers/enable", r#"{"host":7}"#),
        ("PUT", "/servers/enable", r#"{"host":""}"#),
        ("GET", "/drain", ""),
        ("GET", "/undrain", ""),
        ("PUT", "/drain", ""),
        ("GET", "/ready", ""),
        ("PUT", "/undrain", ""),
        ("GET", "/ready", ""),
    ] {
        let status = call_admin(limiter.admin, method, path, body);
        let line = format!("{method} {path} {body} => {status}\n");
        transcript += &line;
    }
    assert_golden("wire-admin.txt", &transcript);
}
