"""SIGTERM while some hosts hang: requests taken more than 0.7 s after SIGTERM must be answered before SIGKILL."""

import asyncio
import os
import signal
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins as s

HOSTS = 8
# "a quarter to a half of the servers hang just then"
HANGING = 4
CLIENTS = 8
# The longest deadline is 7.5 s, "counted as 3 s where it is longer", and 0.7 s more; SIGKILL comes 0.1 s after that.
SIGKILL_AFTER = 3.0 + 0.7 + 0.1
# The request must have come more than 0.7 s after SIGTERM; 50 ms are the slack of each time limit.
COUNTS_FROM = 0.7 + 0.05
HANG_AFTER = 0.7


async def case(record, folder, trouble, limiters):
    numbers = s.Numbers()
    # A bed-check of 230 ms on a slow node (0.51): 450 ms.
    hosts = [await s.Host(f"node-{i}", record, work=0.45).listen() for i in range(HOSTS)]
    counter = await s.Counter().listen()
    discovery = await s.Discovery(hosts, record).listen()
    limiter = s.Limiter("n0", s.platform(s.imlil(), discovery, counter, hosts), folder, record)
    limiters.append(limiter)
    await limiter.start().wait_ready()
    await asyncio.sleep(1.5)
    clients = [await s.Client(f"client-{i}", record).connect(limiter.listen) for i in range(CLIENTS)]
    customers = [numbers.customer() for _ in clients]

    def send(i):
        # A try is given up after 50 to 100% of the class's 7.5 s.
        return clients[i].send(["Q.ASK", customers[i], numbers.id(), "c=bed-check,t=operator,d=6000,units=1,spread=3,first=0"])

    # Ordinary traffic before the restart.
    for _ in range(3):
        for i in range(CLIENTS):
            send(i)
        await asyncio.sleep(0.6)
    if any(request[2] is None or not request[2].startswith(b"$") for client in clients for request in client.requests):
        raise s.CannotRun("requests before the restart were not served")

    limiter.signal(signal.SIGTERM)
    terminated = time.monotonic()

    async def at(seconds):
        await asyncio.sleep(max(0.0, terminated + seconds - time.monotonic()))

    # From 0.4 s on each client has a request out, and writes the next one before the answer has come: clients send on
    # every connection that stays open.
    await at(0.4)
    for i in range(CLIENTS // 2):
        send(i)
    await at(0.55)
    for i in range(CLIENTS // 2, CLIENTS):
        send(i)
    await at(HANG_AFTER)
    if trouble:
        for host in hosts[:HANGING]:
            host.hangs = True
        record(f"{HANGING} of {HOSTS} hosts hang")
    for step in range(3):
        await at(0.8 + 0.1 * step)
        for i, client in enumerate(clients):
            if client.open():
                send(i)
    await at(SIGKILL_AFTER)
    killed = time.monotonic()
    ran_until_kill = limiter.runs()
    still_open = [client.open() for client in clients]
    if ran_until_kill:
        limiter.signal(signal.SIGKILL)
    else:
        record("the limiter had ended by itself")
    await asyncio.sleep(0.3)

    breaks = []
    judged = answered = 0
    for client, was_open in zip(clients, still_open):
        for request, sent, answer, answered_at in client.requests:
            late = sent - terminated > COUNTS_FROM
            if answer is not None and answered_at <= killed:
                judged += late
                answered += late
                continue
            # Only the first request without an answer on a connection counts: those behind it wait for their turn.
            if late and was_open:
                judged += 1
                got = [h.name for h in hosts for t, w in h.received if w[2].decode() == request]
                breaks.append(
                    f"lost: {request} on {client.name}, written {sent - terminated:.2f} s after SIGTERM, sent on to "
                    f"{','.join(got) or 'no host'}, had no answer at SIGKILL {killed - terminated:.2f} s after SIGTERM"
                )
            break
    record(f"{judged} requests counted, {answered} answered in time")
    if judged == 0:
        raise s.CannotRun("no request came more than 0.7 s after SIGTERM")
    return breaks


s.main(__file__, case)
