//! The limiter on sockets: answers to clients' commands, and the admin console's codes.

use crate::assert_golden;
use crate::process::{ask, call, start, CHECK, HOLD};

fn command(words: &[&str]) -> String {
    let words: String = words
        .iter()
        .map(|word| format!("${}\r\n{word}\r\n", word.len()))
        .collect();
    let count = words.matches("$").count();
    format!("*{count}\r\n{words}")
}

#[test]
fn each_command_gets_its_exact_answer() {
    let limiter = start(201, false, |text| text);
    let customer = "000000000000004d";
    let id = "0000000000000001";
    let request = |verb: &str, facts: &str| command(&[verb, customer, id, facts]);
    let mut cases = vec![
        command(&["PING"]),
        command(&["ping"]),
        command(&["CLIENT", "SETNAME", "x"]),
        command(&["SELECT", "0"]),
        command(&["HELLO"]),
        command(&["Q.ASK", customer, id]),
        command(&["Q.ASK", customer, id, CHECK, "a", "b"]),
        command(&["Q.ASK", "4d", id, CHECK]),
        command(&["Q.ASK", "0000000200000000", id, CHECK]),
        command(&["Q.ASK", customer, "1", CHECK]),
        request("Q.ASK", "c"),
        request("Q.DO", CHECK),
        request("Q.ASK", HOLD),
        request("Q.DO", &HOLD.replace("k=", "r=")),
        request("Q.ASK", CHECK),
        command(&["Q.DO", customer, "0000000000000002", HOLD, "body"]),
        command(&["q.do", customer, id]),
    ];
    for (key, wrong) in [
        ("c=", "c=x"),
        ("t=", "t=x"),
        ("d=", "d=x"),
        ("units=", "units=0"),
        ("units=", "units=7"),
        ("spread=", "spread=2"),
        ("first=", "first=1"),
    ] {
        let facts: Vec<_> = CHECK
            .split(',')
            .map(|fact| if fact.starts_with(key) { wrong } else { fact })
            .collect();
        cases.push(request("Q.ASK", &facts.join(",")));
    }
    // After each of these nothing more of the connection can be read.
    for broken in [
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
    ] {
        cases.push(broken.to_owned());
    }
    cases.push(format!("*{}", "1".repeat(1100)));
    let transcript: String = cases
        .iter()
        .map(|case| {
            let answer = ask(&mut limiter.connect(), case, 1);
            format!("> {}\n< {}\n", case.escape_debug(), answer.escape_debug())
        })
        .collect();
    assert_golden("wire-resp.txt", &transcript);
}

#[test]
fn each_admin_call_gets_its_status() {
    let limiter = start(202, false, |text| text);
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
        let status = call(limiter.console, method, path, body);
        transcript += &format!("{method} {path} {body} => {status}\n");
    }
    assert_golden("wire-admin.txt", &transcript);
}
