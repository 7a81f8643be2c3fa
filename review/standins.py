"""Stand-ins for the platform around a limiter: hosts, counter, discovery, clients, and the limiter's own process.

Everything listens on 127.0.0.1 with ports chosen by the system. The stand-ins follow the protocol pages; where a page is
silent they behave like a sound server, client or platform.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# The command `run` of deploy/balancer.toml.
RUN = "exec target/release/quartzcleat"
PROGRAM = os.path.join(ROOT, "target", "release", "quartzcleat")
# A case that takes longer could not run. With the clean-up it ends within 120 s.
RUN_SECONDS = 100
MS = 1_000_000
SECOND = 1_000_000_000
# For ids, customers, the clients' moments and the limiters' random numbers; the times of a run are real.
SEED = int(os.environ.get("SEED", "1"))


def fail_to_run(kind, error, trace):
    """An error outside `main` must not look like a broken rule either."""
    sys.__excepthook__(kind, error, trace)
    sys.stderr.flush()
    os._exit(2)


sys.excepthook = fail_to_run


class CannotRun(Exception):
    """The case could not run: exit code 2."""


class Record:
    """The file record.txt: what was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def read_command(reader):
    """Reads one RESP2 command; returns its words, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n")
        if head[:1] != b"*":
            return None
        words = []
        for _ in range(int(head[1:])):
            length = await reader.readuntil(b"\r\n")
            if length[:1] != b"$":
                return None
            word = await reader.readexactly(int(length[1:]) + 2)
            words.append(word[:-2])
        return words
    except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
        return None


def command(*words):
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        word = word if isinstance(word, bytes) else str(word).encode()
        parts.append(b"$%d\r\n%s\r\n" % (len(word), word))
    return b"".join(parts)


def bulk(text):
    data = text.encode()
    return b"$%d\r\n%s\r\n" % (len(data), data)


def parameters(words):
    return dict(pair.split("=", 1) for pair in words[3].decode().split(","))


class Server:
    """A listener and its connections."""

    def __init__(self):
        self.server = None
        self.address = None
        self.writers = set()

    async def listen(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Host(Server):
    """A host. `work` gives the seconds that a request takes; a hanging host keeps its connections open and answers
    nothing, also not what it is working on."""

    def __init__(self, name, record, zone="room-a", work=0.15):
        super().__init__()
        self.name, self.record, self.zone, self.work = name, record, zone, work
        self.hangs = False
        self.lifecycle = "SERVING"
        self.started_at_ms = 0
        # Each entry: (time, words of the command)
        self.received = []
        self.ran = []
        self.answered = {}
        self.in_flight = 0
        # Called with the words after the work; returns the answer, or None for a reset without an answer.
        self.answer = self.value

    @staticmethod
    def value(words):
        return b"*3\r\n" + bulk("v-" + words[2].decode()) + b"$-1\r\n$-1\r\n"

    async def serve(self, reader, writer):
        while True:
            words = await read_command(reader)
            if words is None:
                return
            verb = words[0].upper()
            if verb == b"INFO":
                if not self.hangs:
                    writer.write(bulk(f"inflight={self.in_flight},queue=0"))
                continue
            if verb == b"PING":
                if not self.hangs:
                    writer.write(b"+PONG\r\n")
                continue
            request = words[2].decode()
            self.received.append((time.monotonic(), words))
            self.record(f"{self.name} gets {words[0].decode()} {request} {words[3].decode()}")
            self.in_flight += 1
            await asyncio.sleep(self.work)
            self.in_flight -= 1
            if self.hangs:
                await reader.read()
                return
            self.ran.append((time.monotonic(), words))
            answer = self.answer(words)
            if answer is None:
                self.record(f"{self.name} ran {request} and resets the connection")
                writer.transport.abort()
                return
            writer.write(answer)
            self.answered[request] = time.monotonic()
            self.record(f"{self.name} ran and answers {request}")

    def entry(self):
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": "full-node",
            "cell": 0,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_at_ms,
        }


class Counter(Server):
    """The counter: adds to a named number and returns the total."""

    def __init__(self):
        super().__init__()
        self.totals = {}

    async def serve(self, reader, writer):
        while True:
            words = await read_command(reader)
            if words is None:
                return
            verb = words[0].upper()
            if verb == b"PING":
                writer.write(b"+PONG\r\n")
            elif verb != b"ADDGET":
                writer.write(b"+OK\r\n")
            else:
                now = time.monotonic()
                total, until = self.totals.get(words[1], (0.0, 0.0))
                if until <= now:
                    total, until = 0.0, now + min(int(words[3]), 60_000) / 1000
                total += float(words[2])
                self.totals[words[1]] = (total, until)
                await asyncio.sleep(0.001)
                writer.write(bulk(f"{total:.7g}"))


class Discovery(Server):
    """Discovery over HTTP/1.1: the whole list, and a watch."""

    def __init__(self, hosts, record):
        super().__init__()
        self.hosts, self.record = hosts, record
        self.generation = 1
        self.changes = []
        self.changed = asyncio.Event()

    def set_lifecycle(self, host, lifecycle):
        host.lifecycle = lifecycle
        self.generation += 1
        self.changes.append((self.generation, host))
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self):
        entries = [host.entry() for host in self.hosts if host.lifecycle != "DELETED"]
        return {"generation": self.generation, "reset": True, "instances": entries}

    def since(self, index):
        latest = {host.name: host for generation, host in self.changes if generation > index}
        entries = [host.entry() for host in latest.values()]
        return {"generation": self.generation, "reset": False, "instances": entries}

    async def serve(self, reader, writer):
        while True:
            try:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            path = head.split(" ", 2)[1]
            closes = "connection: close" in head.lower()
            query = dict(p.split("=") for p in path.split("?")[1].split("&")) if "?" in path else {}
            if "index" in query:
                index = int(query["index"])
                deadline = time.monotonic() + min(int(query.get("wait", 0)), 60_000) / 1000
                while self.generation <= index and time.monotonic() < deadline:
                    try:
                        await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
                    except asyncio.TimeoutError:
                        pass
                answer = self.since(index)
            else:
                answer = self.whole()
            body = json.dumps(answer).encode()
            head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            writer.write(head % len(body) + body)
            await writer.drain()
            if closes:
                return


class BeatTarget(Server):
    """The target of a heartbeat task: one line a heartbeat, `ACT TASK ROUND BIDDER PROCESS NUMBER`. It compares tokens
    and answers `OK`, or `OUTDATED` with the greatest token."""

    def __init__(self, record, work=0.0):
        super().__init__()
        self.record, self.work = record, work
        self.greatest = (0, 0, 0)
        # Heartbeats: (time it came, token, number, time of the answer or None, whether the sender left before that)
        self.beats = []

    async def serve(self, reader, writer):
        line = (await reader.readline()).decode().split()
        if len(line) != 6 or line[0] != "ACT":
            return
        token, number = tuple(int(field) for field in line[2:5]), int(line[5])
        if token < self.greatest:
            writer.write(("OUTDATED %d %d %d\n" % self.greatest).encode())
            return
        self.greatest = token
        beat = [time.monotonic(), token, number, None, False]
        self.beats.append(beat)
        self.record(f"target: heartbeat {number} of limiter {token[1]} process {token[2]} begins")
        if self.work:
            # The sender may leave before the operation is answered.
            try:
                await asyncio.wait_for(reader.read(1), self.work)
                beat[4] = True
                self.record(f"target: heartbeat {number} of limiter {token[1]}: the sender left before the answer")
                return
            except asyncio.TimeoutError:
                pass
        writer.write(b"OK\n")
        beat[3] = time.monotonic()


class Limiter:
    """One process of a limiter, started with the command `run` of the deploy file."""

    def __init__(self, name, config, folder, record, label=None, listen=None, console=None, product=None):
        self.name, self.record = name, record
        self.label = label or name
        self.folder = folder
        self.tmpdir = os.path.join(folder, f"{name}-tmp")
        os.makedirs(self.tmpdir, exist_ok=True)
        self.listen = listen or f"127.0.0.1:{free_port()}"
        self.console = console
        config = dict(config, name=name, listen=self.listen)
        self.config_path = os.path.join(folder, f"{self.label}.json")
        with open(self.config_path, "w") as file:
            json.dump(config, file)
        self.environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": self.tmpdir,
            "BALANCER_CONFIG": self.config_path,
            "BALANCER_NAME": name,
            "BALANCER_LISTEN": self.listen,
            "BALANCER_DISCOVERY": config["discovery"],
        }
        if console:
            self.environment["BALANCER_CONSOLE"] = console
        if product:
            path = os.path.join(folder, f"{self.label}.yaml")
            with open(path, "w") as file:
                file.write(product)
            self.environment["QUARTZCLEAT_CONFIG"] = path
        self.process = None
        self.log_path = os.path.join(folder, f"{self.label}.log")

    def start(self):
        log = open(self.log_path, "ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", RUN], cwd=ROOT, env=self.environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.record(f"{self.label} started")
        return self

    def signal(self, number):
        self.record(f"{self.label} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def runs(self):
        return self.process is not None and self.process.poll() is None

    async def wait_ready(self, seconds=10.0):
        """Waits until the limiter answers PING with +PONG."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if not self.runs():
                raise CannotRun(f"{self.label} ended at its start: {self.log()[-500:]}")
            if await ping(self.listen) == b"+PONG\r\n":
                self.record(f"{self.label} answers PING")
                return self
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.label} was not ready in {seconds} s")

    async def wait_end(self, seconds):
        until = time.monotonic() + seconds
        while self.runs() and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if not self.runs():
            self.record(f"{self.label} ended with {self.process.returncode}")
        return not self.runs()

    def kill(self):
        if self.runs():
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def log(self):
        try:
            with open(self.log_path, errors="replace") as file:
                return file.read()
        except OSError:
            return ""


async def ping(address):
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        writer.write(command("PING"))
        answer = await asyncio.wait_for(reader.readline(), 1.0)
        writer.close()
        return answer
    except (OSError, asyncio.TimeoutError):
        return b""


async def call_console(address, method, path, body=None):
    """One call to the door for operators; returns the status."""
    host, port = address.split(":")
    text = json.dumps(body) if body is not None else ""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 2.0)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(text)}\r\n\r\n{text}".encode())
    head = await asyncio.wait_for(reader.readline(), 2.0)
    writer.close()
    return int(head.split(b" ")[1])


async def wait_console_ready(limiter, seconds=6.0):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        try:
            if await call_console(limiter.console, "GET", "/ready") == 200:
                return True
        except (OSError, asyncio.TimeoutError, IndexError):
            pass
        await asyncio.sleep(0.05)
    return False


async def read_answer(reader):
    """Reads one whole answer; returns its bytes, or None if the connection ends before its last byte."""
    try:
        line = await reader.readuntil(b"\r\n")
        if line[:1] == b"$" and int(line[1:]) >= 0:
            return line + await reader.readexactly(int(line[1:]) + 2)
        return line
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


class Client:
    """A connection of a client. Requests may be written one behind another; answers come in their order."""

    def __init__(self, name, record):
        self.name, self.record = name, record
        # Requests in order: [id, time of the last byte, answer, time of the answer]
        self.requests = []
        self.closed_at = None

    async def connect(self, address):
        host, port = address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.ensure_future(self._read())
        return self

    async def _read(self):
        place = 0
        while True:
            answer = await read_answer(self.reader)
            if answer is None:
                self.closed_at = time.monotonic()
                self.record(f"{self.name}: connection ended")
                return
            if place < len(self.requests):
                self.requests[place][2] = answer
                self.requests[place][3] = time.monotonic()
                self.record(f"{self.name}: {self.requests[place][0]} answered {answer[:40]!r}")
            place += 1

    def send(self, words):
        if self.closed_at is not None:
            return None
        self.writer.write(command(*words))
        request = [words[2], time.monotonic(), None, None]
        self.requests.append(request)
        self.record(f"{self.name}: sends {words[0]} {words[2]} {words[3]}")
        return request

    def open(self):
        return self.closed_at is None

    def close(self):
        self.task.cancel()
        self.writer.transport.abort()


class Numbers:
    """Ids of requests and of customers, which follow from the seed."""

    def __init__(self, seed=SEED):
        self.next = (seed << 24) + 1

    def id(self):
        self.next += 1
        return f"{self.next * 0x9E3779B97F4A7C15 % (1 << 64):016x}"

    def customer(self):
        self.next += 1
        return f"{self.next * 0x9E3779B1 % (1 << 33):016x}"


def imlil(limiters=3, me=0):
    """The settings of imlil-main, from the middle of its ranges."""
    return {
        "balancers": limiters,
        "me": me,
        "zone": 0,
        "quantumNs": 4 * MS,
        "zones": ["room-a", "room-b", "room-c"],
        "kinds": ["full-node", "slow-node"],
        "categories": [
            {"name": "bed-check", "effect": "retryable", "group": "all", "dedupWindowNs": 5 * SECOND,
             "onTimeNs": 2 * SECOND, "hardLimitNs": 7500 * MS, "importance": 2.0, "lateWorth": 0.2, "stream": False},
            {"name": "bed-hold", "effect": "dedup", "group": "all", "dedupWindowNs": 4 * SECOND,
             "onTimeNs": SECOND, "hardLimitNs": 4 * SECOND, "importance": 6.0, "lateWorth": 0.2, "stream": False},
        ],
        "contracts": [
            {"name": "guide", "refill": 1.6, "peakUnits": 8.0, "worthFactor": 0.72, "extraWorth": 0.0, "overrunCost": 1.2},
            {"name": "agency", "refill": 4.6, "peakUnits": 22.0, "worthFactor": 1.3, "extraWorth": 0.0, "overrunCost": 0.6},
            {"name": "operator", "refill": 19.0, "peakUnits": 36.0, "concurrency": 8, "worthFactor": 1.6,
             "extraWorth": 0.0, "overrunCost": 0.5},
        ],
        "registryMode": "push",
        "stats": {"how": "probe", "fields": ["inflight", "queue"]},
        "familyInfo": {"counter": True, "counterTimeoutNs": 30 * MS, "callPrice": 0.005, "unitsTop": 6,
                       "costAfter": False},
        "limits": {"connIdleNs": 30 * SECOND, "connectTimeoutNs": 250 * MS, "cpuUsPerS": 500_000,
                   "maxRetryAfterNs": SECOND, "mayCancel": True, "multiplex": 32, "openCap": 20_000,
                   "probing": True, "retryAfter": True, "secondCopies": False, "sendCap": 4},
        "safety": {"askWithinNs": 10 * SECOND, "coldFrom": 0.15, "drainGraceNs": SECOND, "graceToAnswerNs": 16 * MS,
                   "overloadFactor": 3.0, "tipAfterNs": 1500 * MS, "warmAfterNs": 18 * SECOND},
        "charges": {"crossZone": 0.02, "waste": 0.058, "lateFail": 0.08, "probe": 0.014},
    }


def platform(settings, discovery, counter, hosts, generation=1):
    """A limiter's configuration file."""
    return {
        "seed": "%016x" % (SEED * 0x9E3779B97F4A7C15 % (1 << 64)),
        "discovery": discovery.address,
        "counter": counter.address,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": generation, "reset": True, "instances": [host.entry() for host in hosts]},
        "settings": settings,
    }


def lease_section(name, folder, ports, duration, tasks, spool_of=None):
    """The section `lease` of docs/leases.md for one of the limiters in `ports` (name to UDP port)."""
    key = os.path.join(folder, "key")
    if not os.path.exists(key):
        with open(key, "wb") as file:
            file.write(os.urandom(32))
    names = ", ".join(ports)
    addresses = "".join(f"    {other}: 127.0.0.1:{port}\n" for other, port in ports.items())
    return (
        f"lease:\n  limiter: {name}\n  key: {key}\n  duration: {duration}\n  limiters:\n{addresses}"
        f"  acceptors: [{names}]\n  tasks:\n{tasks}"
    )


def usage(sink, *spools):
    """Runs `quartzcleat usage`; returns customer -> (units, unknown)."""
    words = [PROGRAM, "usage", sink, "--format", "json"]
    for spool in spools:
        words += ["--spool", spool]
    done = subprocess.run(words, cwd=ROOT, capture_output=True, text=True, timeout=20)
    if done.returncode == 2:
        raise CannotRun(f"usage: {done.stderr}")
    return {c["customer"]: (c["units"], c["unknown"]) for c in json.loads(done.stdout)["customers"]}


def main(case_file, case):
    """Runs `case(record, folder, trouble)`, a coroutine that returns the list of breaks. Exits with 1 if there is any,
    0 if the rule held, and 2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(case_file))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {'on' if trouble else 'off'}, seed {SEED}")
    # Ends in order too if the case itself is told to end: the limiters are killed below.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    work = tempfile.mkdtemp(prefix="quartzcleat-review-")
    limiters = []
    code = 2
    try:
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/release/quartzcleat is missing: build it first")
        loop = asyncio.new_event_loop()
        breaks = loop.run_until_complete(asyncio.wait_for(case(record, work, trouble, limiters), RUN_SECONDS))
        for line in breaks:
            record(f"BROKEN {line}")
            print(f"broken: {line}")
        code = 1 if breaks else 0
    except CannotRun as error:
        record(f"could not run: {error}")
        print(f"could not run: {error}")
    except asyncio.TimeoutError:
        record("could not run: out of time")
        print("could not run: out of time")
    except Exception as error:  # A fault of the case itself must not look like a broken rule.
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        for limiter in limiters:
            limiter.kill()
        for limiter in limiters:
            for line in limiter.log().splitlines():
                record.file.write(f"log of {limiter.label}: {line}\n")
        shutil.rmtree(work, ignore_errors=True)
    record(f"exit {code}")
    sys.stdout.flush()
    # Without the clean-up of the event loop: its open connections need none.
    os._exit(code)
