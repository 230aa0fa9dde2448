"""A stream is passed on to another host after its first send to an engine was
lost, begins there at the other software version, and is taken up elsewhere.

Guards against: the stored start of the first send outlives the stream's real
start, so that the take-up joins events of two software versions.
"""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
import lab2  # noqa: E402

# The machines of ndts-atelier, its spare ones included.
HOSTS = 11
ENGINES, NEW_ENGINES = 12, 12
EVENTS, EVENT_S, FIRST_EVENT_S = 20, 0.3, 0.8
CUT_S = 5.5
# Callers use one host first, which is cut after a while.
RATE_PER_S, CUT_AT_S, BUSY_S = 80, 5.0, 5.5
TIMEOUT_MS = 20000
# ORDER: streams that may hold events of two versions.
MAX_MIXED = 2


class StreamEngine(lab2.Engine):
    async def work(self, first, fields, body, reader, writer):
        attempt = fields.get("x-attempt-id", "")
        start = int(fields.get("last-event-id") or 0) + 1
        self.lab.record.note("run", attempt=attempt, engine=self.id,
                             version=self.version, start=start)
        await asyncio.sleep(FIRST_EVENT_S)
        writer.write(lab2.head_of("HTTP/1.1 200 OK", {
            **self.seal(fields), "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}))
        for number in range(start, EVENTS + 1):
            event = f"id: {number}\ndata: {self.version} {self.id}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            if reader.at_eof():
                return False
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        return True


class Stream:
    """A stream over all of its caller's attempts."""

    def __init__(self, number):
        self.first_attempt = f"s{number}"
        # Version, number of the event and attempt, as they arrived.
        self.events = []
        self.ended = False

    def versions(self):
        return {version for version, _, _ in self.events}


async def attempt(lab, stream, host, name):
    """One attempt of a caller; returns the status of its answer, 0 without
    one."""
    fields = {"Host": "docs.example", "X-Attempt-Id": name,
              "X-Model": "m0", "X-Token-Count": "300,240",
              "X-Prompt-Prefix": f"5c1e07a2:100,{abs(hash(name)) % 2**32:x}:200",
              "X-Deadline-Ms": TIMEOUT_MS, "Authorization": "Bearer key-1"}
    if stream.events:
        fields["Resumes"] = stream.first_attempt
        fields["Last-Event-Id"] = stream.events[-1][1]
    lab.record.note("send", attempt=name, host=host.name,
                    resumes=fields.get("Resumes", ""),
                    last=fields.get("Last-Event-Id", ""))
    status, writer = 0, None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", host.front), 1)
        writer.write(lab2.message("POST /notes/7 HTTP/1.1", fields, b"prompt"))
        head = await lab2.read_head(reader)
        if head is None:
            return 0
        status = int(head[0].split(" ")[1])
        if status != 200:
            return status
        if not stream.events:
            stream.first_attempt = name
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                stream.ended = True
                return status
            for event in data[:-2].decode().split("\n\n")[:-1]:
                lines = dict(line.split(": ") for line in event.split("\n"))
                version = lines["data"].split(" ")[0]
                stream.events.append((version, int(lines["id"]), name))
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
            ValueError):
        return status
    finally:
        lab.record.note("end", attempt=name, status=status,
                        events=len(stream.events), whole=stream.ended)
        if writer:
            writer.close()


async def caller(lab, stream, host):
    """Begins a stream at `host`; takes it up elsewhere when it is cut."""
    await attempt(lab, stream, host, stream.first_attempt)
    for number in range(1, 4):
        if stream.ended:
            return
        await asyncio.sleep(0.1)
        others = [other for other in lab.hosts if other is not host]
        await attempt(lab, stream, random.choice(others),
                      f"{stream.first_attempt}.{number}")


async def case(lab):
    lab.models = [{"name": "m0", "version": 1, "adapters": []}]
    service = {"name": "llm", "max_conns": 240, "engine": {
        "weights_mb": 200000, "adapter_slots": 8, "loads_per_s": 1.9,
        "models": [{"name": "m0", "weights_mb": 65100, "load_time_s": 5.0,
                    "adapters": 0, "adapter_size_mb": 12}]}}
    route = {"name": "notes", "host": "docs.example", "path_prefix": "/notes/",
             "kind": "streaming", "resumable": True, "service": "llm",
             "timeout_ms": TIMEOUT_MS, "target_latency_ms": 4000,
             "gap_target_ms": 150, "max_attempts": 2, "priority": 2}
    lab.write_config(1, [route], [service])
    for number in range(ENGINES + NEW_ENGINES):
        lab.engines.append(StreamEngine(
            lab, f"i-{number}", lab2.ZONES[number % len(lab2.ZONES)], "llm",
            version="1" if number < ENGINES else "2"))
    for engine in lab.engines[:ENGINES]:
        await engine.start()
    await lab.start_hosts(HOSTS)
    # A release: engines of the new version start beside the others.
    for engine in lab.engines[ENGINES:]:
        await engine.start()
    await asyncio.sleep(4)

    host = lab.store_readers()[0]
    streams, tasks = [], []

    def begin(target):
        stream = Stream(len(streams))
        streams.append(stream)
        tasks.append(asyncio.create_task(caller(lab, stream, target)))

    begun = lab2.now()
    others = [other for other in lab.hosts if other is not host]
    was_cut = killed = False
    while (passed := lab2.now() - begun) < 11:
        at_host = passed < BUSY_S
        begin(host if at_host else random.choice(others))
        if lab.trouble and passed > CUT_AT_S and not was_cut:
            was_cut = True
            host.cut()
        if lab.trouble and passed > CUT_AT_S + CUT_S and not killed:
            killed = True
            host.heal()
            host.kill()
        await asyncio.sleep(1 / RATE_PER_S if at_host else 0.1)
    await asyncio.gather(*tasks)
    mixed = [stream for stream in streams if len(stream.versions()) > 1]
    for stream in mixed:
        lab.record.note("mixed", stream=stream.first_attempt,
                        events=" ".join(f"{number}:{version}@{name}" for
                                        version, number, name in stream.events))
    ended = sum(stream.ended for stream in streams)
    print(f"{len(streams)} streams, {ended} whole, "
          f"{len(mixed)} with events of two versions")
    if ended < len(streams) / 2:
        raise RuntimeError("too few streams were served")
    return len(mixed) <= MAX_MIXED


if __name__ == "__main__":
    sys.exit(lab2.run(os.path.dirname(os.path.abspath(__file__)), case))
