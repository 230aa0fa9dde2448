"""A part of some prompts crashes engines, and so ends sound requests that are
alike.

Guards against: sound requests that run at engines which others crash are taken
for the cause, and every caller of such a request is refused.
"""
import asyncio
import json
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
import lab2  # noqa: E402

HOSTS, ENGINES = 8, 12
EVENTS, EVENT_S, FIRST_EVENT_S = 10, 0.11, 0.1
RATE_PER_S, CRASHING_PER_S = 40, 1
CALM_S, END_AT_S = 8.0, 65.0
AWAY_S, LOAD_S = 3.0, 1.0
TIMEOUT_MS = 12000
SHARED, CRASHING = "5c1e07a2:100", "badc0de5:40"
# LOST: what is left of the share that begins outside disruption.
MIN_SHARE, MIN_REQUESTS = 0.5, 20


class ModelEngine(lab2.Engine):
    """Ends under requests with the crashing part, and is back empty."""

    holds, busy, seq = True, False, 0

    def resident(self):
        return self.lab.models if self.holds else []

    def report(self):
        return {**super().report(), "models": self.resident(),
                "busy": self.busy, "seq": self.seq}

    def carry_out(self, body):
        order = json.loads(body)
        if self.busy or order["expected"] != self.seq:
            return 409
        if order["operation"] != "load" or self.holds:
            return 200 if order["operation"] == "load" else 409
        self.seq += 1
        self.busy = True
        self.lab.tasks.append(asyncio.create_task(self.load()))
        return 202

    async def load(self):
        await asyncio.sleep(LOAD_S)
        self.holds, self.busy = True, False
        if self.server is not None:
            self.enlist()

    async def work(self, first, fields, body, reader, writer):
        attempt = fields.get("x-attempt-id", "")
        if not self.holds:
            writer.write(lab2.message("HTTP/1.1 421 Other", {
                "X-Attempt-Id": attempt, "X-Instance-Id": self.id}))
            return True
        self.lab.record.note("run", attempt=attempt, engine=self.id)
        crashes = CRASHING in fields.get("x-prompt-prefix", "")
        await asyncio.sleep(FIRST_EVENT_S)
        if crashes:
            self.lab.tasks.append(asyncio.create_task(self.crash()))
            return False
        writer.write(lab2.head_of("HTTP/1.1 200 OK", {
            **self.seal(fields), "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}))
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {attempt}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            if reader.at_eof():
                return False
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        return True

    async def crash(self):
        if self.server is None:
            return
        self.lab.record.note("crash", engine=self.id)
        self.lab.crashes.append(lab2.now())
        server, self.server = self.server, None
        server.close()
        for writer in list(self.writers):
            lab2.abort(writer)
        await asyncio.sleep(AWAY_S)
        self.holds, self.busy, self.seq = False, False, 0
        await self.start()
        self.lab.record.note("back", engine=self.id)


async def ask(lab, name, prefix, body):
    """One attempt of a caller; notes whether its stream began."""
    host = random.choice(lab.hosts)
    sound = CRASHING not in prefix
    fields = {"Host": "docs.example", "X-Attempt-Id": name, "X-Model": "m0",
              "X-Token-Count": "240,80", "X-Prompt-Prefix": prefix,
              "X-Deadline-Ms": TIMEOUT_MS, "Authorization": "Bearer key-1"}
    lab.record.note("send", attempt=name, host=host.name, prefix=prefix)
    sent, status, began, writer = lab2.now(), 0, False, None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", host.front), 1)
        writer.write(lab2.message("POST /suggest/7 HTTP/1.1", fields, body))
        head = await lab2.read_head(reader)
        if head is not None:
            status = int(head[0].split(" ")[1])
        if status == 200:
            await reader.readuntil(b"\n\n")
            began = True
            await reader.readuntil(b"\r\n0\r\n\r\n")
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        pass
    finally:
        lab.record.note("end", attempt=name, status=status, began=began)
        if sound:
            lab.sound.append((sent, began, status))
        if writer:
            writer.close()


def share(requests):
    return sum(began for _, began, _ in requests) / max(1, len(requests))


async def case(lab):
    lab.uses_relays = False
    lab.sound, lab.crashes, lab.tasks = [], [], []
    lab.models = [{"name": "m0", "version": 1, "adapters": []}]
    service = {"name": "llm", "max_conns": 240, "engine": {
        "weights_mb": 200000, "adapter_slots": 8, "loads_per_s": 1.9,
        "models": [{"name": "m0", "weights_mb": 65100, "load_time_s": 5.0,
                    "disk_load_s": LOAD_S, "warm_s": 0.6, "adapters": 0,
                    "adapter_size_mb": 12}]}}
    route = {"name": "suggest", "host": "docs.example",
             "path_prefix": "/suggest/", "kind": "streaming", "service": "llm",
             "timeout_ms": TIMEOUT_MS, "target_latency_ms": 250,
             "gap_target_ms": 150, "max_attempts": 1, "priority": 1}
    lab.write_config(1, [route], [service])
    for number in range(ENGINES):
        engine = ModelEngine(lab, f"i-{number}",
                             lab2.ZONES[number % len(lab2.ZONES)], "llm")
        lab.engines.append(engine)
        await engine.start()
    await lab.start_hosts(HOSTS)
    await asyncio.sleep(4)
    begun, asked, next_crash, number = lab2.now(), [], CALM_S, 0
    while (passed := lab2.now() - begun) < END_AT_S:
        number += 1
        asked.append(asyncio.create_task(
            ask(lab, f"s{number}", f"{SHARED},e4402b7d:100", b"the same")))
        if lab.trouble and passed > next_crash:
            next_crash += 1 / CRASHING_PER_S
            asked.append(asyncio.create_task(ask(
                lab, f"c{number}", f"{SHARED},{CRASHING},{number:x}:100",
                f"another {number}".encode())))
        await asyncio.sleep(1 / RATE_PER_S)
    await asyncio.gather(*asked, *lab.tasks)
    crashes = sorted(lab.crashes)[:5]
    judged_from = (crashes[-1] if crashes else begun + CALM_S) \
        + 2 * lab2.CONTACT_S
    before = [entry for entry in lab.sound if entry[0] < begun + CALM_S - 2]
    after = [entry for entry in lab.sound if entry[0] > judged_from]
    refused = {}
    for _, _, status in after:
        refused[status] = refused.get(status, 0) + 1
    print(f"{len(lab.crashes)} crashes; sound requests that begin: "
          f"{share(before):.2f} of {len(before)} before, {share(after):.2f} of "
          f"{len(after)} later, answers {refused}")
    if min(len(before), len(after)) < MIN_REQUESTS or share(before) < 0.9:
        raise RuntimeError("too few sound requests")
    return share(after) >= MIN_SHARE * share(before)


if __name__ == "__main__":
    sys.exit(lab2.run(os.path.dirname(os.path.abspath(__file__)), case))
