"""Each limiter is drained while its new version starts: the leases must have a holder, and usage must reach the sink."""

import asyncio
import os
import signal
import socket
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins as s

NAMES = ["limiter-a", "limiter-b", "limiter-c"]
# The default of docs/leases.md.
DURATION = 3.0
# A task has no holder for about one duration, after a restarted acceptor's silence of one more. Waited for: five.
WAIT = 5 * DURATION


async def case(record, folder, trouble, limiters):
    numbers = s.Numbers()
    hosts = [await s.Host(f"node-{i}", record, work=0.1).listen() for i in range(4)]
    counter = await s.Counter().listen()
    discovery = await s.Discovery(hosts, record).listen()
    target = await s.BeatTarget(record).listen()
    sink = os.path.join(folder, "sink")
    os.makedirs(sink)
    ports = {name: s.free_port(socket.SOCK_DGRAM) for name in NAMES}

    def limiter(index, version, listen=None):
        name = NAMES[index]
        spool = os.path.join(folder, f"spool-{name}")
        tasks = (
            f"    - {{name: beat, target: {target.address}, every: 250ms, max_operation_duration: 250ms}}\n"
            f"    - {{name: use, export: {{spool: {spool}, sink: {sink}}}, every: 200ms, max_operation_duration: 250ms}}\n"
        )
        started = s.Limiter(
            name,
            s.platform(s.imlil(3, index), discovery, counter, hosts),
            folder,
            record,
            label=f"{name}-{version}",
            listen=listen,
            console=f"127.0.0.1:{s.free_port()}",
            product=s.lease_section(name, folder, ports, f"{DURATION:g}s", tasks),
        )
        limiters.append(started)
        return started.start()

    async def serve(through, count, customer):
        """Sends requests one after another; returns how many were served."""
        client = await s.Client(f"client at {through.label}", record).connect(through.listen)
        for _ in range(count):
            client.send(["Q.ASK", customer, numbers.id(), "c=bed-check,t=operator,d=6000,units=1,spread=3,first=0"])
            await asyncio.sleep(0.25)
        await asyncio.sleep(0.5)
        served = sum(1 for request in client.requests if request[2] and request[2].startswith(b"$"))
        client.close()
        return served

    async def exported(customer, expected, seconds):
        until = time.monotonic() + seconds
        while True:
            units = s.usage(sink).get(customer, (0.0, 0.0))[0]
            if units >= expected or time.monotonic() > until:
                return units
            await asyncio.sleep(0.2)

    current = [limiter(index, 1) for index in range(3)]
    for one in current:
        await one.wait_ready()
    first = numbers.customer()
    served = sum([await serve(one, 3, first) for one in current])
    if await exported(first, served, WAIT) < served or not target.beats:
        raise s.CannotRun("no holder, or no usage in the sink, before the new versions")
    record(f"before the new versions: {served} units served and exported")

    # One limiter after another gets its new version, as docs/operations.md says.
    for index in range(3):
        old = current[index]
        if trouble:
            record(f"{old.label}: PUT /drain {await s.call_console(old.console, 'PUT', '/drain')}")
            await asyncio.sleep(2.5)
        new = limiter(index, 2, listen=old.listen)
        if trouble:
            until = time.monotonic() + 5
            while time.monotonic() < until:
                try:
                    record(f"{new.label}: GET /ready {await s.call_console(new.console, 'GET', '/ready')}")
                    break
                except (OSError, asyncio.TimeoutError, IndexError):
                    await asyncio.sleep(0.05)
            record(f"{new.label}: PUT /undrain {await s.call_console(new.console, 'PUT', '/undrain')}")
        if not await s.wait_console_ready(new):
            raise s.CannotRun(f"{new.label} did not say yes in 6 s")
        record(f"{new.label}: GET /ready 200")
        old.signal(signal.SIGTERM)
        if not await old.wait_end(9):
            raise s.CannotRun(f"{old.label} did not end")
        current[index] = new
        await asyncio.sleep(DURATION)

    record("all limiters run their new version, and none is drained")
    changed = time.monotonic()
    second = numbers.customer()
    served = sum([await serve(one, 3, second) for one in current])
    units = await exported(second, served, WAIT)
    await asyncio.sleep(max(0.0, changed + WAIT - time.monotonic()))
    if not all(one.runs() for one in current):
        raise s.CannotRun("a limiter ended")
    waited = time.monotonic() - changed
    beats = sum(1 for beat in target.beats if beat[0] > changed)
    record(f"{waited:.1f} s after the last change: {beats} heartbeats, {units:g} of {served} units in the sink")
    breaks = []
    if beats == 0:
        breaks.append(f"no heartbeat for {waited:.1f} s ({waited / DURATION:.1f} lease durations): the task has no holder")
    if units < served:
        breaks.append(f"{served} units were executed and answered, {units:g} are in the sink after {waited:.1f} s")
    return breaks


s.main(__file__, case)
