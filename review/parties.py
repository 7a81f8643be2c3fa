"""Stand-ins for the cases 6 to 10: clients, servers, the counter, discovery's agent, and the start of limiters.

They follow the protocol pages and use nothing but Python's standard library. Everything runs on loopback addresses and
the real clock. One asyncio loop runs all stand-ins of a case; each limiter is a process of its own, started with `run`
of the deploy file.
"""

import asyncio
import json
import logging
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

MS = 1_000_000
S = 1_000 * MS


class NotRun(Exception):
    """The case cannot be run: no verdict."""


class Record:
    """Writes what was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")

    def close(self):
        self.file.close()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def bulk(data):
    return b"$%d\r\n%s\r\n" % (len(data), data)


def command(*words):
    words = [word.encode() if isinstance(word, str) else word for word in words]
    return b"*%d\r\n" % len(words) + b"".join(bulk(word) for word in words)


async def read_command(reader):
    """Returns the words of the next command, and the time of its first byte; None at the end of the stream."""
    first = await reader.read(1)
    if not first:
        return None
    begun = time.monotonic()
    line = first + await reader.readline()
    words = []
    for _ in range(int(line[1:])):
        head = await reader.readline()
        if not head.startswith(b"$"):
            return None
        words.append((await reader.readexactly(int(head[1:]) + 2))[:-2])
    return words, begun


async def serve(handler, port=0, **options):
    """Starts a listener on loopback and returns it with its port."""

    async def guarded(reader, writer):
        try:
            await handler(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, OSError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(guarded, "127.0.0.1", port, limit=1 << 22, **options)
    return server, server.sockets[0].getsockname()[1]


def set_reset(writer):
    """Makes the close of a connection a reset."""
    linger = b"\1\0\0\0\0\0\0\0"
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Counter:
    """The counter: adds an amount to a named number and returns the total."""

    def __init__(self):
        self.totals = {}

    async def start(self):
        self.listener, self.port = await serve(self.handle)
        return self

    async def handle(self, reader, writer):
        while (read := await read_command(reader)) is not None:
            words, _ = read
            verb = words[0].upper()
            if verb == b"ADDGET":
                writer.write(bulk(b"%.7g" % self.add(words)))
            elif verb == b"PING":
                writer.write(b"+PONG\r\n")
            else:
                writer.write(b"+OK\r\n")
            await writer.drain()

    def add(self, words):
        now = time.monotonic()
        name, amount, life = words[1], float(words[2]), float(words[3])
        total, ends = self.totals.get(name, (0.0, 0.0))
        if now >= ends:
            total, ends = 0.0, now + min(life, 60_000) / 1000
        self.totals[name] = (total + amount, ends)
        return total + amount


class Server:
    """One server. `answer` may be replaced: a coroutine that gets the request and writes the answer."""

    def __init__(self, name, record, work=0.05):
        self.name, self.record, self.work = name, record, work
        self.requests = []  # (time of the first byte, id)

    async def start(self):
        self.listener, self.port = await serve(self.handle, backlog=512)
        return self

    def entry(self, lifecycle="SERVING"):
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": "room-1",
            "machineType": "node",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }

    async def handle(self, reader, writer):
        while (read := await read_command(reader)) is not None:
            words, begun = read
            verb = words[0].upper()
            if verb in (b"Q.ASK", b"Q.DO"):
                request = words[2].decode()
                self.requests.append((begun, request))
                self.record(f"server {self.name} begins {request}")
                if not await self.answer(words, request, writer):
                    return
            elif verb == b"PING":
                writer.write(b"+PONG\r\n")
            elif verb == b"INFO":
                writer.write(bulk(b"inflight=1,queue=0"))
            elif verb in (b"CLIENT", b"SELECT"):
                writer.write(b"+OK\r\n")
            else:
                writer.write(b"-ERR\r\n")
            await writer.drain()

    async def answer(self, words, request, writer):
        """Serves a request; returns whether the connection stays open."""
        await asyncio.sleep(self.work)
        self.write_value(writer, value_of(request))
        await writer.drain()
        self.record(f"server {self.name} served {request}")
        return True

    @staticmethod
    def write_value(writer, value):
        writer.write(b"*3\r\n" + bulk(value) + b"$-1\r\n$-1\r\n")


def value_of(request, length=0):
    """The value that any server makes for a request."""
    value = b"value of " + request.encode()
    return value + b"." * max(0, length - len(value))


class Registry:
    """What discovery knows: a numbered list, and the entries that changed with each number."""

    def __init__(self, entries):
        self.generation = 41
        self.entries = {entry["instanceId"]: entry for entry in entries}
        self.changes = []  # (generation, entry)
        self.changed = asyncio.Condition()

    async def change(self, entry):
        async with self.changed:
            self.generation += 1
            self.entries[entry["instanceId"]] = entry
            self.changes.append((self.generation, entry))
            self.changed.notify_all()

    def whole(self):
        entries = list(self.entries.values())
        return {"generation": self.generation, "reset": True, "instances": entries}

    def since(self, index):
        if index < 41:
            return self.whole()
        changed = {entry["instanceId"]: entry for number, entry in self.changes if number > index}
        return {"generation": self.generation, "reset": False, "instances": list(changed.values())}


class Agent:
    """Discovery's agent on the machine of one limiter.

    While it is silent it has the list of before. A call that comes meanwhile, or that waits then, is never answered;
    its connection stays open.
    """

    def __init__(self, registry, record, name="agent", with_length=True):
        self.registry, self.record, self.name = registry, record, name
        self.with_length = with_length
        self.is_silent = False
        self.silences = 0

    async def start(self):
        self.listener, self.port = await serve(self.handle)
        return self

    def fall_silent(self):
        self.is_silent = True
        self.silences += 1

    def come_back(self):
        self.is_silent = False

    async def handle(self, reader, writer):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if not await self.respond(head.decode(), writer):
                return

    async def respond(self, head, writer):
        silences = self.silences
        if self.is_silent:
            return await self.stay_silent(head)
        target = head.split(" ", 2)[1]
        match = re.search(r"index=(\d+)&wait=(\d+)", target)
        if match:
            answer = await self.wait_for_change(int(match[1]), int(match[2]) / 1000)
        else:
            answer = self.registry.whole()
        if self.is_silent or self.silences != silences:
            return await self.stay_silent(head)
        body = json.dumps(answer).encode()
        closes = "connection: close" in head.lower()
        if self.with_length:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n" % len(body))
            writer.write(b"Connection: close\r\n\r\n" if closes else b"\r\n")
            writer.write(body)
        else:
            # The end of the connection is the end of the body.
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n" + body)
            closes = True
        await writer.drain()
        self.record(f"{self.name} told generation {answer['generation']} to {target}")
        return not closes

    async def wait_for_change(self, index, wait):
        registry = self.registry
        async with registry.changed:
            try:
                await asyncio.wait_for(registry.changed.wait_for(lambda: registry.generation > index), wait)
            except asyncio.TimeoutError:
                pass
        return registry.since(index)

    async def stay_silent(self, head):
        self.record(f"{self.name} is silent on {head.split(' ', 2)[1]}")
        await asyncio.sleep(600)
        return False


def settings(balancers=1, me=0, classes=None, **changes):
    """Settings like those of a small deployment."""
    result = {
        "balancers": balancers,
        "me": me,
        "quantumNs": 4 * MS,
        "categories": classes
        or [
            {"name": "look", "effect": "retryable", "group": "all", "onTimeNs": 2 * S, "hardLimitNs": 7 * S,
             "importance": 2.0, "lateWorth": 0.2, "dedupWindowNs": 4 * S, "stream": False},
            {"name": "take", "effect": "dedup", "group": "all", "onTimeNs": 1 * S, "hardLimitNs": 4 * S,
             "importance": 6.0, "lateWorth": 0.2, "dedupWindowNs": 4 * S, "stream": False},
        ],
        "contracts": [
            {"name": "wide", "refill": 400.0, "peakUnits": 800.0, "concurrency": 0, "worthFactor": 1.0,
             "overrunCost": 0.5, "extraWorth": 0.0, "ceilingRate": 0.0, "capDepth": 0.0, "capSlack": 0.0},
        ],
        "charges": {"crossZone": 0.02, "waste": 0.05, "lateFail": 0.08, "probe": 0.01},
        "clients": {"marksRetry": False},
        "family": "gate",
        "familyInfo": {"counter": True, "counterTimeoutNs": 30 * MS, "callPrice": 0.005, "unitsTop": 6,
                       "costAfter": False, "meteringNs": 0, "mailPerS": 0.0},
        "kinds": ["node"],
        "limits": {"connIdleNs": 30 * S, "connectTimeoutNs": 250 * MS, "maxRetryAfterNs": 1 * S, "mayCancel": True,
                   "multiplex": 32, "openCap": 20000, "retryAfter": True, "sendCap": 4, "secondCopies": False,
                   "probing": True, "peers": False, "cpuUsPerS": 500000, "cpuUsPerRequest": 0.0},
        "registryMode": "push",
        "safety": {"askWithinNs": 10 * S, "coldFrom": 0.15, "drainGraceNs": 1 * S, "graceToAnswerNs": 16 * MS,
                   "overloadFactor": 3.0, "tipAfterNs": 1500 * MS, "warmAfterNs": 18 * S},
        "stage": 0,
        "stages": ["nodes"],
        "stats": {"how": "probe", "fields": ["inflight", "queue"]},
        "weights": "none",
        "zone": 0,
        "zones": ["room-1"],
    }
    result.update(changes)
    return result


class Limiter:
    """One limiter process, started with `run` of the deploy file."""

    def __init__(self, folder, name, config, console=None, listen=None, tmpdir=None, product=None):
        self.name = name
        self.port = listen or free_port()
        self.console = console
        self.path = os.path.join(folder, f"{name}-{free_port()}.json")
        self.log = open(self.path + ".log", "wb")
        self.tmpdir = tmpdir or tempfile.mkdtemp(dir=folder)
        self.config = dict(config, name=name, listen=f"127.0.0.1:{self.port}", seed="%016x" % random.getrandbits(64))
        if console:
            self.config["console"] = f"127.0.0.1:{console}"
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        environment = {key: value for key, value in os.environ.items() if not key.startswith(("BALANCER_", "QUARTZ"))}
        environment.update(
            BALANCER_NAME=name,
            BALANCER_LISTEN=self.config["listen"],
            BALANCER_DISCOVERY=self.config["discovery"],
            BALANCER_CONFIG=self.path,
            TMPDIR=self.tmpdir,
        )
        if console:
            environment["BALANCER_CONSOLE"] = self.config["console"]
        if product:
            environment["QUARTZCLEAT_CONFIG"] = product
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", deploy_command("run")],
            cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=self.log, stderr=subprocess.STDOUT,
        )

    async def ready(self, within=30):
        """Waits until the limiter answers PING, as the front does."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise NotRun(f"{self.name} ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(command("PING"))
                answer = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if answer == b"+PONG\r\n":
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise NotRun(f"{self.name} is not ready")

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


def deploy_command(key):
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        match = re.search(rf'^{key} = "([^"]*)"', file.read(), re.M)
    if not match:
        raise NotRun(f"the deploy file has no {key}")
    program = match[1].split()[-1]
    if not os.path.exists(os.path.join(ROOT, program)):
        raise NotRun(f"{program} is not built")
    return match[1]


class Lag:
    """Measures how late the stand-ins' own loop runs, so that its delays are not attributed to a limiter."""

    def __init__(self):
        self.longest = 0.0

    async def run(self, step=0.005):
        while True:
            due = time.monotonic() + step
            await asyncio.sleep(step)
            self.longest = max(self.longest, time.monotonic() - due)

    def take(self):
        longest, self.longest = self.longest, 0.0
        return longest


def request_id():
    return "%016x" % random.getrandbits(64)


def request(kind, request, wait_ms, customer=1, limiters=1, body=b"body"):
    """A client's request in the form of the protocol page. `kind` is `look` or `take`."""
    extras = f"units=1,spread={limiters},first=0"
    if kind == "look":
        words = f"c=look,t=wide,d={wait_ms},{extras}"
        return command("Q.ASK", "%016x" % customer, request, words)
    words = f"c={kind},t=wide,d={wait_ms},k={request_id()},{extras}"
    return command("Q.DO", "%016x" % customer, request, words, body)


async def read_answer(reader):
    """Returns a whole answer: ("served", value), ("refused", line) or ("failed", line)."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        raise asyncio.IncompleteReadError(line, None)
    if line.startswith(b"$") and line != b"$-1\r\n":
        value = await reader.readexactly(int(line[1:]) + 2)
        return "served", value[:-2]
    if line.startswith(b"-BUSY"):
        return "refused", line.strip()
    return "failed", line.strip()


def run_case(folder, case, seconds):
    """Runs a case in a temporary folder and exits with its verdict."""
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="quartzcleat-case-")
    started = []
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    # At its end the loop complains of the connections that are left open.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)

    async def bounded():
        return await asyncio.wait_for(case(record, temporary, started), seconds)

    try:
        faults = asyncio.run(bounded())
        verdict = BROKEN if faults else HELD
        for fault in faults[:20]:
            record(f"FAULT {fault}")
        text = f"{'broken' if faults else 'held'}, {len(faults)} faults, TROUBLE={int(TROUBLE)}"
    except Exception as error:  # an error of the case itself is no verdict on the limiter
        verdict, text = NOT_RUN, f"not run: {error!r}"
    finally:
        for limiter in started:
            limiter.end()
        if os.environ.get("KEEP"):
            print(temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    record(f"VERDICT {text}")
    record.close()
    print(text, flush=True)
    # Without the clean-up of the interpreter, which complains of connections that the loop left open.
    os._exit(verdict)
