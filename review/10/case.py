"""Discovery answers over HTTP without a length: the end of the connection ends the body. A server begins to drain."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import parties as p

SERVERS = 4
CONNECTIONS = 4
WAIT_MS = 2000
# safety.drainGraceNs, and 50 ms by the rules on sockets.
GRACE = 1.05
# What discovery has to tell counts as told 6 s later at the latest, whether it arrived or not.
TOLD_AT_THE_LATEST = 6.0


async def client(port, number, record, stop):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    while not stop.is_set():
        name = p.request_id()
        try:
            writer.write(p.request("look", name, WAIT_MS, customer=number))
            outcome, _ = await p.read_answer(reader)
            record(f"client {number}: {name} {outcome}")
        except (asyncio.IncompleteReadError, ConnectionError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(0.05)


async def case(record, folder, started):
    servers = [await p.Server(f"s-{n}", record, work=0.02).start() for n in range(SERVERS)]
    registry = p.Registry([server.entry() for server in servers])
    counter = await p.Counter().start()
    agent = await p.Agent(registry, record, with_length=not p.TROUBLE).start()
    config = {
        "discovery": f"127.0.0.1:{agent.port}",
        "counter": f"127.0.0.1:{counter.port}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": registry.whole(),
        "settings": p.settings(),
    }
    limiter = p.Limiter(folder, "n0", config)
    started.append(limiter)
    await limiter.ready()
    stop = asyncio.Event()
    clients = [asyncio.create_task(client(limiter.port, n, record, stop)) for n in range(CONNECTIONS)]
    await asyncio.sleep(4)
    draining = servers[0]
    await registry.change(draining.entry("DRAINING"))
    told = time.monotonic()
    record(f"{draining.name} drains")
    await asyncio.sleep(14)
    stop.set()
    await asyncio.gather(*clients, return_exceptions=True)
    late = [(begun - told, name) for begun, name in draining.requests if begun - told > TOLD_AT_THE_LATEST + GRACE]
    before = sum(1 for begun, _ in draining.requests if begun <= told)
    record(f"{draining.name}: {before} requests before, {len(draining.requests) - before} after")
    if before < 20:
        raise p.NotRun("too few requests")
    return [f"{name} was sent to {draining.name} {after:.3f} s after discovery listed it as draining" for after, name in late]


if __name__ == "__main__":
    p.run_case(os.path.dirname(os.path.abspath(__file__)), case, 100)
