//! Services on loopback that record, message by message, the bytes that a limiter sends them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc};
use std::time::Duration;

/// How long a message is waited for.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(20);

/// The length of the first complete message in the bytes received so far.
type MessageLength = fn(&[u8]) -> Option<usize>;
/// The bytes that answer a message; `None`: the message is left without an answer.
type Answer = Arc<dyn Fn(&str) -> Option<String> + Send + Sync>;

/// A service that records each message and answers it by a function.
pub(crate) struct RecordingService {
    pub address: SocketAddr,
    received: mpsc::Receiver<String>,
}

impl RecordingService {
    /// A service that is called in RESP.
    pub(crate) fn resp(answer: impl Fn(&str) -> Option<String> + Send + Sync + 'static) -> Self {
        Self::start(resp_command_length, Arc::new(answer))
    }

    /// A service that is called in HTTP, with requests that have no body.
    pub(crate) fn http(answer: impl Fn(&str) -> Option<String> + Send + Sync + 'static) -> Self {
        Self::start(http_head_length, Arc::new(answer))
    }

    fn start(message_length: MessageLength, answer: Answer) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it has an address");
        let (sender, received) = mpsc::channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (sender, answer) = (sender.clone(), answer.clone());
                std::thread::spawn(move || serve(stream, message_length, &sender, &answer));
            }
        });
        RecordingService { address, received }
    }

    /// The next message that any connection has brought.
    pub(crate) fn next_message(&self) -> String {
        self.received
            .recv_timeout(RECEIVE_TIMEOUT)
            .expect("the limiter calls")
    }
}

/// Records and answers the messages of one connection until it ends.
fn serve(
    mut stream: TcpStream,
    message_length: MessageLength,
    received: &mpsc::Sender<String>,
    answer: &Answer,
) {
    let mut input = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        while let Some(length) = message_length(&input) {
            let bytes: Vec<u8> = input.drain(..length).collect();
            let message = String::from_utf8(bytes).expect("the message is text");
            let reply = answer(&message);
            // Without a receiver the test has ended.
            if received.send(message).is_err() {
                return;
            }
            let written = stream.write_all(reply.unwrap_or_default().as_bytes());
            if written.is_err() {
                return;
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return,
            Ok(count) => input.extend_from_slice(&chunk[..count]),
        }
    }
}

fn http_head_length(input: &[u8]) -> Option<usize> {
    let end = input.windows(4).position(|bytes| bytes == b"\r\n\r\n")?;
    Some(end + 4)
}

fn resp_command_length(input: &[u8]) -> Option<usize> {
    parse_command(input).map(|command| command.length)
}

/// A command in RESP: an array of bulk strings.
struct RespCommand {
    arguments: Vec<String>,
    length: usize,
}

fn parse_command(input: &[u8]) -> Option<RespCommand> {
    let mut position = 0;
    let count = parse_length(input, &mut position, '*')?;
    let mut arguments = Vec::new();
    for _ in 0..count {
        let length = parse_length(input, &mut position, '$')?;
        let argument = input.get(position..position + length)?;
        arguments.push(String::from_utf8(argument.to_vec()).expect("the argument is text"));
        position += length + "\r\n".len();
    }
    (position <= input.len()).then_some(RespCommand {
        arguments,
        length: position,
    })
}

/// The number on a line that begins with `kind`; `position` moves behind the line.
fn parse_length(input: &[u8], position: &mut usize, kind: char) -> Option<usize> {
    let rest = &input[(*position).min(input.len())..];
    let end = rest.windows(2).position(|bytes| bytes == b"\r\n")?;
    let line = std::str::from_utf8(&rest[..end]).expect("the line is text");
    let digits = line.strip_prefix(kind).expect("a line of this kind");
    *position += end + 2;
    Some(digits.parse().expect("the line contains a length"))
}

fn encode_command(arguments: &[String]) -> String {
    let bulk_strings: Vec<String> = arguments
        .iter()
        .map(|argument| format!("${}\r\n{argument}\r\n", argument.len()))
        .collect();
    format!("*{}\r\n{}", arguments.len(), bulk_strings.concat())
}

/// A command whose arguments are replaced by a function, with the lengths that follow from that. The bytes received are
/// the one form in which a command is written.
pub(crate) fn with_arguments(command: &str, replace: impl Fn(&str) -> String) -> String {
    let parsed = parse_command(command.as_bytes()).expect("the command is complete");
    assert_eq!(encode_command(&parsed.arguments), command);
    let replaced: Vec<String> = parsed.arguments.iter().map(|text| replace(text)).collect();
    encode_command(&replaced)
}
