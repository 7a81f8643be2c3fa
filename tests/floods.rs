//! Tests of usual clients beside one that sends as fast as it is answered.

use quartzcleat_test_support::commands::{command, request, send, served, CHEAP_FACTS};
use quartzcleat_test_support::config::replace;
use quartzcleat_test_support::limiter::{Limiter, LimiterSetup};
use std::net::TcpStream;

/// Number of requests that the flooding client has under way.
const WINDOW: u64 = 8;
/// First customer of the flooding client.
const FIRST_NEW_CUSTOMER: u64 = 1_000;
/// Parameters of a request whose client does not wait for its answer.
const IMPATIENT: &str = "c=bed-check,t=operator,d=1,units=0.01,spread=1,first=0";

/// A client that sends each request under a new name.
struct FloodingClient {
    stream: TcpStream,
    parameters: &'static str,
    sent: u64,
}

impl FloodingClient {
    fn connect(limiter: &Limiter, parameters: &'static str) -> Self {
        FloodingClient {
            stream: limiter.connect(),
            parameters,
            sent: 0,
        }
    }

    /// Sends some requests at once, and reads their answers.
    fn send_window(&mut self) {
        let numbers = self.sent..self.sent + WINDOW;
        self.sent += WINDOW;
        let commands: String = numbers
            .map(|number| {
                let customer = format!("{:016x}", FIRST_NEW_CUSTOMER + number);
                let id = format!("{:016x}", 1_000_000 + number);
                command(&["Q.ASK", &customer, &id, self.parameters])
            })
            .collect();
        send(&mut self.stream, &commands, WINDOW as usize);
    }
}

/// Starts a limiter with room for 384 records of customers.
fn start_limiter(number: u8) -> Limiter {
    LimiterSetup::new(env!("CARGO_BIN_EXE_quartzcleat"), number)
        .with_config(|text| replace(text, "\"memory_mb\": 192", "\"memory_mb\": 4"))
        .start()
}

/// All requests of other clients were rejected while the records of ever new customers filled the memory (incident
/// rejections-under-new-names).
fn check_usual_client_beside(number: u8, parameters: &'static str) {
    let limiter = start_limiter(number);
    let mut usual = limiter.connect();
    let mut flooding = FloodingClient::connect(&limiter, parameters);
    for id in 0..250 {
        flooding.send_window();
        let answer = send(&mut usual, &request("Q.ASK", id, CHEAP_FACTS, ""), 1);
        assert_eq!(answer, served(id), "after {} requests", flooding.sent);
    }
}

#[test]
fn usual_client_is_served_beside_one_under_ever_new_names() {
    check_usual_client_beside(1, CHEAP_FACTS);
}

#[test]
fn usual_client_is_served_beside_an_impatient_one_under_ever_new_names() {
    check_usual_client_beside(2, IMPATIENT);
}
