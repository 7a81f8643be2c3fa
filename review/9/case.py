"""A planned restart while a server still gives a long value: SIGTERM, and SIGKILL later than the earliest moment."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import parties as p

SERVERS = 3
CLIENTS = 6
VALUE_BYTES = 4 << 20
PIECE_BYTES = 32 << 10
PIECE_S = 0.05  # 4 MiB take 6.4 s
WAIT_MS = 2000
KILL_AFTER_S = 12.0  # no sooner than the longest deadline (at most 3 s) and 0.7 s


class SlowServer(p.Server):
    """Writes a long value in small pieces, without a pause of more than some tens of milliseconds."""

    async def answer(self, words, request, writer):
        value = p.value_of(request, VALUE_BYTES)
        writer.write(b"*3\r\n$%d\r\n" % len(value))
        for start in range(0, len(value), PIECE_BYTES):
            try:
                writer.write(value[start : start + PIECE_BYTES])
                await writer.drain()
            except ConnectionError:
                self.record(f"server {self.name}: {request} was cut off at {start} bytes")
                raise
            await asyncio.sleep(PIECE_S)
        writer.write(b"\r\n$-1\r\n$-1\r\n")
        await writer.drain()
        self.record(f"server {self.name} served {request}")
        return True


async def client(number, port, record, faults):
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
    name = p.request_id()
    writer.write(p.request("look", name, WAIT_MS, customer=number))
    record(f"client {number}: sent {name}")
    received = 0
    head = await reader.readline()
    if not head.startswith(b"$") or head == b"$-1\r\n":
        record(f"client {number}: {name} {head!r}")
        return
    length = int(head[1:])
    value = b""
    while len(value) < length + 2:
        try:
            piece = await reader.read(1 << 16)
        except ConnectionError:
            piece = b""
        if not piece:
            record(f"client {number}: {name} cut off at {len(value)} of {length} bytes")
            faults.append(f"{name} was cut off at {len(value)} of {length} bytes")
            return
        value += piece
    writer.close()
    if value[:-2] != p.value_of(name, VALUE_BYTES):
        faults.append(f"{name} got a value that no server made for it")
    record(f"client {number}: {name} served, {length} bytes")


async def case(record, folder, started):
    servers = [await SlowServer(f"s-{n}", record).start() for n in range(SERVERS)]
    registry = p.Registry([server.entry() for server in servers])
    agent = await p.Agent(registry, record).start()
    counter = await p.Counter().start()
    classes = [
        {"name": "look", "effect": "retryable", "group": "all", "onTimeNs": 750 * p.MS, "hardLimitNs": 2500 * p.MS,
         "importance": 1.0, "lateWorth": 0.2, "dedupWindowNs": 0, "stream": False},
    ]
    config = {
        "discovery": f"127.0.0.1:{agent.port}",
        "counter": f"127.0.0.1:{counter.port}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": registry.whole(),
        "settings": p.settings(classes=classes),
    }
    limiter = p.Limiter(folder, "n0", config)
    started.append(limiter)
    await limiter.ready()
    faults = []
    clients = [asyncio.create_task(client(n, limiter.port, record, faults)) for n in range(CLIENTS)]
    await asyncio.sleep(1)
    if p.TROUBLE:
        record("SIGTERM")
        terminated = time.monotonic()
        limiter.process.send_signal(signal.SIGTERM)
        until = terminated + KILL_AFTER_S
        while limiter.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.01)
        if limiter.process.poll() is None:
            # What SIGKILL finds unanswered is not lost if it came before SIGTERM.
            record("SIGKILL")
            limiter.process.kill()
            await asyncio.sleep(0.2)
            return []
        record(f"the limiter ended {time.monotonic() - terminated:.2f} s after SIGTERM, code {limiter.process.returncode}")
    await asyncio.gather(*clients)
    return faults


if __name__ == "__main__":
    p.run_case(os.path.dirname(os.path.abspath(__file__)), case, 60)
