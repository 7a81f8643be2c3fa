//! A limiter's process beside a toy platform, and the commands that it is sent.
#![allow(dead_code)]

use crate::toy;
use quartzcleat_fakes::process::{limiter_command, send_signal, Signal};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// The limiter of this build.
const PROGRAM: &str = env!("CARGO_BIN_EXE_quartzcleat");

/// What a process of a limiter is started with.
struct ProcessSettings<'a> {
    path: &'a Path,
    listen: SocketAddr,
    discovery: SocketAddr,
    console: SocketAddr,
    folder: &'a Path,
}

impl ProcessSettings<'_> {
    fn spawn(&self, program: &Path) -> Child {
        limiter_command(program, self.path)
            .env("BALANCER_LISTEN", self.listen.to_string())
            .env("BALANCER_DISCOVERY", self.discovery.to_string())
            .env("BALANCER_CONSOLE", self.console.to_string())
            .env("TMPDIR", self.folder)
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the limiter starts")
    }
}

pub struct Limiter {
    pub child: Child,
    pub address: SocketAddr,
    pub path: PathBuf,
    pub discovery: SocketAddr,
    pub console: SocketAddr,
    /// `$TMPDIR`, which all processes of this limiter share.
    pub folder: PathBuf,
}

impl Drop for Limiter {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Starts a limiter at an address of its own, beside a toy platform, or one whose counter never answers.
pub fn start(number: u8, silent_counter: bool, change: impl Fn(String) -> String) -> Limiter {
    let (limiter, wake) = start_beside_a_silent_platform(number, silent_counter, change);
    wake.send(()).expect("the toy serves from now on");
    limiter
}

/// The same beside a platform that takes connections and says nothing until it is woken; the limiter is ready by then.
pub fn start_beside_a_silent_platform(
    number: u8,
    silent_counter: bool,
    change: impl Fn(String) -> String,
) -> (Limiter, mpsc::Sender<()>) {
    let (report, reported) = mpsc::channel();
    let (wake, woken) = mpsc::channel();
    std::thread::spawn(move || {
        toy::run(serve_toy(silent_counter, report, woken)).expect("the toy serves");
    });
    let services = reported.recv().expect("the toy is up");
    let limiter = start_process(number, services, change);
    assert_eq!(
        ask(&mut limiter.connect(), "*1\r\n$4\r\nPING\r\n", 1),
        "+PONG\r\n"
    );
    (limiter, wake)
}

/// Where the services that a limiter calls listen.
pub struct Services {
    pub discovery: SocketAddr,
    pub counter: SocketAddr,
}

/// Binds the toy's services, reports their addresses, and serves once it is woken.
async fn serve_toy(
    silent_counter: bool,
    report: mpsc::Sender<Services>,
    woken: mpsc::Receiver<()>,
) -> std::io::Result<()> {
    let bind = || TcpListener::bind("127.0.0.1:0");
    let (discovery, counter, silent, hosts) =
        (bind().await?, bind().await?, bind().await?, bind().await?);
    let called = if silent_counter { &silent } else { &counter };
    let services = Services {
        discovery: discovery.local_addr()?,
        counter: called.local_addr()?,
    };
    report.send(services).map_err(std::io::Error::other)?;
    let config = quartzcleat::net::config::parse(include_str!("../../examples/toy.json"), |_| None);
    let limits = config.map_err(std::io::Error::other)?.limits;
    woken.recv().map_err(std::io::Error::other)?;
    let toy = toy::Toy {
        discovery,
        counter,
        hosts: vec![hosts],
        limits,
    };
    toy.serve().await?;
    drop(silent);
    Ok(())
}

/// Starts a limiter at an address of its own beside services that run already.
pub fn start_process(number: u8, services: Services, change: impl Fn(String) -> String) -> Limiter {
    let Services { discovery, counter } = services;
    // Nobody else has this port at this address.
    let address = SocketAddr::from(([127, 77, 0, number], discovery.port()));
    let console = SocketAddr::from(([127, 78, 0, number], discovery.port()));
    let text = change(include_str!("../../examples/toy.json").to_owned());
    let text = text.replace("127.0.0.1:7002", &counter.to_string());
    let name = format!("quartzcleat-{}-{number}", std::process::id());
    let path = std::env::temp_dir().join(format!("{name}.json"));
    std::fs::write(&path, text).expect("the configuration is written");
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("a folder is made");
    let process = ProcessSettings {
        path: &path,
        listen: address,
        discovery,
        console,
        folder: &folder,
    };
    let child = process.spawn(Path::new(PROGRAM));
    Limiter {
        child,
        address,
        path,
        discovery,
        console,
        folder,
    }
}

/// Asks a process to end.
pub fn send_sigterm(child: &Child) {
    send_signal(child.id(), Signal::SIGTERM).expect("the process runs");
}

/// One call to the console; its status.
pub fn call(console: SocketAddr, method: &str, path: &str, body: &str) -> u16 {
    let length = body.len();
    let text =
        format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}");
    let mut stream = TcpStream::connect(console).expect("the console listens");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a time-out is set");
    stream
        .write_all(text.as_bytes())
        .expect("the console reads");
    let mut answer = String::new();
    stream
        .read_to_string(&mut answer)
        .expect("the console answers");
    answer
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .expect("a status")
}

impl Limiter {
    pub fn connect(&self) -> TcpStream {
        let since = Instant::now();
        loop {
            match TcpStream::connect(self.address) {
                Ok(stream) => {
                    stream
                        .set_read_timeout(Some(Duration::from_secs(20)))
                        .expect("a time-out is set");
                    return stream;
                }
                Err(e) if since.elapsed() > Duration::from_secs(20) => {
                    panic!("the limiter is not up: {e}")
                }
                Err(_) => std::thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    pub fn signal(&self, signal: Signal) {
        send_signal(self.child.id(), signal).expect("the process runs");
    }

    pub fn call(&self, method: &str, path: &str, body: &str) -> u16 {
        call(self.console, method, path, body)
    }

    /// Starts a second process beside this one, and waits until it says that it takes clients; the first one.
    pub fn upgrade(&mut self, number: u8) -> Child {
        self.upgrade_to(Path::new(PROGRAM), number)
    }

    /// The same with another build of the program.
    pub fn upgrade_to(&mut self, program: &Path, number: u8) -> Child {
        let console = SocketAddr::from(([127, 78, 1, number], self.console.port()));
        let process = ProcessSettings {
            path: &self.path,
            listen: self.address,
            discovery: self.discovery,
            console,
            folder: &self.folder,
        };
        let child = process.spawn(program);
        let since = Instant::now();
        while TcpStream::connect(console).is_err() || call(console, "GET", "/ready", "") != 200 {
            assert!(
                since.elapsed() < Duration::from_secs(20),
                "the second process is not up"
            );
            std::thread::sleep(Duration::from_millis(2));
        }
        self.console = console;
        std::mem::replace(&mut self.child, child)
    }

    pub fn terminate(&mut self) -> ExitStatus {
        self.signal(Signal::SIGTERM);
        self.child.wait().expect("the limiter ends")
    }
}

/// Writes, and reads so many answers, or fewer at the end of the connection.
pub fn ask(stream: &mut TcpStream, bytes: &str, count: usize) -> String {
    stream
        .write_all(bytes.as_bytes())
        .expect("the limiter reads");
    let (mut answers, mut reader) = (String::new(), BufReader::with_capacity(1, stream));
    for _ in 0..count {
        let start = answers.len();
        reader.read_line(&mut answers).expect("the limiter answers");
        if answers[start..].starts_with('$') {
            reader.read_line(&mut answers).expect("the value is whole");
        }
    }
    answers
}

pub fn request(verb: &str, id: u64, facts: &str, body: &str) -> String {
    let (customer, id) = (format!("{:016x}", 77), format!("{id:016x}"));
    let words = [verb, &customer, &id, facts, body];
    let words = if body.is_empty() {
        &words[..4]
    } else {
        &words[..]
    };
    let bulks: String = words
        .iter()
        .map(|word| format!("${}\r\n{word}\r\n", word.len()))
        .collect();
    format!("*{}\r\n{bulks}", words.len())
}

pub const CHECK: &str = "c=bed-check,t=operator,d=900,units=1,spread=1,first=0";
pub const HOLD: &str = "c=bed-hold,t=operator,d=900,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0";

pub fn served(id: u64) -> String {
    format!("$16\r\n{id:016x}\r\n")
}
