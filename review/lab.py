"""Stand-ins for the scripts of this review: store, engines, callers, hosts.

Everything runs on 127.0.0.1. The hosts are the project's own processes, started
by the command of the deploy file with settings from its template.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ADDRESS = "127.0.0.1"
# The bounds of the small sites.
CONTACT_S = 3.0
DRAIN_S = 2.0
BOUNDS = {
    "revoke_ms": 5000, "grace_s": 8, "lease_ms": 3000, "quota_window_s": 8,
    "budget_window_s": 10, "budget_slack": 52, "retry_budget_ratio": 0.2,
}
HELD, BROKEN, NOT_RUN = 0, 1, 2


def now():
    return time.monotonic()


async def read_head(reader):
    """First line and fields of a message, or None at the end."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.lower()] = value.strip()
    return lines[0], fields


def head(first, fields):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def message(first, fields, body=b""):
    return head(first, {**fields, "Content-Length": len(body)}) + body


def chunk(data):
    return b"%x\r\n" % len(data) + data + b"\r\n"


def free_port():
    """A port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, \
                socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((ADDRESS, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((ADDRESS, port))
            except OSError:
                continue
            return port


class Server:
    """A listener whose connections can be cut."""

    def __init__(self):
        self.server, self.port, self.writers = None, 0, set()

    async def listen(self):
        self.server = await asyncio.start_server(self._serve, ADDRESS,
                                                 self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self):
        """Ends as a killed process does."""
        if self.server is not None:
            self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    return
                first, fields = request
                body = await reader.readexactly(
                    int(fields.get("content-length", "0")))
                if not await self.handle(first, fields, body, reader, writer):
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store: linearizable, one revision counter."""

    # What the operator and the engines write; they write it again after the
    # store was restored.
    OTHERS = ("config", "servers")
    COPIES_S = 12

    def __init__(self):
        super().__init__()
        self.revision, self.era, self.objects = 0, 1, {}
        self.copies = []

    def _copy(self):
        self.copies.append((now(), dict(self.objects), self.revision))
        while self.copies[0][0] < now() - self.COPIES_S:
            self.copies.pop(0)

    def restore(self, age_s):
        """Comes back as it was `age_s` seconds ago, in a new era."""
        for changed, objects, revision in self.copies:
            if changed > now() - age_s:
                self.objects, self.revision = dict(objects), revision
                break
        self.copies = []
        self.era += 1

    def put(self, kind, name, spec):
        self._copy()
        self.revision += 1
        self.objects[(kind, name)] = {
            "metadata": {"name": name, "revision": self.revision,
                         "finalizers": [], "deleting": False},
            "spec": spec, "status": None}
        return self.objects[(kind, name)]

    def remove(self, kind, name):
        self._copy()
        self.revision += 1
        return self.objects.pop((kind, name), None)

    def call(self, method, target, body):
        path = target.split("?")[0].split("/")[2:]
        kind, name = path[0], path[1] if len(path) > 1 else ""
        found = self.objects.get((kind, name))
        if method == "GET":
            if not name:
                items = [entry for (k, _), entry in
                         sorted(self.objects.items()) if k == kind]
                return 200, {"items": items, "more_pages": False,
                             "store_revision": self.revision}
            return (200, found) if found else (404, {})
        query = re.search(r"[?&]revision=(\d+)", target)
        if method == "DELETE":
            if found is None:
                return 404, {}
            if query and int(query[1]) != found["metadata"]["revision"]:
                return 409, found
            return 200, self.remove(kind, name)
        meta = body["metadata"]
        if method == "POST":
            key = (kind, meta["name"])
            if key in self.objects:
                return 409, self.objects[key]
            return 200, self.put(kind, meta["name"], body["spec"])
        if found is None:
            return 404, {}
        if meta.get("revision", found["metadata"]["revision"]) != \
                found["metadata"]["revision"]:
            return 409, found
        if body["spec"] == found["spec"]:
            return 200, found
        return 200, self.put(kind, name, body["spec"])

    async def handle(self, first, fields, body, reader, writer):
        method, target, _ = first.split(" ")
        await asyncio.sleep(0.004)
        status, answer = self.call(method, target,
                                   json.loads(body) if body else None)
        writer.write(message(f"HTTP/1.1 {status} X",
                             {"Store-Era": self.era,
                              "Content-Type": "application/json"},
                             json.dumps(answer).encode()))
        return True


class Host:
    """One bluebellraild process, as the deploy file starts it."""

    def __init__(self, lab, number, zone):
        self.lab, self.name, self.zone = lab, f"edge-{number}", zone
        ports = {name: free_port() for name in
                 ("front", "ready", "directory", "digests", "forwards")}
        self.front, self.ready = ports["front"], ports["ready"]
        values = {
            "node_name": self.name, "zone": zone, "limits.cpu_share": 0.25,
            "ip": ADDRESS, "internal_ports.0": ports["digests"],
            "internal_ports.1": ports["forwards"],
            "platform.address": f"{ADDRESS}:{lab.store.port}",
        }
        for name in ("front", "ready", "directory"):
            values[f"listen.{name}"] = f"{ADDRESS}:{ports[name]}"
        for name, value in BOUNDS.items():
            values[f"bounds.{name}"] = value
        role = lab.deploy["roles"]["entry-host"]
        with open(os.path.join(ROOT, role["template"])) as file:
            text = re.sub(r"\{\{([^}]+)\}\}",
                          lambda found: str(values[found[1]]), file.read())
        self.settings = os.path.join(lab.folder, f"{self.name}.ini")
        with open(self.settings, "w") as file:
            file.write(text)
        command = role["run"].split()
        command[command.index("--config") + 1] = self.settings
        command[0] = os.path.join(ROOT, command[0])
        self.command = command
        self.process, self.begun, self.ends_allowed = None, 0.0, set()

    def begin(self):
        with open(os.path.join(self.lab.folder, f"{self.name}.log"),
                  "ab") as log:
            self.process = subprocess.Popen(self.command, stdout=log,
                                            stderr=log, cwd=ROOT)
        self.begun = now()
        self.lab.note(f"{self.name} begins")

    def log(self):
        with open(os.path.join(self.lab.folder, f"{self.name}.log"),
                  errors="replace") as log:
            return log.read()


class Lab:
    """One play of a case."""

    def __init__(self, case):
        self.case = case
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self.record = open(os.path.join(case, "record.txt"), "w")
        self.begun = now()
        self.random = random.Random(int(os.environ.get("SEED", "1")))
        self.store, self.hosts, self.tasks = Store(), [], []
        self.problems = []
        # Processes that ended by themselves, with the time.
        self.own_ends = []
        self.ending = False

    def note(self, text):
        self.record.write(f"{now() - self.begun:8.3f} {text}\n")

    def problem(self, text):
        self.problems.append(text)
        self.note(f"BROKEN {text}")

    def task(self, work):
        self.tasks.append(asyncio.ensure_future(work))

    def add_hosts(self, count, zones=("north", "south")):
        for number in range(1, count + 1):
            host = Host(self, number, zones[(number - 1) % len(zones)])
            self.hosts.append(host)
            host.begin()
            self.task(self._keep(host))

    async def _keep(self, host):
        """Starts a process again that has ended, as the platform does."""
        while not self.ending:
            code = host.process.poll()
            if code is not None:
                if code not in host.ends_allowed:
                    self.own_ends.append((now(), host, code))
                    self.note(f"{host.name} ended by itself with {code}")
                else:
                    self.note(f"{host.name} ended with {code}")
                await asyncio.sleep(0.3)
                host.begin()
            await asyncio.sleep(0.02)

    async def await_ready(self, limit_s=15):
        end = now() + limit_s
        for host in self.hosts:
            while await self.get(host.ready, "/ready") != 200:
                if now() > end:
                    raise TimeoutError(f"{host.name} isn't ready")
                await asyncio.sleep(0.1)

    async def get(self, port, path):
        try:
            reader, writer = await asyncio.open_connection(ADDRESS, port)
            writer.write(head(f"GET {path} HTTP/1.1", {"Host": "x"}))
            answer = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return int(answer[0].split()[1]) if answer else 0
        except (OSError, asyncio.TimeoutError):
            return 0

    def play(self, work):
        """Runs the case; returns its exit status."""
        status = NOT_RUN
        try:
            asyncio.run(self._play(work))
            status = BROKEN if self.problems else HELD
        except Exception as failure:  # The case couldn't run.
            self.note(f"not run: {failure!r}")
            print(f"not run: {failure!r}", file=sys.stderr)
        finally:
            for host in self.hosts:
                if host.process.poll() is None:
                    host.process.kill()
                host.process.wait()
            self.note({HELD: "held", BROKEN: "broken",
                       NOT_RUN: "not run"}[status])
            self.record.close()
            if os.environ.get("KEEP"):
                print(self.folder)
            else:
                shutil.rmtree(self.folder, ignore_errors=True)
        for problem in self.problems:
            print(problem)
        return status

    async def _play(self, work):
        await self.store.listen()
        try:
            await work(self)
        finally:
            self.ending = True
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            for host in self.hosts:
                if host.process.poll() is None:
                    host.process.kill()
                host.process.wait()
            await asyncio.sleep(0.2)


def main(case, work):
    """Plays the case in folder `case`, and ends with its exit status."""
    play = Lab(case)

    def end(*_):
        for host in play.hosts:
            host.process.kill()
        os._exit(NOT_RUN)

    signal.signal(signal.SIGTERM, end)
    status = play.play(work)
    sys.stdout.flush()
    # Tasks of connections that just ended need no further turn.
    os._exit(status)


class Answer:
    """What a caller saw of one request."""

    def __init__(self):
        self.status, self.fields, self.body = 0, {}, b""
        self.complete = False
        self.seconds = 0.0


class Connection:
    """A caller's kept connection to one host."""

    def __init__(self, port):
        self.port, self.reader, self.writer = port, None, None
        self.answered = 0

    async def open(self):
        if self.writer is None:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(ADDRESS, self.port), 1)
            self.answered = 0

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    async def send(self, method, path, fields, body=b"", limit_s=13):
        """Sends a request and reads the answer as far as it comes."""
        answer, begun = Answer(), now()
        try:
            await self.open()
            self.writer.write(message(f"{method} {path} HTTP/1.1", fields,
                                      body))
            await asyncio.wait_for(self._read(answer), limit_s)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ValueError):
            pass
        answer.seconds = now() - begun
        if answer.complete:
            self.answered += 1
        if not answer.complete or \
                answer.fields.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def _read(self, answer):
        found = await read_head(self.reader)
        if found is None:
            return
        answer.status = int(found[0].split()[1])
        answer.fields = found[1]
        if answer.fields.get("transfer-encoding") != "chunked":
            answer.body = await self.reader.readexactly(
                int(answer.fields.get("content-length", "0")))
            answer.complete = True
            return
        while True:
            size = int(await self.reader.readline(), 16)
            data = await self.reader.readexactly(size + 2)
            if size == 0:
                answer.complete = True
                return
            answer.body += data[:-2]


def route(name, prefix, kind, service, **more):
    return {"name": name, "host": "shop.example", "path_prefix": prefix,
            "kind": kind, "timeout_ms": 12000, "target_latency_ms": 250,
            "priority": 1, "service": service, "max_attempts": 1,
            "public": False, **more}


def config(routes, services):
    return {"version": 7, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "hule930", "api_keys": ["key-1"],
                         "priority": 1, "unit": "token_stream",
                         "plain_tokens": 200, "rate_per_s": 1000000,
                         "burst": 1000000}]}


def model_service(name, models, slots=48, adapter_slots=5):
    return {"name": name, "health_path": "/health", "max_conns": 290,
            "engine": {"slots": slots, "kv_capacity": 123621,
                       "models": models, "weights_mb": 200000.0,
                       "adapter_slots": adapter_slots, "loads_per_s": 2.2}}


def model(name, adapters=20):
    return {"name": name, "weights_mb": 72700.0, "load_time_s": 2.0,
            "adapters": adapters, "adapter_size_mb": 66.0, "warm_s": 0.6,
            "disk_load_s": 0.8}


def plain_service(name):
    return {"name": name, "health_path": "/health", "max_conns": 96}


class ModelEngine(Server):
    """A sound model engine: runs streams, loads and unloads by orders."""

    def __init__(self, lab, number, service, models, slots=48,
                 adapter_slots=5, step_s=0.03, adapter_s=0.01):
        super().__init__()
        self.lab, self.id, self.service = lab, f"i-{number:08x}", service
        self.slots, self.adapter_slots = slots, adapter_slots
        self.step_s, self.adapter_s = step_s, adapter_s
        self.models = {name: set(adapters) for name, adapters in
                       models.items()}
        self.pending, self.leaving_adapters = set(), set()
        self.seq, self.busy, self.running = 0, False, 0
        self.in_use = {}
        self.born = int(time.time() * 1000)
        self.version, self.state = "v1", "ready"
        # Fields of every answer.
        self.says = {}
        self.overloaded = 0

    def entry(self):
        return {"service": self.service, "address": f"{ADDRESS}:{self.port}",
                "zone": "north", "version": self.version, "slots": self.slots,
                "state": self.state, "cold_remaining_ms": 0,
                "stage": "colocated", "models": self.described(),
                "seq": self.seq, "born": self.born}

    def described(self):
        return [{"name": name, "version": 1, "adapters": sorted(adapters)}
                for name, adapters in self.models.items()]

    async def start(self):
        await self.listen()
        self.enlist()
        self.lab.task(self.beat())

    def enlist(self):
        if self.server is not None:
            self.lab.store.put("servers", self.id, self.entry())

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            known = self.lab.store.objects.get(("servers", self.id))
            if known is not None and known["spec"] != self.entry():
                self.enlist()

    async def handle(self, first, fields, body, reader, writer):
        attempt = fields.get("x-attempt-id", "")
        common = {**({"X-Attempt-Id": attempt} if attempt else {}),
                  "X-Instance-Id": self.id, **self.says}
        if fields.get("x-expect-instance", self.id) != self.id:
            writer.write(message("HTTP/1.1 421 Other", common))
            return True
        if first.startswith("GET /report"):
            writer.write(message("HTTP/1.1 200 OK", common,
                                 json.dumps(self.report()).encode()))
            return True
        if first.startswith("GET /health"):
            writer.write(message("HTTP/1.1 200 OK", common))
            return True
        if first.startswith("POST /order"):
            status = self.order(json.loads(body))
            writer.write(message(f"HTTP/1.1 {status} X", common))
            return True
        return await self.run(attempt, fields, body, common, reader, writer)

    def report(self):
        return {"stage": "colocated", "models": self.described(),
                "busy": self.busy, "seq": self.seq, "queued": 0,
                "active": self.running, "kv_used": 0, "kv_total": 123621,
                "handles": 0, "born": self.born,
                "pending": [f"{name}/{adapter}@1"
                            for name, adapter in sorted(self.pending)]}

    def adapters_held(self):
        return sum(map(len, self.models.values())) + len(self.pending)

    def order(self, order):
        """Carries an order out; returns its status."""
        if self.busy or order.get("expected", self.seq) != self.seq:
            return 409
        name, adapter = order["model"], order.get("adapter")
        loads = order["operation"] == "load"
        held = self.models.get(name)
        if adapter is None:
            if loads == (held is not None):
                return 200
            self.seq += 1
            self.busy = True
            self.lab.task(self.change_model(name, loads))
            return 202
        if held is None:
            return 421
        if loads:
            if adapter in held or (name, adapter) in self.pending:
                return 200
            self.seq += 1
            if self.adapters_held() + 1 > self.adapter_slots:
                self.on_overload(name, adapter)
                return 202
            self.pending.add((name, adapter))
            self.lab.task(self.load_adapter(name, adapter))
            return 202
        if adapter not in held:
            return 200
        if (name, adapter) in self.leaving_adapters:
            return 409
        self.seq += 1
        if self.in_use.get((name, adapter), 0) == 0:
            held.discard(adapter)
            return 200
        self.leaving_adapters.add((name, adapter))
        return 202

    def on_overload(self, name, adapter):
        self.overloaded += 1
        self.lab.note(f"{self.id} is ordered to load {name}/{adapter} beyond "
                      f"its {self.adapter_slots} places, holds "
                      f"{self.described()} {sorted(self.pending)}")

    async def load_adapter(self, name, adapter):
        await asyncio.sleep(self.adapter_s)
        self.pending.discard((name, adapter))
        if name in self.models:
            self.models[name].add(adapter)

    async def change_model(self, name, loads):
        await asyncio.sleep(2.0 if loads else 0.1)
        if loads:
            self.models[name] = set()
        else:
            while any(n > 0 for (held, _), n in self.in_use.items()
                      if held == name):
                await asyncio.sleep(0.05)
            self.models.pop(name, None)
        self.busy = False

    async def run(self, attempt, fields, body, common, reader, writer):
        name, _, adapter = fields.get("x-model", "").partition("/")
        held = self.models.get(name)
        key = (name, adapter)
        concerned = key in self.leaving_adapters or key in self.pending
        if held is None or (adapter and adapter not in held
                            and not concerned):
            writer.write(message("HTTP/1.1 421 Absent",
                                 {**common, "X-Not-Executed": "1"}))
            return True
        if self.running >= self.slots or concerned:
            writer.write(message("HTTP/1.1 503 Full",
                                 {**common, "X-Not-Executed": "1"}))
            return True
        self.running += 1
        self.in_use[key] = self.in_use.get(key, 0) + 1
        try:
            return await self.stream(attempt, fields, common, reader, writer)
        finally:
            self.running -= 1
            self.in_use[key] -= 1
            if self.in_use[key] == 0 and key in self.leaving_adapters:
                self.leaving_adapters.discard(key)
                self.models.get(name, set()).discard(adapter)

    async def stream(self, attempt, fields, common, reader, writer):
        """Writes the events of a run; X-Token-Count tells how many."""
        self.lab.note(f"{self.id} runs {attempt}")
        events = int(fields.get("x-token-count", "100,60").split(",")[1]) // 6
        begin = int(fields.get("last-event-id", "0") or 0) + 1
        await asyncio.sleep(self.step_s)
        writer.write(head("HTTP/1.1 200 OK", {
            **common, "X-Server-Seal": attempt,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}))
        for number in range(begin, events + 1):
            if reader.at_eof() or writer.is_closing():
                return False
            writer.write(chunk(
                f"id: {number}\ndata: {attempt} {self.version}\n\n".encode()))
            await writer.drain()
            await asyncio.sleep(self.step_s)
        writer.write(b"0\r\n\r\n")
        return True


class PlainEngine(Server):
    """A sound engine of a plain service."""

    def __init__(self, lab, number, service, slots=6, work_s=0.03):
        super().__init__()
        self.lab, self.id, self.service = lab, f"i-{number:08x}", service
        self.slots, self.work_s, self.running = slots, work_s, 0
        self.born, self.says = int(time.time() * 1000), {}

    async def start(self):
        await self.listen()
        self.enlist()

    def enlist(self):
        self.lab.store.put("servers", self.id, {
            "service": self.service, "address": f"{ADDRESS}:{self.port}",
            "zone": "north", "version": "v1", "slots": self.slots,
            "state": "ready", "cold_remaining_ms": 0, "seq": 1,
            "born": self.born})

    async def handle(self, first, fields, body, reader, writer):
        attempt = fields.get("x-attempt-id", "")
        common = {**({"X-Attempt-Id": attempt} if attempt else {}),
                  "X-Instance-Id": self.id, **self.says}
        if fields.get("x-expect-instance", self.id) != self.id:
            writer.write(message("HTTP/1.1 421 Other", common))
            return True
        if first.startswith("GET /health"):
            writer.write(message("HTTP/1.1 200 OK", common))
            return True
        return await self.run(attempt, first, fields, body, common, reader,
                              writer)

    async def run(self, attempt, first, fields, body, common, reader, writer):
        self.lab.note(f"{self.id} runs {attempt}")
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        writer.write(message("HTTP/1.1 200 OK",
                             {**common, "X-Server-Seal": attempt}, b"done"))
        return True


def caller_fields(attempt, **more):
    return {"Host": "shop.example", "X-Attempt-Id": attempt,
            "X-Deadline-Ms": 12000, "Authorization": "Bearer key-1", **more}
