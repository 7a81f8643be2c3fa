//! A limiter's process beside a toy platform.

use crate::commands::{call_admin, request, send, ANSWER_TIMEOUT, PING};
use crate::config::LONG_FACTS;
use crate::toy_platform::{self, ToyPlatform};
use quartzcleat_fakes::process::{limiter_command, send_signal, Signal};
use std::ffi::{OsStr, OsString};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// The configuration that limiters are started with.
pub const EXAMPLE_CONFIG: &str = include_str!("../../../examples/toy.json");
/// The counter's address in it.
const EXAMPLE_COUNTER: &str = "127.0.0.1:7002";
/// How often a process that starts is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Changes the text of a configuration.
type ConfigChange = Box<dyn Fn(&str) -> String>;

/// The setup of a limiter.
pub struct LimiterSetup {
    program: PathBuf,
    number: u8,
    counter: CounterBehaviour,
    change: ConfigChange,
    environment: Vec<EnvironmentVariable>,
}

/// An environment variable of a limiter's process.
struct EnvironmentVariable {
    name: String,
    value: OsString,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CounterBehaviour {
    Answers,
    Silent,
}

/// The addresses of the services that a limiter calls.
#[derive(Clone, Copy, Debug)]
pub struct Services {
    /// Discovery.
    pub discovery: SocketAddr,
    /// The counter.
    pub counter: SocketAddr,
}

/// A limiter whose platform accepts connections and is silent.
pub struct LimiterBesideSilentPlatform {
    /// The limiter, which is ready.
    pub limiter: Limiter,
    wake: mpsc::Sender<()>,
}

impl LimiterBesideSilentPlatform {
    /// Lets the platform serve from now on.
    ///
    /// # Panics
    /// Panics where the platform has failed.
    pub fn wake_platform(&self) {
        self.wake.send(()).expect("the platform serves from now on");
    }
}

impl LimiterSetup {
    /// A limiter with the example configuration, beside a toy platform with one host. The number, from 1, is that of no
    /// other limiter of the test target.
    #[must_use]
    pub fn new(program: &str, number: u8) -> Self {
        LimiterSetup {
            program: PathBuf::from(program),
            number,
            counter: CounterBehaviour::Answers,
            change: Box::new(str::to_owned),
            environment: Vec::new(),
        }
    }

    /// Loads the library of `crates/preload` into the first process.
    ///
    /// # Panics
    /// Panics where the library is not built.
    #[must_use]
    pub fn with_preloaded_library(self) -> Self {
        let library = self
            .program
            .with_file_name("deps/libquartzcleat_preload.so");
        assert!(library.exists(), "{} is not built", library.display());
        self.with_environment("LD_PRELOAD", &library)
    }

    /// Sets an environment variable of the first process.
    #[must_use]
    pub fn with_environment(mut self, name: &str, value: impl AsRef<OsStr>) -> Self {
        self.environment.push(EnvironmentVariable {
            name: name.to_owned(),
            value: value.as_ref().to_owned(),
        });
        self
    }

    /// Changes the text of the configuration.
    #[must_use]
    pub fn with_config(mut self, change: impl Fn(&str) -> String + 'static) -> Self {
        self.change = Box::new(change);
        self
    }

    /// The counter accepts connections and never answers.
    #[must_use]
    pub fn with_silent_counter(mut self) -> Self {
        self.counter = CounterBehaviour::Silent;
        self
    }

    /// Starts the limiter and waits until it has discovery's host list. Without the list, requests wait for a quarter
    /// of their latency objective and are rejected then, as on a machine so busy that the list is late.
    ///
    /// # Panics
    /// Panics where the platform or the process does not start, or the list does not arrive in time.
    #[must_use]
    pub fn start(self) -> Limiter {
        let started = self.start_beside_silent_platform();
        started.wake_platform();
        started.limiter.wait_for_host_list();
        started.limiter
    }

    /// Starts the limiter beside a platform that is silent until it is woken.
    ///
    /// # Panics
    /// Panics where the platform or the process does not start.
    #[must_use]
    pub fn start_beside_silent_platform(self) -> LimiterBesideSilentPlatform {
        let counter = self.counter;
        let (report, reported) = mpsc::channel();
        let (wake, woken) = mpsc::channel();
        std::thread::spawn(move || {
            toy_platform::run(serve_platform(counter, report, woken)).expect("the platform serves");
        });
        let services = reported.recv().expect("the platform listens");
        let limiter = self.start_beside(services);
        assert_eq!(send(&mut limiter.connect(), PING, 1), "+PONG\r\n");
        LimiterBesideSilentPlatform { limiter, wake }
    }

    /// Starts the limiter beside services that listen already, without waiting for it.
    ///
    /// # Panics
    /// Panics where files cannot be written or the process does not start.
    #[must_use]
    pub fn start_beside(self, services: Services) -> Limiter {
        let Services { discovery, counter } = services;
        let number = self.number;
        // No other process uses this port at this address.
        let address = SocketAddr::from(([127, 77, 0, number], discovery.port()));
        let admin = SocketAddr::from(([127, 78, 0, number], discovery.port()));
        let text = (self.change)(EXAMPLE_CONFIG);
        let text = text.replace(EXAMPLE_COUNTER, &counter.to_string());
        let name = format!("quartzcleat-{}-{number}", std::process::id());
        let config_path = std::env::temp_dir().join(format!("{name}.json"));
        std::fs::write(&config_path, text).expect("the configuration is written");
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder is made");
        let child = ProcessSettings {
            config_path: &config_path,
            listen: address,
            discovery,
            admin,
            folder: &folder,
            environment: &self.environment,
        }
        .spawn(&self.program);
        Limiter {
            program: self.program,
            child,
            address,
            config_path,
            discovery,
            admin,
            folder,
        }
    }
}

/// Binds the platform's services, reports their addresses, and serves once it is woken.
async fn serve_platform(
    counter_behaviour: CounterBehaviour,
    report: mpsc::Sender<Services>,
    woken: mpsc::Receiver<()>,
) -> io::Result<()> {
    let bind = || TcpListener::bind("127.0.0.1:0");
    let discovery = bind().await?;
    let counter = bind().await?;
    let silent = bind().await?;
    let host = bind().await?;
    let called = match counter_behaviour {
        CounterBehaviour::Answers => &counter,
        CounterBehaviour::Silent => &silent,
    };
    let services = Services {
        discovery: discovery.local_addr()?,
        counter: called.local_addr()?,
    };
    report.send(services).map_err(io::Error::other)?;
    let config = quartzcleat::net::config::parse(EXAMPLE_CONFIG, |_| None);
    let limits = config.map_err(io::Error::other)?.limits;
    woken.recv().map_err(io::Error::other)?;
    let platform = ToyPlatform {
        discovery,
        counter,
        hosts: vec![host],
        limits,
    };
    platform.serve().await?;
    drop(silent);
    Ok(())
}

/// The settings with which a limiter's process is started.
struct ProcessSettings<'a> {
    config_path: &'a Path,
    listen: SocketAddr,
    discovery: SocketAddr,
    admin: SocketAddr,
    folder: &'a Path,
    environment: &'a [EnvironmentVariable],
}

impl ProcessSettings<'_> {
    fn spawn(&self, program: &Path) -> Child {
        let environment = self.environment.iter();
        limiter_command(program, self.config_path)
            .envs(environment.map(|variable| (&variable.name, &variable.value)))
            .env("BALANCER_LISTEN", self.listen.to_string())
            .env("BALANCER_DISCOVERY", self.discovery.to_string())
            .env("BALANCER_CONSOLE", self.admin.to_string())
            .env("TMPDIR", self.folder)
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the limiter starts")
    }
}

/// A limiter, whose process is killed when it is dropped.
pub struct Limiter {
    program: PathBuf,
    /// The process that was started last.
    pub child: Child,
    /// Where it accepts clients.
    pub address: SocketAddr,
    /// Its configuration file.
    pub config_path: PathBuf,
    /// Where the next process finds discovery.
    pub discovery: SocketAddr,
    /// The admin interface of the process that was started last.
    pub admin: SocketAddr,
    /// `$TMPDIR`, which all processes of this limiter share.
    pub folder: PathBuf,
}

impl Drop for Limiter {
    fn drop(&mut self) {
        // The process may have ended already, and files that stay behind do not concern the result.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Limiter {
    /// Connects to it, once it listens.
    ///
    /// # Panics
    /// Panics where it does not listen in time.
    #[must_use]
    pub fn connect(&self) -> TcpStream {
        let began = Instant::now();
        loop {
            match TcpStream::connect(self.address) {
                Ok(stream) => {
                    stream
                        .set_read_timeout(Some(ANSWER_TIMEOUT))
                        .expect("a time-out is set");
                    return stream;
                }
                Err(error) => {
                    assert!(
                        began.elapsed() < ANSWER_TIMEOUT,
                        "the limiter is not up: {error}"
                    );
                    std::thread::sleep(POLL_INTERVAL);
                }
            }
        }
    }

    /// Waits until the limiter has discovery's first list: from then on the admin interface answers 404 for a host that
    /// was never listed, and 503 before.
    fn wait_for_host_list(&self) {
        let began = Instant::now();
        let body = r#"{"host":"never listed"}"#;
        while self.call_admin("PUT", "/servers/enable", body) != 404 {
            assert!(began.elapsed() < ANSWER_TIMEOUT, "no host list arrives");
        }
    }

    /// The answer to one command on a connection of its own.
    ///
    /// # Panics
    /// Panics where the connection fails.
    #[must_use]
    pub fn answer(&self, command: &str) -> String {
        send(&mut self.connect(), command, 1)
    }

    /// Connects, and sends a request that no host answers; by the return of this function the limiter has read it.
    ///
    /// # Panics
    /// Panics where the limiter does not serve the connection.
    #[must_use]
    pub fn connect_with_pending_request(&self, id: u64) -> TcpStream {
        let mut client = self.connect();
        let commands = PING.to_owned() + &request("Q.ASK", id, LONG_FACTS, "silent");
        assert_eq!(send(&mut client, &commands, 1), "+PONG\r\n");
        client
    }

    /// Sends its process a signal.
    ///
    /// # Panics
    /// Panics where the process has ended.
    pub fn signal(&self, signal: Signal) {
        send_signal(self.child.id(), signal).expect("the process runs");
    }

    /// Calls its admin interface; the status of the response.
    ///
    /// # Panics
    /// Panics where the connection fails.
    #[must_use]
    pub fn call_admin(&self, method: &str, path: &str, body: &str) -> u16 {
        call_admin(self.admin, method, path, body)
    }

    /// Starts a second process beside this one, and waits until it accepts clients; returns the first one. The number is
    /// that of no other process of this limiter.
    ///
    /// # Panics
    /// Panics where the process does not accept clients in time.
    #[must_use]
    pub fn upgrade(&mut self, number: u8) -> Child {
        self.upgrade_to(&self.program.clone(), number)
    }

    /// The same with another build of the program.
    ///
    /// # Panics
    /// Panics where the process does not accept clients in time.
    #[must_use]
    pub fn upgrade_to(&mut self, program: &Path, number: u8) -> Child {
        let admin = SocketAddr::from(([127, 78, 1, number], self.admin.port()));
        let child = ProcessSettings {
            config_path: &self.config_path,
            listen: self.address,
            discovery: self.discovery,
            admin,
            folder: &self.folder,
            environment: &[],
        }
        .spawn(program);
        let began = Instant::now();
        while TcpStream::connect(admin).is_err() || call_admin(admin, "GET", "/ready", "") != 200 {
            assert!(
                began.elapsed() < ANSWER_TIMEOUT,
                "the second process is not up"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
        self.admin = admin;
        std::mem::replace(&mut self.child, child)
    }

    /// Asks its process to end, and waits for the end.
    ///
    /// # Panics
    /// Panics where the process has ended.
    pub fn terminate(&mut self) -> ExitStatus {
        self.signal(Signal::SIGTERM);
        self.child.wait().expect("the limiter ends")
    }
}

/// Asks a process to end.
///
/// # Panics
/// Panics where the process has ended.
pub fn terminate(process: &Child) {
    send_signal(process.id(), Signal::SIGTERM).expect("the process runs");
}
