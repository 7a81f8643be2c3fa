"""A server begins to drain while discovery is down: who still sends to it after discovery's return has told of it."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import parties as p

LIMITERS = 8
SERVERS = 4
CONNECTIONS = 3
DOWN_S = 8.0
WAIT_MS = 2000
# safety.drainGraceNs, and 50 ms by the rules on sockets.
GRACE = 1.05


async def client(port, number, record, stop):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    while not stop.is_set():
        name = p.request_id()
        try:
            writer.write(p.request("look", name, WAIT_MS, customer=number, limiters=LIMITERS))
            outcome, _ = await p.read_answer(reader)
            record(f"client {number}: {name} {outcome}")
        except (asyncio.IncompleteReadError, ConnectionError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(0.05)


async def case(record, folder, started):
    servers = [await p.Server(f"s-{n}", record, work=0.02).start() for n in range(SERVERS)]
    registry = p.Registry([server.entry() for server in servers])
    counter = await p.Counter().start()
    agents = [await p.Agent(registry, record, f"agent {n}").start() for n in range(LIMITERS)]
    for number, agent in enumerate(agents):
        config = {
            "discovery": f"127.0.0.1:{agent.port}",
            "counter": f"127.0.0.1:{counter.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": registry.whole(),
            "settings": p.settings(balancers=LIMITERS, me=number),
        }
        started.append(p.Limiter(folder, f"n{number}", config))
        await asyncio.sleep(0.07)
    for limiter in started:
        await limiter.ready()
    lag = p.Lag()
    lag_task = asyncio.create_task(lag.run())
    stop = asyncio.Event()
    clients = [
        asyncio.create_task(client(limiter.port, 100 * number + connection, record, stop))
        for number, limiter in enumerate(started)
        for connection in range(CONNECTIONS)
    ]
    await asyncio.sleep(4)
    if p.TROUBLE:
        record("discovery goes down")
        for agent in agents:
            agent.fall_silent()
    await asyncio.sleep(DOWN_S)
    # Discovery is back: it tells the agents at once that the server drains.
    draining = servers[0]
    lag.take()
    await registry.change(draining.entry("DRAINING"))
    for agent in agents:
        agent.come_back()
    told = time.monotonic()
    record(f"discovery is back, {draining.name} drains")
    await asyncio.sleep(4)
    longest_lag = lag.take()
    stop.set()
    await asyncio.gather(*clients, return_exceptions=True)
    lag_task.cancel()
    late = [(begun - told, name) for begun, name in draining.requests if begun - told > GRACE + longest_lag]
    before = sum(1 for begun, _ in draining.requests if begun <= told)
    record(f"{draining.name}: {before} requests before, {len(draining.requests) - before} after; own lag {longest_lag:.3f} s")
    if before < 50:
        raise p.NotRun("too few requests")
    return [f"{name} was sent to {draining.name} {after:.3f} s after it was told to drain" for after, name in late]


if __name__ == "__main__":
    p.run_case(os.path.dirname(os.path.abspath(__file__)), case, 100)
