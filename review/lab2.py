"""Stand-ins and processes for the script cases 6 to 10, on loopback.

Starts bluebellraild as the deploy file does, with settings filled in from its
template. The store, the engines and the callers run in this process. Every
host has its own path to every engine, a relay that can be cut.
"""
import asyncio
import json
import os
import random
import re
import socket
import struct
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ZONES = ("dakar", "thies", "rufisque")
# Bounds of the small deployment ndts-atelier.
BOUNDS = {"revoke_ms": 5000, "grace_s": 8, "lease_ms": 3000,
          "quota_window_s": 8, "budget_window_s": 10, "budget_slack": 56,
          "retry_budget_ratio": 0.2}
CONTACT_S = 3.0
START_LIMIT_S = 25


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


def head_of(first, fields):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def message(first, fields, body=b""):
    return head_of(first, {**fields, "Content-Length": len(body)}) + body


def abort(writer):
    """Ends a connection by a reset."""
    opened = writer.get_extra_info("socket")
    if opened is not None and not writer.is_closing():
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                          struct.pack("ii", 1, 0))
    writer.transport.abort()


class Record:
    """What was sent, answered and run, in record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begun = now()

    def note(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now() - self.begun:8.3f} {what} {text}\n")

    def close(self):
        self.file.close()


class Store:
    """The platform's object store. Each host has its own listener, which shows
    it the addresses of its own relays as those of the engines."""

    def __init__(self):
        self.revision = 0
        self.objects = {}
        self.addresses = {}
        # Times at which a host listed the engines.
        self.listings = {}

    def put(self, kind, name, spec):
        self.revision += 1
        self.objects[(kind, name)] = {
            "metadata": {"name": name, "revision": self.revision,
                         "finalizers": [], "deleting": False},
            "spec": spec, "status": None}
        return self.objects[(kind, name)]

    def remove(self, kind, name):
        self.revision += 1
        return self.objects.pop((kind, name), None)

    def show(self, entry, host):
        """The entry of an engine as `host` reaches it."""
        address = self.addresses.get((host, entry["metadata"]["name"]))
        if address is None:
            return entry
        return {**entry, "spec": {**entry["spec"], "address": address}}

    def call(self, method, target, body, host):
        path, _, query = target.partition("?")
        kind, _, name = path.removeprefix("/objects/").partition("/")
        found = self.objects.get((kind, name))
        if method == "GET" and not name:
            if kind == "servers":
                self.listings.setdefault(host, []).append(now())
            items = [self.show(entry, host) for (listed, _), entry
                     in sorted(self.objects.items()) if listed == kind]
            return 200, {"items": items, "more_pages": False,
                         "store_revision": self.revision}
        if method == "GET":
            return (200, found) if found else (404, {})
        if method == "DELETE":
            wanted = re.search(r"revision=(\d+)", query)
            if not found:
                return 404, {}
            if wanted and int(wanted[1]) != found["metadata"]["revision"]:
                return 409, found
            return 200, self.remove(kind, name)
        meta = body["metadata"]
        if method == "POST":
            if (kind, meta["name"]) in self.objects:
                return 409, self.objects[(kind, meta["name"])]
            return 200, self.put(kind, meta["name"], body["spec"])
        if not found:
            return 404, {}
        known = found["metadata"]["revision"]
        if meta.get("revision", known) != known:
            return 409, found
        if found["spec"] == body["spec"]:
            return 200, found
        return 200, self.put(kind, name, body["spec"])

    async def serve(self, host, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                first, fields = head
                body = await read_body(reader, fields)
                method, target, _ = first.split(" ")
                await asyncio.sleep(0.004)
                status, answer = self.call(
                    method, target, json.loads(body) if body else None, host)
                writer.write(message(
                    f"HTTP/1.1 {status} X",
                    {"Content-Type": "application/json", "Store-Era": 1},
                    json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Relay:
    """A host's path to an engine. While it is cut it passes nothing on, and
    connections to it hang."""

    def __init__(self, target):
        self.target, self.is_cut = target, False
        self.opened, self.fillers = set(), []
        self.healed = asyncio.Event()
        self.healed.set()
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.task = asyncio.create_task(self.accept())

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            await self.healed.wait()
            opened, _ = await loop.sock_accept(self.listener)
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            asyncio.create_task(self.pass_on(opened))

    async def pass_on(self, opened):
        reader, writer = await asyncio.open_connection(sock=opened)
        self.opened.add(writer)
        try:
            engine_reader, engine_writer = await asyncio.open_connection(
                *self.target())
        except OSError:
            abort(writer)
            self.opened.discard(writer)
            return
        await asyncio.gather(self.pipe(reader, engine_writer),
                             self.pipe(engine_reader, writer))
        self.opened.discard(writer)

    async def pipe(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.healed.wait()
                writer.write(data)
                await writer.drain()
            await self.healed.wait()
            writer.close()
        except ConnectionError:
            await self.healed.wait()
            abort(writer)

    def cut(self):
        """Connections that find the queue of the listener full hang."""
        self.healed.clear()
        self.task.cancel()
        self.listener.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            try:
                filler.connect(("127.0.0.1", self.port))
            except BlockingIOError:
                pass
            self.fillers.append(filler)

    def heal(self):
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.listener.listen(128)
        self.healed.set()
        self.task = asyncio.create_task(self.accept())


class Engine:
    """A sound engine of one software version. It holds the model, so that it
    needs no orders."""

    def __init__(self, lab, name, zone, service, version="1", slots=32):
        self.lab, self.id, self.zone = lab, name, zone
        self.service, self.version, self.slots = service, version, slots
        self.writers, self.server, self.port = set(), None, 0
        self.born = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1",
                                                 self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        self.born = int(time.time() * 1000)
        self.enlist()

    def enlist(self):
        spec = {"service": self.service, "address": f"127.0.0.1:{self.port}",
                "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": "ready", "born": self.born,
                "cold_remaining_ms": 0, "seq": 1}
        if self.lab.models:
            spec.update({"stage": "colocated", "models": self.lab.models})
        self.lab.store.put("servers", self.id, spec)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                first, fields = head
                body = await read_body(reader, fields)
                if first.startswith("GET /report") and self.lab.models:
                    writer.write(message(
                        "HTTP/1.1 200 OK",
                        {"Content-Type": "application/json"},
                        json.dumps(self.report()).encode()))
                elif first.startswith("POST /order"):
                    status = self.carry_out(body)
                    self.lab.record.note("order", engine=self.id,
                                         status=status, body=body.decode())
                    writer.write(message(f"HTTP/1.1 {status} X", {}))
                elif fields.get("x-expect-instance", self.id) != self.id:
                    writer.write(message(
                        "HTTP/1.1 421 Other",
                        {"X-Attempt-Id": fields.get("x-attempt-id", ""),
                         "X-Instance-Id": self.id}))
                elif not await self.work(first, fields, body, reader, writer):
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def carry_out(self, body):
        """Returns the status of an order; 409 while another one is carried
        out."""
        return 409

    def report(self):
        return {"stage": "colocated", "models": self.lab.models,
                "busy": False, "seq": 1, "queued": 0, "active": 0,
                "kv_used": 0, "kv_total": 102006, "handles": 0,
                "born": self.born}

    async def work(self, first, fields, body, reader, writer):
        """Runs one request; returns whether the connection goes on."""
        raise NotImplementedError

    def seal(self, fields):
        return {"X-Attempt-Id": fields.get("x-attempt-id", ""),
                "X-Server-Seal": f"{self.id}.{fields.get('x-attempt-id')}"}


class Host:
    """One entry host on its own ports."""

    def __init__(self, lab, number, name=None, ip="127.0.0.1"):
        self.lab, self.number, self.ip = lab, number, ip
        self.name = name or f"edge-{ZONES[number % 3]}-{number // 3 + 1}"
        self.zone = ZONES[number % len(ZONES)]
        self.ports = [next(lab.ports) for _ in range(5)]
        self.front = self.ports[0]
        self.process = None
        self.relays = {}

    async def prepare(self):
        store = self.lab.store
        self.store_server = await asyncio.start_server(
            lambda *ends: store.serve(self, *ends), "127.0.0.1", 0)
        store_port = self.store_server.sockets[0].getsockname()[1]
        for engine in self.lab.engines if self.lab.uses_relays else ():
            relay = Relay(lambda engine=engine: ("127.0.0.1", engine.port))
            self.relays[engine.id] = relay
            store.addresses[(self, engine.id)] = f"127.0.0.1:{relay.port}"
        values = {"node_name": self.name, "zone": self.zone, "ip": self.ip,
                  "limits.cpu_share": 0.25, "limits.memory_mb": 260,
                  "platform.address": f"127.0.0.1:{store_port}",
                  "listen.front": f"{self.ip}:{self.ports[0]}",
                  "listen.ready": f"{self.ip}:{self.ports[1]}",
                  "listen.directory": f"{self.ip}:{self.ports[2]}",
                  "internal_ports.0": self.ports[3],
                  "internal_ports.1": self.ports[4],
                  **{f"bounds.{name}": value
                     for name, value in BOUNDS.items()}}
        with open(os.path.join(ROOT, self.lab.role["template"])) as file:
            text = re.sub(r"\{\{([^}]*)\}\}",
                          lambda found: str(values.get(found[1], "")),
                          file.read())
        self.settings = os.path.join(self.lab.folder, f"{self.number}.ini")
        with open(self.settings, "w") as file:
            file.write(text)

    def start(self):
        command = self.lab.role["run"].split()
        command[command.index("--config") + 1] = self.settings
        command[0] = os.path.join(ROOT, command[0])
        path = os.path.join(self.lab.folder, f"{self.number}.log")
        with open(path, "ab") as log:
            self.process = subprocess.Popen(
                command, stdout=log, stderr=log, cwd=ROOT,
                env={"PATH": os.environ["PATH"], "BLUEBELL_MEMORY_MB": "260"})
        self.lab.processes.append(self.process)
        self.lab.record.note("start", host=self.name, pid=self.process.pid)

    def kill(self):
        self.lab.record.note("kill", host=self.name, pid=self.process.pid)
        self.process.kill()
        self.process.wait()

    def cut(self):
        self.lab.record.note("cut", host=self.name)
        for relay in self.relays.values():
            relay.cut()

    def heal(self):
        self.lab.record.note("heal", host=self.name)
        for relay in self.relays.values():
            relay.heal()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.ports[1]), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(message("GET /ready HTTP/1.1", {"Host": "h"}))
            head = await asyncio.wait_for(read_head(reader), 1)
            return head is not None and head[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()


def free_ports():
    """Ports that are free for TCP and UDP, from a block that no other run and
    no test uses: as in packages/standins/test_address.cpp, who listens on the
    first port of a block has it."""
    first, size, blocks = 10000, 400, 55
    guard = socket.socket()
    for block in random.sample(range(blocks), blocks):
        try:
            guard.bind(("127.0.0.1", first + block * size))
            guard.listen(1)
            break
        except OSError:
            guard.close()
            guard = socket.socket()
    else:
        raise RuntimeError("no block of ports is free")
    for port in range(guard.getsockname()[1] + 1, first + (block + 1) * size):
        try:
            with socket.socket() as tcp, \
                    socket.socket(type=socket.SOCK_DGRAM) as udp:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
        except OSError:
            continue
        yield port


class Lab:
    """Engines, the store and the hosts of one case."""

    def __init__(self, case_folder):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.ports = free_ports()
        self.engines, self.hosts, self.processes = [], [], []
        self.models = []
        # Without relays an engine that has crashed refuses connections.
        self.uses_relays = True
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["entry-host"]

    def write_config(self, version, routes, services, keys=("key-1",)):
        self.store.put("config", "main", {
            "version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
            "tenants": [{"name": "tenant-1", "api_keys": list(keys),
                         "rate_per_s": 0, "burst": 0, "unit": "token_stream",
                         "plain_tokens": 200}]})

    async def start_hosts(self, count):
        for number in range(count):
            host = Host(self, number)
            await host.prepare()
            self.hosts.append(host)
        for host in self.hosts:
            host.start()
        await self.await_ready(self.hosts)

    async def await_ready(self, hosts):
        limit = now() + START_LIMIT_S
        waiting = list(hosts)
        while waiting:
            if now() > limit:
                raise RuntimeError("the hosts did not become ready")
            await asyncio.sleep(0.1)
            waiting = [host for host in waiting if not await host.is_ready()]

    def store_readers(self):
        """The hosts that list the engines themselves, and so use their own
        relays. The others use those of the reader that they follow."""
        recently = now() - 2
        return [host for host in self.hosts if sum(
            at > recently for at in self.store.listings.get(host, [])) > 1]

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.record.close()


def run(case_folder, case):
    """Runs `case(lab)`, which returns whether the rule held; returns the exit
    code."""
    if not os.path.exists(os.path.join(ROOT, "target/bin/bluebellraild")):
        print("target/bin/bluebellraild is not built")
        return 2
    lab = None

    async def main():
        nonlocal lab
        # Connections that are open at the end are not worth a report.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        lab = Lab(case_folder)
        return await asyncio.wait_for(case(lab), 110)

    try:
        held = asyncio.run(main())
        code = 0 if held else 1
    except Exception as failure:  # Anything else means the case could not run.
        print(f"could not run: {failure!r}")
        code = 2
    finally:
        if lab is not None:
            lab.end()
    print(("held", "BROKEN", "not run")[code], flush=True)
    # Without the reports of connections that the end of the loop has closed.
    os._exit(code)
