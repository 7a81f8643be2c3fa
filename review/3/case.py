"""Limiters restart beside a sink that holds a day of exported usage: none may need more than its memory."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins as s

NAMES = ["limiter-a", "limiter-b", "limiter-c"]
MEMORY_MB = 192
# The lease duration is the default of docs/leases.md, and `every` that of its example.
DURATION = 3.0
EVERY = "200ms"
HOURS = 24
MEASURED_SECONDS = 10.0
WATCHED_SECONDS = 40.0
# imlil-main is offered about 90 requests a second.
REQUESTS_PER_SECOND = 90
GENERATOR = os.path.join(s.ROOT, "review", "history", "target", "release", "quartzcleat-review-history")


def resident_mb(limiter):
    try:
        with open(f"/proc/{limiter.process.pid}/status") as file:
            for line in file:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


async def case(record, folder, trouble, limiters):
    if not os.access(GENERATOR, os.X_OK):
        raise s.CannotRun("run review/build.sh first")
    numbers = s.Numbers(int.from_bytes(os.urandom(3), "big"))
    hosts = [await s.Host(f"node-{i}", lambda text: None, work=0.1).listen() for i in range(9)]
    counter = await s.Counter().listen()
    discovery = await s.Discovery(hosts, record).listen()
    sink = os.path.join(folder, "sink")
    ports = {name: s.free_port(socket.SOCK_DGRAM) for name in NAMES}
    customers = [numbers.customer() for _ in range(120)]

    def start(version):
        started = []
        for index, name in enumerate(NAMES):
            spool = os.path.join(folder, f"spool-{name}")
            tasks = (
                f"    - {{name: use, export: {{spool: {spool}, sink: {sink}}}, every: {EVERY}, "
                "max_operation_duration: 250ms}\n"
            )
            product = s.lease_section(name, folder, ports, f"{DURATION:g}s", tasks)
            config = s.platform(s.imlil(3, index), discovery, counter, hosts)
            config["limits"]["memory_mb"] = MEMORY_MB
            one = s.Limiter(name, config, folder, record, label=f"{name}-{version}", product=product)
            limiters.append(one)
            started.append(one.start())
        return started

    async def load(among, seconds):
        """The traffic of a deployment; returns how many requests were served."""
        clients = [await s.Client(f"client at {one.label}", lambda text: None).connect(one.listen) for one in among]
        began = time.monotonic()
        sent = 0
        while time.monotonic() - began < seconds:
            client = clients[sent % len(clients)]
            customer = customers[(sent * 7) % len(customers)]
            client.send(["Q.ASK", customer, numbers.id(), "c=bed-check,t=agency,d=6000,units=1,spread=3,first=0"])
            sent += 1
            await asyncio.sleep(max(0.0, began + sent / REQUESTS_PER_SECOND - time.monotonic()))
        await asyncio.sleep(1.0)
        served = sum(1 for c in clients for r in c.requests if r[2] and r[2].startswith(b"$"))
        for client in clients:
            client.close()
        return sent, served

    def sink_lines():
        lines = entries = 0
        for name in os.listdir(sink) if os.path.isdir(sink) else []:
            with open(os.path.join(sink, name)) as file:
                for line in file:
                    if line.strip():
                        lines += 1
                        entries += line.count("=")
        return lines, entries

    # How many batches such a deployment exports.
    first = start(1)
    for one in first:
        await one.wait_ready()
    until = time.monotonic() + 4 * DURATION
    while not os.path.isdir(sink) and time.monotonic() < until:
        await asyncio.sleep(0.1)
    await asyncio.sleep(1)
    before = sink_lines()
    sent, served = await load(first, MEASURED_SECONDS)
    after = sink_lines()
    batches = after[0] - before[0]
    if batches <= 0:
        raise s.CannotRun("no batch was exported")
    per_second = batches / MEASURED_SECONDS / len(NAMES)
    per_batch = max(1, (after[1] - before[1]) // batches)
    record(f"{sent} requests sent, {served} served; {batches} batches exported in {MEASURED_SECONDS:g} s: "
           f"{per_second:.1f} a second for each limiter, of {per_batch} customers; "
           f"resident: {max(resident_mb(one) for one in first):.1f} MB at most")
    for one in first:
        one.signal(signal.SIGTERM)
    for one in first:
        if not await one.wait_end(9):
            raise s.CannotRun(f"{one.label} did not end")

    if trouble:
        kept = int(per_second * 3600 * HOURS)
        done = await asyncio.to_thread(
            subprocess.run, [GENERATOR, sink, str(len(NAMES)), str(kept), str(per_batch), "24"], timeout=60
        )
        if done.returncode != 0:
            raise s.CannotRun("the sink could not be written")
        size = sum(os.path.getsize(os.path.join(sink, name)) for name in os.listdir(sink))
        record(f"the sink holds {HOURS} hours of such batches: {kept} of each limiter, {size / 1e6:.0f} MB")

    # The same limiters start again. The platform kills a limiter that goes over its memory, and starts it no more here.
    second = start(2)
    for one in second:
        await one.wait_ready(30)
    began = time.monotonic()
    peaks = {one.label: 0.0 for one in second}
    breaks = []
    while time.monotonic() - began < WATCHED_SECONDS and any(one.runs() for one in second):
        for one in second:
            if not one.runs():
                continue
            resident = resident_mb(one)
            peaks[one.label] = max(peaks[one.label], resident)
            if resident > MEMORY_MB:
                one.signal(signal.SIGKILL)
                one.process.wait()
                breaks.append(
                    f"crash: {one.label} needs {resident:.0f} MB, over its {MEMORY_MB} MB, "
                    f"{time.monotonic() - began:.1f} s after all were ready, and is killed by the platform"
                )
                record(breaks[-1])
        await asyncio.sleep(0.02)
    record(f"resident at most: {', '.join(f'{label} {peak:.1f} MB' for label, peak in peaks.items())}")
    for one in second:
        if not one.runs() and not any(one.label in line for line in breaks):
            breaks.append(f"crash: {one.label} ended with {one.process.returncode}")
    return breaks


s.main(__file__, case)
