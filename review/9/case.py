"""Callers send a request inside the body of another one.

Guards against: a body whose transfer coding is not `chunked` is taken for the
next request on the connection.
"""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
import lab2  # noqa: E402

HOSTS, ENGINES = 2, 3
CODINGS = ("gzip", "identity", "xchunked", "chunked, gzip")
TIMEOUT_MS = 600


class PlainEngine(lab2.Engine):
    async def work(self, first, fields, body, reader, writer):
        attempt = fields.get("x-attempt-id", "")
        self.lab.ran.append(attempt)
        self.lab.record.note("run", attempt=attempt, engine=self.id,
                             line=first, body=body)
        await asyncio.sleep(0.015)
        writer.write(lab2.message("HTTP/1.1 200 OK", self.seal(fields),
                                  b"done"))
        return True


def request(name, fields, body=b""):
    return lab2.head_of("POST /pay/7 HTTP/1.1", {
        "Host": "shop.example", "X-Attempt-Id": name,
        "X-Deadline-Ms": TIMEOUT_MS, "Authorization": "Bearer key-1",
        **fields}) + body


async def ask(lab, host, name, coding):
    inner = request(f"inner-{name}", {"Content-Length": 0})
    framing = {"Transfer-Encoding": coding} if lab.trouble else \
        {"Content-Length": len(inner)}
    lab.record.note("send", attempt=name, host=host.name, framing=framing)
    reader, writer = await asyncio.open_connection("127.0.0.1", host.front)
    answers = b""
    try:
        writer.write(request(name, framing, inner))
        while data := await asyncio.wait_for(reader.read(65536), 1):
            answers += data
    except (OSError, asyncio.TimeoutError):
        pass
    writer.close()
    for line in answers.split(b"\r\n"):
        if line.startswith(b"HTTP/1.1 "):
            lab.record.note("answer", attempt=name, line=line.decode())


async def case(lab):
    lab.ran, lab.uses_relays = [], False
    route = {"name": "pay", "host": "shop.example", "path_prefix": "/pay/",
             "kind": "non_idempotent", "service": "shop",
             "timeout_ms": TIMEOUT_MS, "target_latency_ms": 100,
             "max_attempts": 1, "priority": 2}
    lab.write_config(1, [route], [{"name": "shop", "max_conns": 110}])
    for number in range(ENGINES):
        engine = PlainEngine(lab, f"i-{number}", lab2.ZONES[number], "shop",
                             slots=6)
        lab.engines.append(engine)
        await engine.start()
    await lab.start_hosts(HOSTS)
    await asyncio.sleep(2)
    for number, coding in enumerate(CODINGS):
        for host in lab.hosts:
            await ask(lab, host, f"{number}-{host.name}", coding)
    smuggled = [attempt for attempt in lab.ran if attempt.startswith("inner")]
    print(f"{len(lab.ran)} requests ran, {len(smuggled)} of them from inside "
          f"another one: {smuggled}")
    return not smuggled


if __name__ == "__main__":
    sys.exit(lab2.run(os.path.dirname(os.path.abspath(__file__)), case))
