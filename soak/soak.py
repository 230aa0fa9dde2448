#!/usr/bin/env python3
"""Randomized fault soak of entry hosts on a hosted platform, on loopback.

Runs real bluebellraild processes against stand-ins of the users' store and
engines in this process, injects faults from outside (signals, proxies, store
faults), and checks while it runs what callers and engines see:

  TWICE    a request that must not be repeated runs more than once
  REFUSED  a 429 or 503 for a request that has run
  MIXED    a 200 without the engine's seal, for another request, or cut
  ORDER    a stream with missing or repeated events, or complete too early
  KEYS     a key works longer than its bound after it was withdrawn
  SERVED   nothing is served for ten seconds after the last fault has ended

Usage: soak.py [--seed N] [--seeds N] [--seconds S] [--keep DIR]
Ends only processes that it started, by their ids.
"""
import argparse
import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

REVOKE_S = 5.0
GRACE_S = 8
HOSTS = 4
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "build", "bin", "bluebellraild")


def now():
    return time.monotonic()


async def read_head(reader):
    """Returns first line and fields of a message, or None at its end."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode().split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    return await reader.readexactly(int(fields.get("content-length", "0")))


def message(first, fields, body=b""):
    head = [first] + [f"{name}: {value}" for name, value in fields.items()]
    head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


class Store:
    """The users' object store: revisions, conditional writes, faults."""

    def __init__(self, rng):
        self.rng = rng
        self.revision = 0
        self.objects = {}
        self.mode = "up"

    def put(self, kind, name, spec):
        self.revision += 1
        self.objects[(kind, name)] = {
            "metadata": {"name": name, "revision": self.revision,
                         "finalizers": [], "deleting": False},
            "spec": spec, "status": None}
        return self.objects[(kind, name)]

    def call(self, method, target, body):
        path = target.split("?")[0].split("/")[2:]
        kind, name = path[0], path[1] if len(path) > 1 else ""
        found = self.objects.get((kind, name))
        if method == "GET":
            if not name:
                items = [o for (k, _), o in sorted(self.objects.items())
                         if k == kind]
                return 200, {"items": items, "more_pages": False,
                             "store_revision": self.revision}
            return (200, found) if found else (404, {})
        if method == "DELETE":
            return 200, self.objects.pop((kind, name), {})
        meta = body["metadata"]
        if method == "POST":
            if (kind, meta["name"]) in self.objects:
                return 409, self.objects[(kind, meta["name"])]
            return 200, self.put(kind, meta["name"], body["spec"])
        if not found:
            return 404, {}
        if meta.get("revision", found["metadata"]["revision"]) != \
                found["metadata"]["revision"]:
            return 409, found
        return 200, self.put(kind, name, body["spec"])

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                first, fields = head
                body = await read_body(reader, fields)
                method, target, _ = first.split(" ")
                if self.mode == "silent":
                    await asyncio.sleep(30)
                if self.mode == "busy":
                    writer.write(message("HTTP/1.1 503 Busy", {}))
                    continue
                if self.mode == "slow":
                    await asyncio.sleep(self.rng.uniform(0.1, 0.9))
                status, answer = self.call(
                    method, target, json.loads(body) if body else None)
                if self.mode == "lost" and self.rng.random() < 0.4:
                    return
                writer.write(message(f"HTTP/1.1 {status} X", {},
                                     json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Engine:
    """A server that runs requests, sometimes badly."""

    def __init__(self, soak, number):
        self.soak, self.number = soak, number
        self.id = f"i-{number}"
        self.fault = ""
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.proxy = Proxy(self.soak.rng, port)
        await self.proxy.start()
        self.soak.store.put("servers", self.id, {
            "service": "shop", "address": f"127.0.0.1:{self.proxy.port}",
            "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
            "born": 1, "seq": 1})

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                first, fields = head
                body = await read_body(reader, fields)
                if not await self.run(first, fields, body, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def run(self, first, fields, body, writer):
        rng, attempt = self.soak.rng, fields.get("x-attempt-id", "")
        common = {"X-Attempt-Id": attempt}
        if fields.get("x-expect-instance") != self.id:
            writer.write(message("HTTP/1.1 421 Other",
                                 {**common, "X-Instance-Id": self.id}))
            return True
        fault = self.fault if rng.random() < 0.4 else ""
        if fault == "shed":
            writer.write(message("HTTP/1.1 503 Full",
                                 {**common, "X-Not-Executed": "1"}))
            return True
        self.soak.ran(attempt, fields, first)
        await asyncio.sleep(rng.uniform(0.001, 0.03))
        if fault == "reset":
            return False
        if fault == "errors":
            writer.write(message("HTTP/1.1 500 No",
                                 {**common, "X-Server-Seal": attempt}))
            return True
        common["X-Server-Seal"] = attempt
        if "/stream/" not in first and "/resumed/" not in first:
            answer = message("HTTP/1.1 200 OK", common, b"ran " + body)
            if fault == "cut":
                writer.write(answer[:-2])
                return False
            if fault == "extra":
                answer += message("HTTP/1.1 200 OK", common, b"extra")
            writer.write(answer)
            return True
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in common.items()) +
            "Transfer-Encoding: chunked\r\n\r\n").encode())
        start = int(fields.get("last-event-id") or 0) + 1
        for number in range(start, 11):
            event = f"id: {number}\ndata: {attempt}\n\n".encode()
            if fault in ("cut", "reset") and number > 4:
                writer.write(b"%x\r\n" % len(event) + event[:5])
                return False
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
        return True


class Proxy:
    """A loopback relay whose connections can be harmed."""

    def __init__(self, rng, target):
        self.rng, self.target = rng, target
        self.mode = "up"
        self.port = 0
        self.writers = set()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = server.sockets[0].getsockname()[1]

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def pipe(self, reader, writer, direction):
        try:
            while True:
                data = await reader.read(4096)
                if not data:
                    break
                if self.mode == "delay":
                    await asyncio.sleep(self.rng.uniform(0.01, 0.2))
                while self.mode == "silent" or self.mode == direction:
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            up_reader, up_writer = await asyncio.open_connection(
                "127.0.0.1", self.target)
            await asyncio.gather(self.pipe(reader, up_writer, "to"),
                                 self.pipe(up_reader, writer, "from"))
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self.writers.discard(writer)


# Every host process that was started.
LAUNCHED = []


class Host:
    """One bluebellraild process with its own way to the store."""

    def __init__(self, soak, number, base):
        self.soak, self.number = soak, number
        self.front = base
        self.process = None
        self.ports = range(base, base + 5)
        self.frozen = False

    async def start(self):
        self.store = Proxy(self.soak.rng, self.soak.store_port)
        await self.store.start()
        ports = [f"127.0.0.1:{port}" for port in self.ports]
        self.ini = os.path.join(self.soak.folder, f"host-{self.number}.ini")
        with open(self.ini, "w") as file:
            file.write(f"""[host]
id = host-{self.number}
zone = z1
cores = 1
[listen]
callers = {ports[0]}
ready = {ports[1]}
directory = {ports[2]}
metrics = {ports[3]}
digests = {ports[4]}
[store]
address = 127.0.0.1:{self.store.port}
[bounds]
key_withdrawal_ms = {int(REVOKE_S * 1000)}
stop_grace_s = {GRACE_S}
placement_pause_ms = 3000
quota_window_s = 8
retry_window_s = 10
retry_slack = 50
retry_ratio = 0.2
""")
        self.launch()

    def launch(self):
        log = open(os.path.join(self.soak.folder, f"host-{self.number}.log"),
                   "ab")
        self.process = subprocess.Popen(
            [PROGRAM, "--hosted", "--config", self.ini], stdout=log,
            stderr=log)
        LAUNCHED.append(self.process)
        self.frozen = False

    def send(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)


class Soak:
    def __init__(self, seed, seconds, folder):
        self.rng = random.Random(seed)
        self.seconds, self.folder = seconds, folder
        self.store = Store(self.rng)
        self.runs, self.problems = {}, []
        self.served, self.asked, self.last_served = 0, 0, 0
        self.keys = {"k0": None, "k1": None}
        self.version = 1
        self.ending = False

    def problem(self, rule, detail):
        self.problems.append(f"{rule}: {detail}")

    def ran(self, attempt, fields, first):
        self.runs.setdefault(attempt, 0)
        self.runs[attempt] += 1
        once = "/once/" in first or "/stream/" in first
        if once and self.runs[attempt] > 1:
            self.problem("TWICE", f"{attempt} {first}")
        if "authorization" in fields:
            self.problem("KEYS", f"{attempt}: the key reached an engine")

    def write_config(self):
        def route(name, kind, attempts, **more):
            return {"name": name, "host": "h", "path_prefix": f"/{name}/",
                    "kind": kind, "timeout_ms": 3000,
                    "target_latency_ms": 200, "priority": 1,
                    "service": "shop", "max_attempts": attempts, **more}
        live = [key for key, gone in self.keys.items() if gone is None]
        self.store.put("config", "main", {
            "version": self.version, "routes": [
                route("once", "non_idempotent", 1),
                route("often", "idempotent", 2),
                route("stream", "streaming", 1),
                route("resumed", "streaming", 2, resumable=True)],
            "services": [{"name": "shop", "max_conns": 500}],
            "tenants": [{"name": "acme", "api_keys": live,
                         "unit": "token_stream", "plain_tokens": 1,
                         "rate_per_s": 100000, "burst": 100000}]})
        self.version += self.rng.randint(1, 5)

    async def ask(self, number, connections):
        """One request over a kept or new connection; returns nothing."""
        kind = self.rng.choice(["once", "often", "stream", "resumed"])
        attempt = f"{number}-{self.asked}"
        self.asked += 1
        key = self.rng.choice(list(self.keys))
        sent = now()
        host = self.rng.choice(self.hosts)
        try:
            if host not in connections:
                connections[host] = await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", host.front), 1)
            reader, writer = connections[host]
            body = attempt.encode()
            writer.write(message(f"POST /{kind}/7 HTTP/1.1", {
                "Host": "h", "X-Attempt-Id": attempt, "X-Deadline-Ms": 2000,
                "Authorization": f"Bearer {key}"}, body))
            head = await asyncio.wait_for(read_head(reader), 4)
            if head is None:
                connections.pop(host, None)
                return
            status = int(head[0].split(" ")[1])
            await asyncio.wait_for(
                self.check(status, head[1], reader, kind, attempt, key, sent),
                4)
            if head[1].get("connection", "") == "close":
                connections.pop(host)[1].close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ValueError):
            pair = connections.pop(host, None)
            if pair:
                pair[1].close()

    async def check(self, status, fields, reader, kind, attempt, key, sent):
        if status in (429, 503, 408, 421):
            await read_body(reader, fields)
            await asyncio.sleep(0.2)
            if self.runs.get(attempt) and kind in ("once", "stream"):
                self.problem("REFUSED", f"{attempt} got {status} and ran")
            return
        if status != 200:
            await read_body(reader, fields)
            return
        gone = self.keys[key]
        if gone is not None and sent > gone + REVOKE_S:
            self.problem("KEYS", f"{attempt} ran {sent - gone:.1f} s after "
                                 f"{key} was withdrawn")
        if fields.get("x-server-seal") != attempt:
            self.problem("MIXED", f"{attempt}: seal "
                                  f"{fields.get('x-server-seal')}")
        if kind in ("once", "often"):
            body = await read_body(reader, fields)
            if body != b"ran " + attempt.encode():
                self.problem("MIXED", f"{attempt}: body {body!r}")
        else:
            expected = 1
            while True:
                size = int(await reader.readline(), 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    break
                for event in data[:-2].decode().split("\n\n")[:-1]:
                    if event != f"id: {expected}\ndata: {attempt}":
                        self.problem("ORDER", f"{attempt}: {event!r} "
                                              f"instead of {expected}")
                    expected += 1
            if expected != 11:
                self.problem("ORDER", f"{attempt}: complete at {expected}")
        self.served += 1
        self.last_served = now()

    async def client(self, number):
        connections = {}
        while not self.ending:
            await self.ask(number, connections)
            await asyncio.sleep(self.rng.uniform(0.005, 0.05))

    async def fault(self):
        """One random fault, ended after a random time; faults overlap."""
        rng, span = self.rng, self.rng.uniform(0.2, 4)
        kind = rng.choice(["kill", "term", "freeze", "store", "store_link",
                           "engine", "engine_link", "reset", "config",
                           "revoke", "hup", "engine_gone"])
        host, engine = rng.choice(self.hosts), rng.choice(self.engines)
        if kind == "kill":
            host.send(signal.SIGKILL)
        elif kind == "term":
            host.send(signal.SIGTERM)
        elif kind == "hup":
            host.send(signal.SIGHUP)
        elif kind == "freeze":
            host.send(signal.SIGSTOP)
            await asyncio.sleep(span)
            host.send(signal.SIGCONT)
        elif kind == "store":
            self.store.mode = rng.choice(["silent", "busy", "slow", "lost"])
            await asyncio.sleep(span)
            self.store.mode = "up"
        elif kind in ("store_link", "engine_link"):
            proxy = host.store if kind == "store_link" else engine.proxy
            proxy.mode = rng.choice(["silent", "delay", "to", "from"])
            await asyncio.sleep(span)
            proxy.mode = "up"
        elif kind == "reset":
            rng.choice([host.store, engine.proxy]).reset_all()
        elif kind == "engine":
            engine.fault = rng.choice(
                ["shed", "reset", "errors", "cut", "extra"])
            await asyncio.sleep(span)
            engine.fault = ""
        elif kind == "engine_gone":
            spec = self.store.objects.pop(("servers", engine.id), None)
            await asyncio.sleep(span)
            if spec:
                self.store.put("servers", engine.id, spec["spec"])
        elif kind == "config":
            self.write_config()
        elif kind == "revoke":
            live = [key for key, gone in self.keys.items() if gone is None]
            if len(live) > 1:
                self.keys[live[0]] = now()
                self.keys[f"k{len(self.keys)}"] = None
                self.write_config()

    async def keep_running(self):
        """Restarts hosts whose process ended, as the platform does."""
        while not self.ending:
            for host in self.hosts:
                if host.process.poll() is not None:
                    if host.process.returncode not in (0, -9):
                        self.problem("EXIT", f"host-{host.number} ended with "
                                             f"{host.process.returncode}")
                    await asyncio.sleep(self.rng.uniform(0, 0.3))
                    host.launch()
            await asyncio.sleep(0.05)

    async def run(self, base):
        server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self.store_port = server.sockets[0].getsockname()[1]
        self.engines = [Engine(self, number) for number in range(4)]
        for engine in self.engines:
            await engine.start()
        self.write_config()
        self.hosts = [Host(self, number, base + 5 * number)
                      for number in range(HOSTS)]
        for host in self.hosts:
            await host.start()
        tasks = [asyncio.create_task(self.keep_running())]
        tasks += [asyncio.create_task(self.client(n)) for n in range(12)]
        await asyncio.sleep(2)
        end, faults = now() + self.seconds, []
        while now() < end:
            faults.append(asyncio.create_task(self.fault()))
            await asyncio.sleep(self.rng.uniform(0.1, 1.2))
        await asyncio.gather(*faults)
        calm, before = now(), self.served
        while self.served < before + 20 and now() < calm + 10:
            await asyncio.sleep(0.1)
        if self.served < before + 20:
            self.problem("SERVED", f"{self.served - before} answers in 10 s "
                                   "after the last fault")
        self.ending = True
        await asyncio.gather(*tasks)
        for host in self.hosts:
            host.send(signal.SIGCONT)
            host.send(signal.SIGKILL)
            host.process.wait()


def end_at_once(number, _):
    """Ends the hosts too, which otherwise outlive a soak ended by a signal."""
    for process in LAUNCHED:
        if process.poll() is None:
            process.kill()
    os._exit(128 + number)


def free_block(base):
    """The first block of ports for all hosts that nobody listens on, so that
    soaks that run side by side do not take each other's."""
    step = 5 * HOSTS
    for start in range(base, base + 100 * step, step):
        sockets = []
        try:
            for port in range(start, start + step):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sockets.append(socket.socket(socket.AF_INET, kind))
                    sockets[-1].bind(("127.0.0.1", port))
            return start
        except OSError:
            continue
        finally:
            for opened in sockets:
                opened.close()
    raise SystemExit(f"no free ports from {base} on")


def main():
    signal.signal(signal.SIGTERM, end_at_once)
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--keep", help="folder for the logs of failed seeds")
    parser.add_argument("--port", type=int, default=21000)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        folder = tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=options.keep)
        soak = Soak(seed, options.seconds, folder)
        try:
            base = options.port + seed % 50 * 5 * HOSTS
            asyncio.run(soak.run(free_block(base)))
        finally:
            for host in getattr(soak, "hosts", []):
                if host.process and host.process.poll() is None:
                    host.process.kill()
        verdict = "failed" if soak.problems else "passed"
        print(f"seed {seed}: {verdict}, {soak.served} of {soak.asked} served")
        for problem in soak.problems[:10]:
            print(f"  {problem}")
        if soak.problems:
            failed += 1
            print(f"  logs: {folder}")
    print(f"{options.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
