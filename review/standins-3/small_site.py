"""Stand-ins of a small site on loopback: the platform's store, plain engines,
the links between hosts and engines, entry hosts and callers.

Addresses are 127.0.0.1 and free ports. Each host reaches the store and each
engine through a link of its own, a relay, so that the link of one host can be
cut while those of the others work; the store names to each host the address of
its own links.
"""
import asyncio
import atexit
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
PROGRAM = os.environ.get(
    "PROGRAM", os.path.join(ROOT, "target", "bin", "bluebellraild"))

# Bounds of sites/ndts-atelier.toml.
BOUNDS = {"key_withdrawal_ms": 5000, "config_change_ms": 2000,
          "stop_grace_s": 8, "placement_pause_ms": 3000, "quota_window_s": 8,
          "retry_window_s": 10, "retry_slack": 56, "retry_ratio": 0.2}
MEMORY_MB = 260
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 1048576,
          "header_timeout_ms": 3000, "idle_timeout_ms": 10000}


# Every host process that was started.
LAUNCHED = []


def end_launched():
    for process in LAUNCHED:
        if process.poll() is None:
            process.kill()


# Also if the script is ended before its time.
atexit.register(end_launched)
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


def free_ports(count):
    """Ports of 127.0.0.1 that nothing uses now, outside the range from which
    the system takes the ports of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randint(12000, 32000)
        with socket.socket() as tcp, \
                socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


async def read_message(reader):
    """Reads a head and its body; none at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return lines[0], fields, body


def message(first, fields, body=b""):
    """Writes a message whose body has a length."""
    fields = {**fields, "Content-Length": len(body)}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{first}\r\n{head}\r\n".encode() + body


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.begun = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.begun

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def close(self):
        self.file.close()


class Store:
    """The platform's object store: revisions, conditional writes, lists."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        # By host: the address of its link to an engine.
        self.links = {}

    def put(self, kind, name, spec):
        found = self.objects.get((kind, name))
        if found and found["spec"] == spec:
            return found
        self.revision += 1
        self.objects[(kind, name)] = {
            "metadata": {"name": name, "revision": self.revision,
                         "created": found["metadata"]["created"] if found
                         else self.revision,
                         "finalizers": [], "deleting": False},
            "spec": spec, "status": None}
        return self.objects[(kind, name)]

    def remove(self, kind, name):
        if (kind, name) in self.objects:
            self.revision += 1
        return self.objects.pop((kind, name), None)

    def view(self, host, kind, entry):
        if kind != "servers":
            return entry
        spec = dict(entry["spec"])
        spec["address"] = self.links[host][entry["metadata"]["name"]]
        return {**entry, "spec": spec}

    def call(self, host, method, target, body):
        parts = urllib.parse.urlsplit(target)
        path = [urllib.parse.unquote(p) for p in parts.path.split("/")[2:]]
        query = dict(urllib.parse.parse_qsl(parts.query))
        kind, name = path[0], path[1] if len(path) > 1 else ""
        found = self.objects.get((kind, name))
        if method == "GET" and not name:
            names = sorted(n for k, n in self.objects
                           if k == kind and n > query.get("after", ""))
            return 200, {"items": [self.view(host, kind,
                                             self.objects[(kind, n)])
                                   for n in names],
                         "more_pages": False,
                         "store_revision": self.revision}
        if method == "GET":
            return (200, self.view(host, kind, found)) if found else (404, {})
        given = query.get("revision")
        if body:
            given = body["metadata"].get("revision", given)
        if method == "POST":
            name = body["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            return 201, self.put(kind, name, body["spec"])
        if not found:
            return 404, {}
        if given is not None and int(given) != found["metadata"]["revision"]:
            return 409, found
        if method == "DELETE":
            self.remove(kind, name)
            return 200, found
        return 200, self.put(kind, name, body["spec"])

    async def serve(self, host, reader, writer):
        try:
            while True:
                received = await read_message(reader)
                if received is None:
                    return
                first, _, body = received
                method, target, _ = first.split(" ")
                status, answer = self.call(
                    host, method, target, json.loads(body) if body else None)
                await asyncio.sleep(0.004)
                writer.write(message(f"HTTP/1.1 {status} Status",
                                     {"Content-Type": "application/json",
                                      "Store-Era": "1"},
                                     json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Link:
    """The way from one host to one engine; a cut link refuses connections and
    resets those that are open."""

    def __init__(self, target):
        self.target = target
        self.server = None
        self.port = 0
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self.relay, "127.0.0.1",
                                                 self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def cut(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def pipe(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            writer.transport.abort()
        finally:
            writer.close()

    async def relay(self, reader, writer):
        pair = {writer}
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.target())
            pair.add(far_writer)
            self.writers |= pair
            await asyncio.gather(self.pipe(reader, far_writer),
                                 self.pipe(far_reader, writer))
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self.writers -= pair


class Engine:
    """A plain engine. `work` is a coroutine that returns status and body."""

    def __init__(self, site, name, service, zone, slots, work):
        self.site, self.name, self.service = site, name, service
        self.zone, self.slots, self.work = zone, slots, work
        self.born = int(time.time() * 1000)
        self.running = 0
        self.port = 0
        self.seal = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.enlist()

    def enlist(self):
        self.site.store.put("servers", self.name, {
            "service": self.service, "address": "", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": "ready",
            "cold_remaining_ms": 0, "seq": 1, "born": self.born})

    def load(self):
        return {"X-Server-Load": f"{self.running},0,{self.slots}"}

    async def serve(self, reader, writer):
        try:
            while True:
                received = await read_message(reader)
                if received is None:
                    return
                writer.write(await self.answer(*received))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, first, fields, body):
        attempt = fields.get("x-attempt-id", "")
        echo = {"X-Attempt-Id": attempt, "Keep-Alive": "timeout=10",
                "X-Instance-Id": self.name, **self.load()}
        record = self.site.record
        if first.startswith("GET /health"):
            return message("HTTP/1.1 200 OK", echo)
        if fields.get("x-expect-instance", self.name) != self.name:
            return message("HTTP/1.1 421 Misdirected Request", echo)
        if not attempt:
            return message("HTTP/1.1 400 Bad Request",
                           {**echo, "X-Not-Executed": "1"})
        if self.running >= self.slots:
            record.write(f"{self.name} turns {attempt} away")
            return message("HTTP/1.1 503 Service Unavailable",
                           {**echo, "X-Not-Executed": "1"})
        self.running += 1
        record.write(f"{self.name} runs {attempt}")
        self.site.ran(attempt, self.name)
        try:
            status, answer = await self.work(self, attempt, fields, body)
        finally:
            self.running -= 1
        self.seal += 1
        return message(f"HTTP/1.1 {status} Status",
                       {**echo, **self.load(),
                        "X-Server-Seal": f"{self.name}.{self.seal}"}, answer)


class Host:
    """One entry host, started by the command of the deploy file."""

    def __init__(self, site, number):
        self.site, self.number = site, number
        self.name = f"edge-{number + 1}"
        self.zone = f"zone-{number % 3 + 1}"
        (self.callers, self.ready, self.directory, self.metrics, self.digests,
         self.forwards) = free_ports(6)
        self.links = {}
        self.process = None

    async def start(self):
        server = await asyncio.start_server(
            lambda r, w: self.site.store.serve(self.name, r, w),
            "127.0.0.1", 0)
        store = server.sockets[0].getsockname()[1]
        if self.site.has_links:
            for engine in self.site.engines:
                link = self.links[engine.name] = Link(lambda e=engine: e.port)
                await link.open()
            self.site.store.links[self.name] = {
                name: f"127.0.0.1:{link.port}"
                for name, link in self.links.items()}
        else:
            self.site.store.links[self.name] = {
                engine.name: f"127.0.0.1:{engine.port}"
                for engine in self.site.engines}
        bounds = "".join(f"{k} = {v}\n" for k, v in BOUNDS.items())
        self.settings = os.path.join(self.site.folder, f"{self.name}.ini")
        with open(self.settings, "w") as file:
            file.write(
                f"[host]\nid = {self.name}\nzone = {self.zone}\n"
                "cores = 0.25\n[listen]\n"
                f"callers = 127.0.0.1:{self.callers}\n"
                f"ready = 127.0.0.1:{self.ready}\n"
                f"directory = 127.0.0.1:{self.directory}\n"
                f"metrics = 127.0.0.1:{self.metrics}\n"
                f"digests = 127.0.0.1:{self.digests}\n"
                f"forwards = 127.0.0.1:{self.forwards}\n"
                f"[store]\naddress = 127.0.0.1:{store}\n[bounds]\n{bounds}"
                "evacuation_ms = \n")
        self.launch()

    def launch(self):
        log = os.path.join(self.site.folder, f"{self.name}.log")
        with open(log, "ab") as output:
            self.process = subprocess.Popen(
                [PROGRAM, "--hosted", "--config", self.settings],
                stdin=subprocess.DEVNULL, stdout=output, stderr=output,
                cwd=ROOT,
                env={**os.environ, "BLUEBELL_MEMORY_MB": str(MEMORY_MB)})
        LAUNCHED.append(self.process)
        self.site.record.write(f"{self.name} starts")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1",
                                                           self.ready)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return bool(answer) and " 200 " in answer[0]
        except (OSError, asyncio.TimeoutError):
            return False


class Site:
    """Everything of one run. `config` is the operator's configuration. Without
    links, hosts reach the engines directly."""

    def __init__(self, record_path, config, has_links=True):
        self.has_links = has_links
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="small-site-")
        self.store = Store()
        self.store.put("config", "main", config)
        self.engines, self.hosts = [], []
        # Engines that ran each attempt, in order.
        self.runs = {}
        self.sent = 0

    def ran(self, attempt, engine):
        self.runs.setdefault(attempt, []).append(engine)

    async def start(self, hosts):
        for engine in self.engines:
            await engine.start()
        for number in range(hosts):
            host = Host(self, number)
            self.hosts.append(host)
            await host.start()
        for _ in range(150):
            if all([await host.is_ready() for host in self.hosts]):
                # Traffic starts ten seconds after the machines do.
                await asyncio.sleep(max(0.0, 10 - self.record.now()))
                return True
            await asyncio.sleep(0.1)
        return False

    async def request(self, host, method, path, key, deadline_ms, body=b"",
                      fields=None, kind="request"):
        """Sends one attempt on a new connection; returns its id and the
        answer's status, fields and body, the status 0 without an answer."""
        self.sent += 1
        attempt = f"{self.sent:016x}"
        self.record.write(f"{kind} {attempt} sent to {host.name}")
        head = {"Host": "shop.example", "X-Attempt-Id": attempt,
                "X-Deadline-Ms": deadline_ms, "Connection": "close",
                **(fields or {})}
        if key:
            head["Authorization"] = f"Bearer {key}"
        writer, answer = None, None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", host.callers), 1)
            writer.write(message(f"{method} {path} HTTP/1.1", head, body))
            answer = await asyncio.wait_for(read_message(reader),
                                            deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.close()
        status = int(answer[0].split(" ")[1]) if answer else 0
        self.record.write(f"{kind} {attempt} answered {status}")
        return (attempt, status, answer[1] if answer else {},
                answer[2] if answer else b"")

    def stop(self):
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
            if host.process is not None:
                host.process.wait()
        self.record.close()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder)


def route(name, kind, service, timeout_ms, objective_ms, attempts, **more):
    return {"name": name, "host": "shop.example", "path_prefix": f"/{name}/",
            "kind": kind, "service": service, "timeout_ms": timeout_ms,
            "target_latency_ms": objective_ms, "max_attempts": attempts,
            "priority": 0, **more}


def service(name):
    return {"name": name, "health_path": "/health", "max_conns": 110}


def tenant(name, key, rate=0, burst=0):
    return {"name": name, "api_keys": [key], "rate_per_s": rate,
            "burst": burst, "unit": "token_stream", "plain_tokens": 200}
