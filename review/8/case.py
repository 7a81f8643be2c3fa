"""Requests that wait behind a long value on a client's connection, when the server breaks off within the value."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import parties as p

SERVERS = 8
CLIENTS = 4
BATCHES = 40
LONG_BYTES = 512 << 10
WAIT_MS = 3000
BEHIND = 3
# A request is lost half a second after its time; the rules on sockets add 50 ms.
GRACE = 0.55


class LongServer(p.Server):
    """A server whose answers to `look` are long. The bad one resets the connection in the middle of such an answer."""

    is_bad = False

    async def answer(self, words, request, writer):
        if words[0] != b"Q.ASK":
            return await super().answer(words, request, writer)
        await asyncio.sleep(self.work)
        value = p.value_of(request, LONG_BYTES)
        writer.write(b"*3\r\n$%d\r\n" % len(value))
        for start in range(0, len(value), 64 << 10):
            if self.is_bad and start >= len(value) // 2:
                await asyncio.sleep(0.2)
                self.record(f"server {self.name} resets under {request}")
                p.set_reset(writer)
                return False
            writer.write(value[start : start + (64 << 10)])
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"\r\n$-1\r\n$-1\r\n")
        await writer.drain()
        self.record(f"server {self.name} served {request}")
        return True


async def client(number, port, record, faults):
    reader = writer = None
    for batch in range(BATCHES):
        if writer is None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22)
        # The requests of several customers, on one connection.
        requests = [("look", p.request_id())] + [("take", p.request_id()) for _ in range(BEHIND)]
        words = [p.request(kind, name, WAIT_MS, customer=10 * number + index)
                 for index, (kind, name) in enumerate(requests)]
        writer.write(b"".join(words))
        until = asyncio.get_running_loop().time() + WAIT_MS / 1000 + GRACE
        is_cut = False
        for index, (kind, name) in enumerate(requests):
            if is_cut:
                record(f"client {number} batch {batch}: {name} has no answer, connection ended")
                faults.append(f"{name} ({kind}, place {index}) was taken, and its connection ended without an answer")
                continue
            try:
                remaining = until - asyncio.get_running_loop().time()
                outcome, value = await asyncio.wait_for(p.read_answer(reader), max(remaining, 0.1))
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                is_cut = True
                if index == 0:
                    record(f"client {number} batch {batch}: {name} cut off ({error!r:.40}), excused")
                else:
                    faults.append(f"{name} ({kind}, place {index}): connection ended without an answer")
                continue
            except asyncio.TimeoutError:
                faults.append(f"{name} ({kind}, place {index}) has no answer in time")
                is_cut = True
                continue
            record(f"client {number} batch {batch}: {name} {outcome}")
            if outcome == "served":
                expected = p.value_of(name, LONG_BYTES if kind == "look" else 0)
                if value != expected:
                    faults.append(f"{name} got a value that no server made for it")
        if is_cut:
            writer.close()
            writer = None
        await asyncio.sleep(0.1)


async def case(record, folder, started):
    servers = [await LongServer(f"s-{n}", record).start() for n in range(SERVERS)]
    servers[0].is_bad = p.TROUBLE
    registry = p.Registry([server.entry() for server in servers])
    agent = await p.Agent(registry, record).start()
    counter = await p.Counter().start()
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
    faults = []
    await asyncio.gather(*(client(n, limiter.port, record, faults) for n in range(CLIENTS)))
    if limiter.process.poll() is not None:
        faults.append("the limiter ended")
    return faults


if __name__ == "__main__":
    p.run_case(os.path.dirname(os.path.abspath(__file__)), case, 100)
