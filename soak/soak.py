#!/usr/bin/env python3
"""Randomized fault soak of entry hosts on a hosted platform, on loopback.

Runs real bluebellraild processes against stand-ins of the users' store and
engines in this process, injects faults from outside (signals, proxies, store
faults), and checks while it runs what callers and engines see:

  TWICE    a request that must not be repeated runs more than once
  REFUSED  a 429 or 503 for a request that has run
  MIXED    a 200 without the engine's seal, for another request, or cut; an
           answer whose head is none in the protocol; a connection that is used
           again after an engine has sent such a head on it
  ORDER    a stream with missing or repeated events, or complete too early
  KEYS     a key works longer than its bound after it was withdrawn
  SERVED   nothing is served for ten seconds after the last fault has ended
  EXIT     a host ends by itself, with any status
  READY    a host that no fault touches is not ready 12 s after its start
  HUNG     a host that no fault touches leaves its ready port unanswered for 3 s
  MEMORY   a host holds more memory than its machine has
  GRACE    a host still runs at the end of the grace time after SIGTERM
  LOST     a request that only planned work touched gets no whole answer; or
           more than three requests on kept connections get none though neither
           their host nor their engine was touched, in storms too
  LIMIT    an engine that names a limit gets over one and a half times of it,
           and 5 requests, in 4 s from the hosts that it has told
  DRAIN    a request reaches an engine from a host that passed its Server-Leaving
           on 2 s before the request was sent
  PAUSE    more than two requests reach an engine from a host that it asked for
           a pause, half a second after that and before its end
  EVAC     a request reaches an engine of a zone later than 5 s after the store
           acknowledged the zone's evacuation, 11 s if the store or the host's
           link to it failed meanwhile; or no caller is served in that time
  COLD     a cold engine gets more than one and a half times of what it accepts
           when cold, and 5 requests, in any second that begins a second or
           more after it turned cold; hosts that were suspended count from a
           second after that
  CRASH    requests of which one shared part crashes engines go on to reach
           engines, or sound requests are refused for them (--crash-parts)

Planned work is SIGTERM, SIGHUP, restarts and configuration changes; it comes in
series that overlap. Faults (SIGKILL, SIGSTOP, the store, engines, links) come in
storms, which spare some hosts and engines, between calm phases that hold planned
work alone. Each run has an evacuation of a zone, during which an engine of the
other zone becomes cold; one of the evacuated zone is cold when it returns. EVAC
and COLD do not judge requests that a link to an engine held back. LOST does not
judge requests that a fault touched, and CHECKED fails a run in which it judged
under a third of the requests around stops.

The store has short pages and holds entries of another writer, some for the whole
run, under names that a target cannot hold as they are, or none. They excuse
nothing.

With --mixed-callers some callers send their next request early, read large
answers slowly, or use a connection at its idle time-out, the limits of the
configuration change, and sound engines fall silent for a second. With
--log-faults the reader of a host's log stalls or goes away. --share,
--descriptors and --data-mb limit each process.

Usage: soak.py [--seed N] [--seeds N] [--seconds S] [--hosts N] [--keep DIR]
               [--program PATH] [--crash-parts] [--mixed-callers]
               [--log-faults] [--sound-entries] [--zones N,N,..] [--share S]
               [--descriptors N] [--data-mb N] [--memory-mb N]
               [--idle-connections N]
Ends only processes that it started, by their ids.
"""
import argparse
import asyncio
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

REVOKE_S = 5.0
GRACE_S = 8
# LOST: a fault excuses the requests that are sent this long after it.
CONTACT_S = 3.0
# LOST: an engine still at work in the last sixth of the grace time excuses
# requests that were sent within this time after SIGTERM.
LATE_SEND_S = 3.0
# LOST: a connection that closes this soon under a request that no engine got
# crossed the request.
CROSSING_S = 0.2
# LOST: time by which an answer may end before the deadline that it is held to.
DEADLINE_MARGIN_S = 0.1
# LOST: the checks of this process are late by this at most; requests during
# longer pauses of its own are not judged.
MAX_PAUSE_S = 0.15
LONG_TIMEOUT_S = 12.0
SHORT_TIMEOUT_S = 3.0
# LOST: requests on kept connections that hosts and engines in touch may lose.
MAX_LOST_KEPT = 3
# READY: the users' bound of recovery.
READY_S = 12.0
PROBE_INTERVAL_S = 0.5
# The quota of a processor is given out in parts of this length.
QUOTA_PERIOD_S = 0.1
# Share of the processor of a host that a fault slows down.
SLOW_SHARE = 0.03
# Idle time-outs that configurations of --mixed-callers choose from.
IDLE_TIMEOUTS_S = (0.8, 1.5, 4.0)
LARGE_BYTES = (200_000, 1_500_000)
# EXIT: time in which a started process comes to handle signals.
START_S = 0.2
# CRASH: how often requests that crash engines come, and how many may reach
# engines later than `CONTACT_S` after the fifth crash.
CRASH_REQUEST_INTERVAL_S = 0.4
MAX_LATE_CRASHES = 3
# Answers of plain engines that have neither a length nor chunks.
UNFRAMED_SHARE = 0.1
# Answers of plain engines that interim responses precede.
INTERIM_SHARE = 0.05
# LIMIT, DRAIN, PAUSE: bounds of the users' rules.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
TOLD_S = 0.5
DRAIN_S = 2.0
MAX_IN_PAUSE = 2
# EVAC: bounds of the users' rules.
EVACUATION_S = 5.0
EVACUATION_FAULT_S = 6.0
# EVAC, COLD: bounds of the schedule; an evacuation is in force for 3 s or more.
EVACUATION_LENGTH_S = (8, 11)
COLD_LENGTH_S = (2.5, 5)
# EVAC: requests that are sent while an evacuation is in force, of which one
# must be served.
MIN_EVACUATION_REQUESTS = 20
# COLD: low enough that an engine's part of the requests is over the bound.
COLD_PER_S = 4
COLD_WINDOW_S = 1.0
COLD_FACTOR = 1.5
COLD_SLACK = 5
# COLD: a change of a record, or an answer to one host, is known to all hosts
# after this time: records are read every 0.6 s and passed on within 0.35 s.
COLD_NOTICE_S = 1.0
# COLD: clients whose requests come in addition while an engine is cold.
COLD_CLIENTS = 6
# EVAC, COLD: what a relay held back reaches the engine within this time after
# it goes on.
RELEASE_S = 0.5
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
    lines = text.decode().removesuffix("\r\n\r\n").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return lines[0], fields


# The name of a field (RFC 9110, section 5.6.2).
FIELD_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")


def is_final_head(first, fields):
    """Whether the head of an answer is that of a final response."""
    return (re.fullmatch(r"HTTP/1\.1 [2-5][0-9]{2}( .*)?", first) is not None
            and all(FIELD_NAME.fullmatch(name) for name in fields))


def broken_answer(rng, fields):
    """An answer with an engine's body whose head is none in the protocol."""
    first, more = rng.choice([
        ("HTTP/1.1 000 X", {}), ("HTTP/1.1 999 X", {}), ("HTTP/1.1 101 X", {}),
        ("HTTP/1.1 000 X", {"X-Not-Executed": "1"}),
        ("HTTP/1.1 200 OK", {"Odd Name": "1"}),
        ("HTTP/1.1 200 OK", {"Odd\x01": "1"}),
        ("HTTP/1.1 503 Full", {"X-Not-Executed": "1", "Odd ": "1"})])
    return message(first, {**fields, **more}, b"broken")


async def read_body(reader, fields):
    return await reader.readexactly(int(fields.get("content-length", "0")))


def head_of(first, fields):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def message(first, fields, body=b""):
    return head_of(first, {**fields, "Content-Length": len(body)}) + body


def reset(writer):
    """Ends a connection by a reset, which loses what is under way."""
    opened = writer.get_extra_info("socket")
    if opened is not None and not writer.is_closing():
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                          struct.pack("ii", 1, 0))
    writer.transport.abort()


class CallerSocket:
    """A caller's connection. What has arrived can be read after a reset,
    which asyncio's streams drop."""

    def __init__(self, opened, pause=0.0):
        self.opened, self.pause, self.data = opened, pause, b""

    @staticmethod
    async def connect(port, small=False):
        opened = socket.socket()
        opened.setblocking(False)
        if small:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
            # Loopback segments would make the host's send buffer large.
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
        try:
            await asyncio.wait_for(asyncio.get_running_loop().sock_connect(
                opened, ("127.0.0.1", port)), 1)
        except BaseException:
            opened.close()
            raise
        return CallerSocket(opened)

    async def write(self, data):
        await asyncio.get_running_loop().sock_sendall(self.opened, data)

    async def more(self):
        await asyncio.sleep(self.pause)
        data = await asyncio.get_running_loop().sock_recv(self.opened, 32768)
        if not data:
            raise asyncio.IncompleteReadError(self.data, None)
        self.data += data

    def take(self, count):
        data, self.data = self.data[:count], self.data[count:]
        return data

    async def readuntil(self, end):
        while end not in self.data:
            await self.more()
        return self.take(self.data.index(end) + len(end))

    async def readline(self):
        return await self.readuntil(b"\n")

    async def readexactly(self, count):
        while len(self.data) < count:
            await self.more()
        return self.take(count)

    def close(self):
        self.opened.close()


# Names that another writer may choose: a target holds them only in another
# form. None: an entry without a readable name.
ODD_SUFFIXES = (" b", "&b", "+b", "#b", "%", "%26b", "?b", "\nb", "\x7fb",
                "\r\nX-Injected: 1", "\u00e9", None)


class Store:
    """The users' object store: revisions, conditional writes, short pages,
    faults. A list begins only after a name that an object of its kind has."""

    COPIES_S = 12
    PAGE = 3
    # What the operator and the engines write; they write it again after a
    # restoration.
    OTHERS = ("config", "servers", "evacuations")

    def __init__(self, rng):
        self.rng = rng
        self.revision = 0
        self.era = 1
        self.objects = {}
        self.copies = []
        self.mode = "up"

    def keep_copy(self):
        self.copies.append((now(), dict(self.objects), self.revision))
        while self.copies[0][0] < now() - self.COPIES_S:
            self.copies.pop(0)

    def restore(self, age):
        """Comes back as it was `age` seconds ago."""
        newest = self.objects
        for changed, objects, revision in self.copies:
            if changed > now() - age:
                self.objects, self.revision = dict(objects), revision
                break
        self.copies = []
        self.era += 1
        for kind, name in list(self.objects):
            if kind in self.OTHERS and (kind, name) not in newest:
                self.remove(kind, name)
        for (kind, name), entry in newest.items():
            if kind in self.OTHERS:
                self.put(kind, name, entry["spec"])

    def put(self, kind, name, spec):
        self.keep_copy()
        self.revision += 1
        self.objects[(kind, name)] = {
            "metadata": {"name": name, "revision": self.revision,
                         "finalizers": [], "deleting": False},
            "spec": spec, "status": None}
        return self.objects[(kind, name)]

    def remove(self, kind, name):
        self.keep_copy()
        self.revision += 1
        return self.objects.pop((kind, name), None)

    def put_odd(self, kind, rng):
        """Stores an entry of another writer behind a random one, and returns
        its name in the store."""
        names = [n for k, n in self.objects if k == kind] or ["a"]
        suffix = rng.choice(ODD_SUFFIXES)
        name = rng.choice(names) + ("x" if suffix is None else suffix)
        entry = self.put(kind, name, "odd")
        if suffix is None:
            entry["metadata"]["name"] = rng.choice([None, "", 7])
        return name

    def list(self, kind, query):
        names = sorted(n for k, n in self.objects if k == kind)
        if "after" in query:
            if query["after"] not in names:
                return 400, {}
            names = names[names.index(query["after"]) + 1:]
        return 200, {"items": [self.objects[(kind, n)]
                               for n in names[:self.PAGE]],
                     "more_pages": len(names) > self.PAGE,
                     "store_revision": self.revision}

    def call(self, method, target, body):
        parts = urllib.parse.urlsplit(target)
        path = [urllib.parse.unquote(p) for p in parts.path.split("/")[2:]]
        query = dict(urllib.parse.parse_qsl(parts.query))
        kind, name = path[0], path[1] if len(path) > 1 else ""
        if set(query) - {"after", "serializable", "revision"}:
            return 400, {}
        found = self.objects.get((kind, name))
        if method == "GET":
            if not name:
                return self.list(kind, query)
            return (200, found) if found else (404, {})
        if method == "DELETE":
            return 200, self.remove(kind, name) or {}
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
                if len(first.split(" ")) != 3 or "x-injected" in fields:
                    writer.write(message("HTTP/1.1 400 Bad", {}))
                    return
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
                writer.write(message(f"HTTP/1.1 {status} X",
                                     {"Store-Era": self.era},
                                     json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def pause(seconds, reader, writer):
    """Works for a while; returns false once the caller's connection ended."""
    end = now() + seconds
    while now() < end:
        if reader.at_eof() or writer.is_closing():
            return False
        await asyncio.sleep(min(0.05, max(0.0, end - now())))
    return not reader.at_eof() and not writer.is_closing()


async def write_events(attempt, start, seconds, reader, writer, cut=None,
                       framed=True):
    """Writes the rest of a stream of ten events that lasts `seconds`; breaks
    off within the event after `cut`. Unless it is `framed`, the stream ends
    with its connection. Returns whether the connection goes on."""
    for number in range(start, 11):
        event = f"id: {number}\ndata: {attempt}\n\n".encode()
        size = b"%x\r\n" % len(event) if framed else b""
        if cut and number > cut:
            writer.write(size + event[:5])
            return False
        writer.write(size + event + (b"\r\n" if framed else b""))
        await writer.drain()
        if not await pause(seconds / 10, reader, writer):
            return False
    if framed:
        writer.write(b"0\r\n\r\n")
    return framed


class ColdPeriod:
    """A time in which an engine is cold."""

    def __init__(self, engine, seconds):
        self.engine = engine
        self.begin, self.end = now(), now() + seconds
        # When the first host got an answer that said so.
        self.told = None

    def remaining_ms(self):
        return max(0, int((self.end - now()) * 1000))


class Statements:
    """What an engine says of itself in its answers, and who heard it."""

    def __init__(self, soak, engine):
        self.soak, self.engine = soak, engine
        self.limit, self.limit_since = None, 0
        self.leaving = False
        self.cold = None
        self.pause_s, self.pause_ends = 0, 0
        # By launch of a host: when it was told of the limit, of the leaving,
        # and the begin, end and requests of its last pause.
        self.told_limit, self.told_leaving, self.pauses = {}, {}, {}
        self.arrivals = []

    def begin_limit(self, per_s):
        self.limit, self.limit_since = per_s, now()
        self.told_limit, self.arrivals = {}, []

    def fields(self):
        fields = {}
        if self.limit is not None:
            fields["Server-Limit"] = f"{self.limit:.2f}"
        if self.leaving:
            fields["Server-Leaving"] = "1"
        if self.cold:
            fields["X-Cold-Ms"] = self.cold.remaining_ms()
        return fields

    def tell(self, request):
        """The fields of an answer that is written now."""
        if request and self.calm(request, 0.1):
            if self.limit is not None:
                self.told_limit.setdefault(request.launch, now())
            if self.leaving:
                self.told_leaving.setdefault(request.launch, now())
            if self.cold and not self.cold.told:
                self.cold.told = now()
        return self.fields()

    def wants_pause(self, request):
        if now() >= self.pause_ends:
            return False
        if self.calm(request, 0.1):
            self.pauses[request.launch] = [now(), now() + self.pause_s, 0]
        return True

    def calm(self, request, seconds):
        """Whether nothing has harmed the request's host for `seconds`."""
        begin = now() - seconds
        return request.launch.begun <= begin and not any(
            self.soak.touches(key, begin, now())
            for key in (request.host.key, self.engine.key, "pause"))

    def arrived(self, request):
        """A request has reached the engine."""
        launch, at = request.launch, now()
        if not self.calm(request, CONTACT_S):
            return
        told = self.told_leaving.get(launch)
        if told and request.sent > told + DRAIN_S:
            self.soak.problem("DRAIN", f"{request.attempt} at {self.engine.id} "
                              f"{request.sent - told:.3f} s after the notice")
        pause = self.pauses.get(launch)
        if pause and pause[0] + TOLD_S < at < pause[1]:
            pause[2] += 1
            if pause[2] > MAX_IN_PAUSE:
                self.soak.problem("PAUSE", f"{request.attempt} at "
                                  f"{self.engine.id}, {pause[2]} requests")
        told = self.told_limit.get(launch)
        if self.limit is None or not told or at < told + TOLD_S:
            return
        self.arrivals.append(at)
        while self.arrivals[0] < at - LIMIT_WINDOW_S:
            self.arrivals.pop(0)
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * self.limit + LIMIT_SLACK
        if at > self.limit_since + CONTACT_S and len(self.arrivals) > allowed:
            self.soak.problem("LIMIT", f"{self.engine.id} named "
                              f"{self.limit:.2f} and got {len(self.arrivals)}")


class Engine:
    """A server that runs requests, sometimes badly."""

    def __init__(self, soak, number):
        self.soak, self.number = soak, number
        self.id = f"i-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.key = ("engine", self.id)
        self.fault = ""
        self.born = 1
        self.says = Statements(soak, self)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.proxy = Proxy(self.soak.rng, port)
        await self.proxy.start()
        self.enlist()

    def enlist(self):
        cold = self.says.cold
        self.soak.store.put("servers", self.id, {
            "service": "shop", "address": f"127.0.0.1:{self.proxy.port}",
            "zone": self.zone, "version": "v1", "slots": 24, "state": "ready",
            "born": self.born, "seq": 1,
            **({"cold_remaining_ms": cold.remaining_ms()} if cold else {})})

    async def turn_cold(self, seconds):
        """Is cold for a while, or until it begins again."""
        says = self.says
        period = says.cold = ColdPeriod(self, seconds)
        self.soak.cold_periods.append(period)
        self.soak.note(f"{self.id} is cold for {seconds:.1f} s")
        listed = ("servers", self.id) in self.soak.store.objects
        if listed:
            self.enlist()
        clients = [asyncio.create_task(self.soak.cold_client(period))
                   for _ in range(COLD_CLIENTS)]
        await asyncio.sleep(seconds)
        says.cold = None
        if listed and ("servers", self.id) in self.soak.store.objects:
            self.enlist()
        await asyncio.gather(*clients)

    def begin_again(self):
        """Starts again under its id, as another process."""
        if self.says.cold:
            self.says.cold.end = now()
        self.born += 1
        self.says = Statements(self.soak, self)
        self.enlist()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                first, fields = head
                body = await read_body(reader, fields)
                if not await self.run(first, fields, body, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def run(self, first, fields, body, reader, writer):
        arrival = self.soak.arrived(fields.get("x-attempt-id", ""), self)
        try:
            return await self.work(first, fields, body, reader, writer)
        finally:
            arrival["end"] = now()

    async def work(self, first, fields, body, reader, writer):
        rng, attempt = self.soak.rng, fields.get("x-attempt-id", "")
        says, request = self.says, self.soak.senders.get(attempt)
        common = {"X-Attempt-Id": attempt}
        if request:
            says.arrived(request)
        if request and says.wants_pause(request):
            common.update(says.tell(request))
            writer.write(message("HTTP/1.1 503 Full",
                                 {**common, "X-Not-Executed": "1",
                                  "Retry-After": f"{says.pause_s:.3f}"}))
            return True
        if fields.get("x-expect-instance") != self.id:
            self.soak.arrivals[attempt][-1]["misdirected"] = True
            writer.write(message("HTTP/1.1 421 Other",
                                 {**common, "X-Instance-Id": self.id}))
            return True
        fault = self.fault if rng.random() < 0.4 else ""
        if fault == "shed":
            common.update(says.tell(request))
            writer.write(message("HTTP/1.1 503 Full",
                                 {**common, "X-Not-Executed": "1"}))
            return True
        self.soak.ran(attempt, fields, first)
        seconds = float(body.split()[1])
        if "/large/" in first:
            body += b" " * rng.randint(*LARGE_BYTES)
        stream = any(f"/{kind}/" in first for kind in STREAMS)
        if not await pause(0.005 if stream else seconds, reader, writer):
            return False
        if fault == "reset":
            return False
        if fault == "broken":
            writer.write(broken_answer(rng, {**common,
                                             "X-Server-Seal": attempt}))
            if await read_head(reader) is not None:
                self.soak.problem("MIXED", f"{attempt}: {self.id} gets a "
                                  "request on a connection after a broken head")
            return False
        if rng.random() < INTERIM_SHARE:
            for _ in range(rng.randint(1, 3)):
                writer.write(head_of("HTTP/1.1 103 Early",
                                     {**common, "X-Server-Seal": attempt}))
            await asyncio.sleep(rng.choice([0, 0.01]))
        common.update(says.tell(request))
        if fault == "errors":
            writer.write(message("HTTP/1.1 500 No",
                                 {**common, "X-Server-Seal": attempt}))
            return True
        common["X-Server-Seal"] = attempt
        framed = rng.random() > UNFRAMED_SHARE
        if not stream and not framed:
            answer = head_of("HTTP/1.1 200 OK", common) + b"ran " + body
            if fault == "cut":
                writer.write(answer[:-2])
                await writer.drain()
                reset(writer)
                return False
            writer.write(answer)
            return False
        if not stream:
            answer = message("HTTP/1.1 200 OK", common, b"ran " + body)
            if fault == "cut":
                writer.write(answer[:-2])
                return False
            if fault == "extra":
                answer += message("HTTP/1.1 200 OK", common, b"extra")
            writer.write(answer)
            return True
        if framed:
            common["Transfer-Encoding"] = "chunked"
        writer.write(head_of("HTTP/1.1 200 OK", common))
        start = int(fields.get("last-event-id") or 0) + 1
        cut = 4 if fault in ("cut", "reset") else None
        return await write_events(attempt, start, seconds, reader, writer, cut,
                                  framed)


class Proxy:
    """A loopback relay whose connections can be harmed."""

    def __init__(self, rng, target):
        self.rng, self.target = rng, target
        self.mode = "up"
        self.port = 0
        self.writers = set()
        # When it last held data back.
        self.held = 0.0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = server.sockets[0].getsockname()[1]

    def reset_all(self):
        for writer in list(self.writers):
            reset(writer)

    async def pipe(self, reader, writer, direction):
        try:
            while True:
                data = await reader.read(4096)
                if not data:
                    break
                if self.mode == "delay":
                    await asyncio.sleep(self.rng.uniform(0.01, 0.2))
                    self.held = now()
                while self.mode == "silent" or self.mode == direction:
                    await asyncio.sleep(0.05)
                    self.held = now()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            reset(writer)
        except asyncio.CancelledError:
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


class ModelEngine:
    """An engine of a model service, which some requests crash."""

    # The first part is everybody's, the second one crashes engines.
    SHARED_PART, CRASHING_PART = "5c1e07a2", "badc0de5"

    def __init__(self, soak, number):
        self.soak, self.number = soak, number
        self.key = ("engine", f"m-{number}")
        self.starts, self.port = 0, 0
        self.server, self.writers = None, set()

    async def start(self):
        self.starts += 1
        self.id = f"m-{self.number}-{self.starts}"
        self.server = await asyncio.start_server(self.serve, "127.0.0.1",
                                                 self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.soak.store.put("servers", self.id, {
            "service": "llm", "address": f"127.0.0.1:{self.port}",
            "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
            "born": int(time.time() * 1000), "seq": 1,
            "models": [{"name": "tiles", "version": 1, "adapters": []}]})

    async def crash(self):
        server, self.server = self.server, None
        begun, dead = now(), self.id
        self.soak.crashes.append(begun)
        self.soak.note(f"engine {dead} crashes")
        server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        away = self.soak.rng.uniform(2, 4)
        await asyncio.sleep(1.5)
        self.soak.store.remove("servers", dead)
        await asyncio.sleep(away - 1.5)
        self.soak.spans.append((self.key, begun, now()))
        await self.start()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                first, fields = head
                body = await read_body(reader, fields)
                if first.startswith("GET /report"):
                    self.report(fields, writer)
                elif first.startswith("POST /order"):
                    writer.write(message("HTTP/1.1 409 Busy", {}))
                elif first.startswith("GET "):
                    writer.write(message("HTTP/1.1 200 OK",
                                         {"X-Instance-Id": self.id}))
                elif not await self.run(first, fields, body, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def report(self, fields, writer):
        writer.write(message("HTTP/1.1 200 OK", {
            "X-Attempt-Id": fields.get("x-attempt-id", ""),
            "X-Instance-Id": self.id, "Content-Type": "application/json",
        }, json.dumps({
            "stage": "colocated", "busy": False, "seq": 1, "queued": 0,
            "active": 0, "kv_used": 0, "kv_total": 90000, "handles": 0,
            "models": [{"name": "tiles", "version": 1, "adapters": []}],
        }).encode()))

    async def run(self, first, fields, body, reader, writer):
        attempt = fields.get("x-attempt-id", "")
        common = {"X-Attempt-Id": attempt}
        if fields.get("x-expect-instance") != self.id:
            writer.write(message("HTTP/1.1 421 Other",
                                 {**common, "X-Instance-Id": self.id}))
            return True
        arrival = self.soak.arrived(attempt, self)
        self.soak.ran(attempt, fields, first)
        parts = fields.get("x-prompt-prefix", "").split(",")
        crashes = any(part.startswith(self.CRASHING_PART)
                      for part in parts[:-1])
        if crashes:
            self.soak.crash_arrivals.append(now())
        common["X-Server-Seal"] = attempt
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in common.items()) +
            "Transfer-Encoding: chunked\r\n\r\n").encode())
        await writer.drain()
        if crashes:
            await asyncio.sleep(self.soak.rng.uniform(0.03, 0.08))
            if self.server is not None:
                self.soak.start_task(self.crash())
            return False
        alive = await write_events(attempt, 1, float(body.split()[1]),
                                   reader, writer)
        arrival["end"] = now()
        return alive


# Every host process that was started.
LAUNCHED = []


class Launch:
    """One process of a host, with what was done to it."""

    def __init__(self, process, log_size, log, log_pipe):
        self.process, self.log_size = process, log_size
        self.begun, self.signalled = now(), 0.0
        self.terms = []
        self.ended = float("inf")
        self.ready = False
        self.answered = now()
        self.log, self.log_pipe = log, log_pipe
        # Quota: the present period, what was used before it, and whether the
        # process is held until its end; a frozen process stays stopped.
        self.period, self.used_before = 0, 0.0
        self.held, self.frozen = False, False
        self.thawed = 0.0
        if log_pipe is not None:
            os.set_blocking(log_pipe, False)
            self.read_log()

    def read_log(self):
        asyncio.get_running_loop().add_reader(self.log_pipe, self.copy_log)

    def copy_log(self):
        try:
            while data := os.read(self.log_pipe, 65536):
                with open(self.log, "ab") as log:
                    log.write(data)
        except BlockingIOError:
            return
        self.close_log()

    def stall_log(self):
        asyncio.get_running_loop().remove_reader(self.log_pipe)

    def close_log(self):
        if self.log_pipe is not None:
            self.stall_log()
            os.close(self.log_pipe)
            self.log_pipe = None

    def processor_s(self):
        """Processor time that the process has used; it has one thread."""
        with open(f"/proc/{self.process.pid}/schedstat") as file:
            return int(file.read().split()[0]) / 1e9

    def hold(self, share):
        """Stops the process while it has used its share of this period."""
        if self.process.poll() is not None or self.frozen:
            return
        try:
            used, period = self.processor_s(), now() // QUOTA_PERIOD_S
        except OSError:
            return
        part = share * QUOTA_PERIOD_S
        if period != self.period:
            passed = period - self.period if self.period else 1
            self.used_before = min(used, self.used_before + passed * part)
            self.period = period
        held = used - self.used_before > part
        if held != self.held:
            self.held = held
            self.process.send_signal(
                signal.SIGSTOP if held else signal.SIGCONT)

    def freeze(self):
        self.frozen = True
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGSTOP)

    def thaw(self):
        self.frozen, self.held = False, False
        self.thawed = now()
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)

    def memory_mb(self):
        """The most memory that the process has held so far."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmHWM:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0


class Host:
    """One bluebellraild process with its own way to the store."""

    def __init__(self, soak, number, base):
        self.soak, self.number = soak, number
        self.key = ("host", number)
        self.link_key = ("store link", number)
        self.front = base
        self.ports = range(base, base + 6)
        self.launch = None
        self.program = soak.program
        self.zone = soak.zone_of(number)
        self.slow = False
        self.peak_mb = 0.0
        self.log = os.path.join(soak.folder, f"host-{number}.log")

    async def start(self):
        self.store = Proxy(self.soak.rng, self.soak.store_port)
        await self.store.start()
        ports = [f"127.0.0.1:{port}" for port in self.ports]
        self.ini = os.path.join(self.soak.folder, f"host-{self.number}.ini")
        with open(self.ini, "w") as file:
            file.write(f"""[host]
id = host-{self.number}
zone = {self.zone}
cores = 1
[listen]
callers = {ports[0]}
ready = {ports[1]}
directory = {ports[2]}
metrics = {ports[3]}
digests = {ports[4]}
forwards = {ports[5]}
[store]
address = 127.0.0.1:{self.store.port}
[bounds]
key_withdrawal_ms = {int(REVOKE_S * 1000)}
evacuation_ms = {int(EVACUATION_S * 1000)}
stop_grace_s = {GRACE_S}
placement_pause_ms = 3000
quota_window_s = 8
retry_window_s = 10
retry_slack = 50
retry_ratio = 0.2
""")
        self.begin()

    def begin(self):
        options, pipe = self.soak.options, (None, None)
        if options.log_faults:
            pipe = os.pipe()
        with open(self.log, "ab") as log:
            size = log.tell()
            process = subprocess.Popen(
                [self.program, "--hosted", "--config", self.ini],
                stdout=log if pipe[1] is None else pipe[1], stderr=log,
                env={**os.environ,
                     "BLUEBELL_MEMORY_MB": str(options.memory_mb)})
        if pipe[1] is not None:
            os.close(pipe[1])
        LAUNCHED.append(process)
        for kind, bound in ((resource.RLIMIT_NOFILE, options.descriptors),
                            (resource.RLIMIT_DATA, options.data_mb << 20)):
            if bound:
                resource.prlimit(process.pid, kind, (bound, bound))
        self.launch = Launch(process, size, self.log, pipe[0])
        self.soak.note(f"host-{self.number} begins, process {process.pid}")

    def running(self):
        return self.launch.process.poll() is None

    def stopping(self):
        return bool(self.launch.terms) and self.running()

    def send(self, number):
        if self.running():
            self.soak.note(f"host-{self.number} gets "
                           f"{signal.Signals(number).name}")
            self.launch.signalled = now()
            self.launch.process.send_signal(number)

    def term(self):
        """SIGTERM; the first to a process starts its grace time."""
        if not self.running():
            return
        launch = self.launch
        launch.terms.append(now())
        self.send(signal.SIGTERM)
        if len(launch.terms) == 1:
            self.soak.start_task(self.end_grace(launch))

    async def end_grace(self, launch):
        """Kills the process at the end of the grace time, as the platform
        does. A process that was frozen meanwhile may still run then."""
        end = launch.terms[0] + GRACE_S
        while launch.process.poll() is None and now() < end:
            await asyncio.sleep(0.02)
        if launch.process.poll() is not None:
            return
        if not self.soak.touches(self.key, launch.terms[0], end) and \
                not self.soak.touches("pause", launch.terms[0], end):
            self.soak.problem("GRACE", f"host-{self.number} still ran "
                                       f"{GRACE_S} s after SIGTERM")
        self.soak.note(f"host-{self.number} is killed after the grace time")
        launch.process.kill()

    def could_handle_signals(self, launch):
        """Whether the last signal could find the process's handlers. One that
        comes before its main function ends any process."""
        if launch.signalled - launch.begun > START_S:
            return True
        with open(self.log, "rb") as log:
            log.seek(launch.log_size)
            return b'"host_started"' in log.read()

    def log_tail(self):
        """The last lines of the log, those that are no events first."""
        with open(self.log, errors="replace") as log:
            lines = log.read().splitlines()[-200:]
        plain = [line for line in lines if not line.startswith("{")]
        return " | ".join(plain[-3:] + lines[-1:])

    def untouched(self, seconds):
        """Whether the process has run for `seconds` without a fault."""
        begin = now() - seconds
        return self.running() and not self.launch.terms and \
            self.launch.begun <= begin and not any(
                self.soak.touches(key, begin, now())
                for key in (self.key, "store", "pause"))

    async def is_ready(self):
        """Asks the ready port; none if it does not answer within a second."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", self.front + 1), 1)
            writer.write(message("GET /ready HTTP/1.1", {"Host": "h"}))
            head = await asyncio.wait_for(read_head(reader), 1)
            return head and head[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return None
        finally:
            if writer:
                writer.close()

    async def watch(self):
        """READY, HUNG and MEMORY."""
        judged = None
        while not self.soak.ending:
            launch, ready = self.launch, await self.is_ready()
            if ready is not None:
                launch.answered = now()
            launch.ready = launch.ready or bool(ready)
            if judged is not launch and launch is self.launch:
                if not launch.ready and self.untouched(READY_S):
                    judged = launch
                    self.soak.problem("READY", f"host-{self.number} is not "
                                      f"ready {READY_S} s after its start")
                if launch.answered < now() - CONTACT_S and \
                        self.untouched(2 * CONTACT_S):
                    judged = launch
                    self.soak.problem("HUNG", f"host-{self.number} has not "
                                      f"answered for {CONTACT_S} s")
            memory = launch.memory_mb()
            self.peak_mb = max(self.peak_mb, memory)
            if memory > self.soak.options.memory_mb:
                self.soak.problem("MEMORY", f"host-{self.number} held "
                                  f"{memory:.0f} MB")
                launch.process.kill()
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def keep_running(self):
        """Restarts the process when it ended, as the platform does."""
        while not self.soak.ending:
            if not self.running():
                launch = self.launch
                code = launch.process.returncode
                launch.ended = now()
                self.soak.note(f"host-{self.number} ended with {code}")
                if launch.log_pipe is not None:
                    launch.copy_log()
                launch.close_log()
                allowed = [-signal.SIGKILL]
                if launch.terms:
                    allowed.append(0)
                if not self.could_handle_signals(launch):
                    allowed += [-signal.SIGTERM, -signal.SIGHUP]
                if code not in allowed:
                    self.soak.problem("EXIT", f"host-{self.number} ended with "
                                              f"{code} {now() - launch.begun:.3f}"
                                              f" s after its start: "
                                              f"{self.log_tail()}")
                await asyncio.sleep(self.soak.rng.uniform(0, 0.3))
                self.begin()
            await asyncio.sleep(0.02)


# Engines, and hosts unless --zones is given, alternate between these.
ZONES = ("z1", "z2")


class Route:
    def __init__(self, kind, attempts, timeout, keyed=True, **more):
        self.kind, self.attempts = kind, attempts
        self.timeout, self.keyed, self.more = timeout, keyed, more
        self.repeatable = kind == "idempotent" or "resumable" in more
        # What callers send as their deadline.
        self.deadline = 2.0 if timeout == SHORT_TIMEOUT_S else timeout


ROUTES = {
    "once": Route("non_idempotent", 1, SHORT_TIMEOUT_S),
    "often": Route("idempotent", 2, SHORT_TIMEOUT_S),
    "open": Route("idempotent", 2, SHORT_TIMEOUT_S, False, public=True),
    "stream": Route("streaming", 1, SHORT_TIMEOUT_S),
    "resumed": Route("streaming", 2, SHORT_TIMEOUT_S, resumable=True),
    "slow": Route("non_idempotent", 1, LONG_TIMEOUT_S),
    "long": Route("streaming", 1, LONG_TIMEOUT_S),
    "openlong": Route("streaming", 1, LONG_TIMEOUT_S, False, public=True),
    "medium": Route("streaming", 1, LONG_TIMEOUT_S, False, public=True),
    "longresumed": Route("streaming", 2, LONG_TIMEOUT_S, resumable=True),
}
# Answers of many bytes, for callers that read slowly.
LARGE = Route("idempotent", 2, LONG_TIMEOUT_S)
CHAT = Route("streaming", 1, LONG_TIMEOUT_S)
SHORT_KINDS = ["once", "often", "open", "stream", "resumed"]
LONG_KINDS = ["slow", "long", "openlong", "medium", "longresumed"]
STREAMS = ["stream", "resumed", "long", "openlong", "medium", "longresumed",
           "chat"]
ONCE = ["once", "stream", "slow", "long", "openlong", "medium", "chat"]


class Request:
    def __init__(self, attempt, kind, host, seconds):
        self.attempt, self.kind, self.host = attempt, kind, host
        self.route = LARGE if kind == "large" else ROUTES.get(kind, CHAT)
        self.seconds = seconds
        self.limit = self.route.deadline
        self.launch, self.sent, self.end = None, None, None
        self.outcome, self.status = "", 0
        # Sent on a connection that had carried another request.
        self.kept = False
        # The caller has got the head of an answer.
        self.answered = False
        # Sent before the answer to an earlier one on the connection.
        self.early = False


class Soak:
    ODD_PLACES = ("servers", "entry-hosts", "evacuations", "stream-versions",
                  "quarantined-parts")

    def __init__(self, seed, options, folder):
        self.rng, self.schedule = random.Random(seed), random.Random(seed)
        self.seconds, self.folder = options.seconds, folder
        self.seed, self.host_count = seed, options.hosts
        # Kinds of the store in which another writer leaves entries.
        self.odd_places = () if options.sound_entries else self.ODD_PLACES
        self.program, self.replacement = options.program, options.replace
        if self.replacement and seed % 2 == 1:
            self.program, self.replacement = self.replacement, self.program
        self.crash_parts = options.crash_parts
        self.options = options
        self.idle_s = None
        self.lost_kept = []
        self.store = Store(self.rng)
        self.runs, self.problems = {}, []
        self.served, self.asked, self.last_served = 0, 0, 0
        self.keys = {"k0": None, "k1": None}
        self.version = 1
        self.ending = False
        self.only_short = False
        self.begun = now()
        self.journal = open(os.path.join(folder, "soak.log"), "w")
        # Faults: (what they harm, begin, end); open ones end at infinity.
        self.spans = []
        self.requests, self.arrivals = [], {}
        # Requests by attempt.
        self.senders = {}
        self.around, self.judged, self.judged_around = 0, 0, 0
        self.excused = {}
        self.tasks = set()
        # Harmed by no fault while a storm lasts.
        self.spared = set()
        self.crashes, self.crash_arrivals = [], []
        self.crash_summary = ""
        # Zones with the times of acknowledgement and removal.
        self.evacuations = []
        self.cold_periods = []
        self.evacuation_summary, self.cold_summary = "", ""

    def zone_of(self, number):
        if not self.options.zones:
            return ZONES[number % len(ZONES)]
        for zone, count in enumerate(self.options.zones):
            if number < count:
                return f"z{zone + 1}"
            number -= count
        return "z1"

    def note(self, text):
        """One line of what the soak did, with the hosts' time of day."""
        time_of_day = time.strftime("%H:%M:%S", time.gmtime())
        millisecond = int(time.time() * 1000) % 1000
        self.journal.write(f"{time_of_day}.{millisecond:03} "
                           f"{now() - self.begun:8.3f} {text}\n")
        self.journal.flush()

    def problem(self, rule, detail):
        self.problems.append(f"{rule}: {detail}")
        self.note(f"{rule}: {detail}")

    def start_task(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        return task

    def ran(self, attempt, fields, first):
        self.runs.setdefault(attempt, 0)
        self.runs[attempt] += 1
        once = any(f"/{kind}/" in first for kind in ONCE)
        if once and self.runs[attempt] > 1:
            self.problem("TWICE", f"{attempt} {first}")
        if "authorization" in fields:
            self.problem("KEYS", f"{attempt}: the key reached an engine")

    def arrived(self, attempt, engine):
        arrival = {"engine": engine, "begin": now(), "end": None}
        if isinstance(engine, Engine):
            request = self.senders.get(attempt)
            arrival["held"] = engine.proxy.held
            arrival["thawed"] = request.launch.thawed if request else 0.0
        self.arrivals.setdefault(attempt, []).append(arrival)
        return arrival

    def touches(self, key, begin, end):
        return any(harmed == key and first <= end and last >= begin
                   for harmed, first, last in self.spans)

    def write_config(self):
        def route(name, row):
            return {"name": name, "host": "h", "path_prefix": f"/{name}/",
                    "kind": row.kind, "timeout_ms": int(row.timeout * 1000),
                    "target_latency_ms": 200, "priority": 1,
                    "service": "shop", "max_attempts": row.attempts,
                    **row.more}
        live = [key for key, gone in self.keys.items() if gone is None]
        routes = [route(name, row) for name, row in ROUTES.items()]
        routes += [route(f"unused{number}", ROUTES["once"])
                   for number in range(self.rng.randint(0, 20))]
        services = [{"name": "shop", "max_conns": 2000,
                     "cold_per_s": COLD_PER_S}]
        if self.crash_parts:
            routes.append({**route("chat", CHAT), "service": "llm"})
            services.append({"name": "llm", "engine": {
                "weights_mb": 200, "models": [
                    {"name": "tiles", "weights_mb": 60, "load_time_s": 1}]}})
        more = {}
        if self.options.mixed_callers:
            routes.append(route("large", LARGE))
            self.idle_s = self.rng.choice(IDLE_TIMEOUTS_S)
            more["limits"] = {
                "max_header_bytes": self.rng.choice([8192, 16384]),
                "max_body_bytes": self.rng.choice([65536, 4194304]),
                "header_timeout_ms": self.rng.choice([2000, 5000]),
                "idle_timeout_ms": int(self.idle_s * 1000)}
        self.store.put("config", "main", {
            "version": self.version, "routes": routes, "services": services,
            **more,
            "tenants": [{"name": "acme", "api_keys": live,
                         "unit": "token_stream", "plain_tokens": 1,
                         "rate_per_s": 1000000, "burst": 1000000}]})
        self.version += self.rng.randint(1, 5)

    def withdraw_key(self):
        live = [key for key, gone in self.keys.items() if gone is None]
        if len(live) > 1:
            self.keys[live[0]] = now()
            self.keys[f"k{len(self.keys)}"] = None
            self.write_config()

    def choose_key(self, kind):
        """Mostly a key in force; CRASH asks with such keys alone."""
        live = [key for key, gone in self.keys.items() if gone is None]
        in_force = kind == "chat" or self.rng.random() < 0.7
        return self.rng.choice(live if in_force else list(self.keys))

    def choose_seconds(self, kind, widely=False):
        """How long the engine works on a request of this kind."""
        rng = self.rng
        if kind in ("once", "often", "open"):
            return rng.uniform(0.01, 0.1)
        if kind == "medium":
            return rng.uniform(0.2, 3)
        if kind in ("stream", "resumed"):
            return 0.1 * 18 ** rng.random()
        if widely:
            return rng.uniform(0.5, 11)
        return 0.1 * 110 ** rng.random()

    async def ask(self, kind, host, connections, seconds, more=None):
        """One request over a kept or new connection; returns what became of
        it."""
        attempt = f"{kind}-{self.asked}"
        self.asked += 1
        request = Request(attempt, kind, host, seconds)
        key = self.choose_key(kind) if request.route.keyed else None
        try:
            kept = connections.get(host)
            if kept and (kept[0].at_eof() or kept[1].is_closing()):
                connections.pop(host)[1].close()
                kept = None
            if kept is None:
                opened = await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", host.front), 1)
                kept = connections[host] = (*opened, host.launch)
            else:
                request.kept = True
            reader, writer, request.launch = kept
            fields = {"Host": "h", "X-Attempt-Id": attempt,
                      "X-Deadline-Ms": int(request.limit * 1000),
                      **(more or {})}
            if key:
                fields["Authorization"] = f"Bearer {key}"
            begun = now()
            self.senders[attempt] = request
            request.sent = begun
            content = message(f"POST /{kind}/7 HTTP/1.1", fields,
                              f"{attempt} {seconds:.3f}".encode())
            if self.rng.random() < 0.15:
                part = self.rng.randrange(1, len(content))
                writer.write(content[:part])
                await asyncio.sleep(self.rng.uniform(0.002, 0.06))
                content = content[part:]
            writer.write(content)
            await asyncio.wait_for(writer.drain(), 1)
            request.sent = now()
            self.requests.append(request)
            request.outcome = "cut"
            closes = await asyncio.wait_for(
                self.exchange(request, reader, key, begun),
                request.limit + 1.5)
            if closes:
                connections.pop(host)[1].close()
        except asyncio.TimeoutError:
            request.outcome = request.outcome and "late"
            self.drop(connections, host)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self.drop(connections, host)
        if request.end is None:
            request.end = now()
        if request.status in (429, 503, 408, 421) and kind in ONCE:
            await asyncio.sleep(0.2)
            if self.runs.get(attempt):
                self.problem("REFUSED",
                             f"{attempt} got {request.status} and ran")
        return request

    @staticmethod
    def drop(connections, host):
        pair = connections.pop(host, None)
        if pair:
            pair[1].close()

    async def exchange(self, request, reader, key, begun):
        """Reads an answer; returns whether its connection closes after it."""
        head = await read_head(reader)
        if head is None:
            raise ConnectionResetError()
        request.answered = True
        status = self.read_status(request, head)
        await self.check(status, head[1], reader, request, key, begun)
        request.end, request.outcome = now(), "answer"
        request.status = status
        return head[1].get("connection", "") == "close"

    def read_status(self, request, head):
        if not is_final_head(*head):
            self.problem("MIXED", f"{request.attempt}: head {head}")
        return int(head[0].split(" ")[1])

    async def check(self, status, fields, reader, request, key, sent):
        kind, attempt = request.kind, request.attempt
        if status != 200:
            await read_body(reader, fields)
            return
        gone = self.keys[key] if key else None
        if gone is not None and sent > gone + REVOKE_S:
            self.problem("KEYS", f"{attempt} ran {sent - gone:.1f} s after "
                                 f"{key} was withdrawn")
        if fields.get("x-server-seal") != attempt:
            self.problem("MIXED", f"{attempt}: seal "
                                  f"{fields.get('x-server-seal')}")
        if kind not in STREAMS:
            body = await read_body(reader, fields)
            if body != f"ran {attempt} {request.seconds:.3f}".encode():
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

    def choose_host(self, zone=None):
        """Half of the requests go to hosts that are stopping, and most others
        to a host of the caller's zone."""
        stopping = [host for host in self.hosts if host.stopping()]
        if stopping and self.rng.random() < 0.5:
            return self.rng.choice(stopping)
        near = [host for host in self.hosts if host.zone == zone]
        if near and self.rng.random() < 0.8:
            return self.rng.choice(near)
        return self.rng.choice(self.hosts)

    async def client(self, kinds):
        """Uses its connections as long as they are open."""
        connections, zone = {}, None
        while not self.ending:
            kind = self.rng.choice(
                SHORT_KINDS if self.only_short else kinds)
            if self.options.zones and \
                    (zone is None or self.rng.random() < 0.02):
                zone = self.rng.choice(self.hosts).zone
            await self.ask(kind, self.choose_host(zone), connections,
                           self.choose_seconds(kind), self.token_count(kind))
            await asyncio.sleep(self.rng.uniform(0.02, 0.12))

    def token_count(self, kind):
        if kind != "openlong" or self.rng.random() < 0.5:
            return None
        return {"X-Token-Count": f"20,{self.rng.randint(50, 400)}"}

    async def stop_client(self):
        """Keeps a connection open until its host stops, and uses it, or else a
        new one, at some moment until the process has ended."""
        rng = self.rng
        while not self.ending:
            host, connections = rng.choice(self.hosts), {}
            await self.ask("open", host, connections,
                           self.choose_seconds("open"))
            patience = now() + 10
            while not host.stopping() and now() < patience and \
                    not self.only_short:
                await asyncio.sleep(0.02)
            if host.stopping():
                after = rng.uniform(2.7, 3.3) if rng.random() < 0.5 else \
                    rng.uniform(0, GRACE_S)
                launch = host.launch
                until = launch.terms[0] + after
                while now() < until and launch.process.poll() is None:
                    await asyncio.sleep(0.01)
            if not self.only_short:
                kind = rng.choice(LONG_KINDS)
                await self.ask(kind, host, connections,
                               self.choose_seconds(kind, True),
                               self.token_count(kind))
            self.drop(connections, host)
            await asyncio.sleep(rng.uniform(0.05, 0.2))

    def new_request(self, kind, host, launch, seconds, early=False):
        request = Request(f"{kind}-{self.asked}", kind, host, seconds)
        self.asked += 1
        request.launch, request.early = launch, early
        self.senders[request.attempt] = request
        return request

    def content_of(self, request, key, more=None):
        fields = {"Host": "h", "X-Attempt-Id": request.attempt,
                  "X-Deadline-Ms": int(request.limit * 1000), **(more or {})}
        if key:
            fields["Authorization"] = f"Bearer {key}"
        return message(f"POST /{request.kind}/7 HTTP/1.1", fields,
                       f"{request.attempt} {request.seconds:.3f}".encode())

    async def early_client(self):
        """Sends requests before the answers to earlier ones."""
        rng = self.rng
        while not self.ending:
            host, caller, sent = self.choose_host(), None, []
            try:
                caller = await CallerSocket.connect(host.front)
                launch = host.launch
                for number in range(rng.randint(2, 4)):
                    kind = rng.choice(["open", "often", "once", "medium"])
                    request = self.new_request(
                        kind, host, launch, min(1.0, self.choose_seconds(kind)),
                        number > 0)
                    request.kept = number > 0
                    key = self.choose_key(kind) if request.route.keyed else None
                    await caller.write(self.content_of(request, key))
                    request.sent, request.outcome = now(), "cut"
                    self.requests.append(request)
                    sent.append((request, key))
                    await asyncio.sleep(rng.uniform(0, 0.05))
            except (OSError, asyncio.TimeoutError):
                pass
            try:
                for request, key in sent:
                    if await asyncio.wait_for(
                            self.exchange(request, caller, key, request.sent),
                            request.limit + 1.5):
                        break
            except (OSError, asyncio.TimeoutError, ValueError,
                    asyncio.IncompleteReadError):
                pass
            for request, _ in sent:
                request.end = request.end or now()
            if caller:
                caller.close()
            await asyncio.sleep(rng.uniform(0.05, 0.3))

    async def slow_reader(self):
        """Reads large answers slowly; half of the time it sends the next
        request early."""
        rng = self.rng
        while not self.ending:
            host, caller, request = self.choose_host(), None, None
            try:
                caller = await CallerSocket.connect(host.front, small=True)
                request = self.new_request("large", host, host.launch, 0.05)
                await caller.write(self.content_of(
                    request, self.choose_key("chat"), {"Connection": "close"}
                    if rng.random() < 0.3 else {}))
                request.sent, request.outcome = now(), "cut"
                self.requests.append(request)
                await asyncio.sleep(rng.uniform(0.05, 1.5))
                if rng.random() < 0.5:
                    second = self.new_request("open", host, host.launch, 0.01)
                    try:
                        await caller.write(self.content_of(second, None))
                    except OSError:
                        pass
                caller.pause = rng.uniform(0, 0.05)
                await asyncio.wait_for(
                    self.read_large(request, caller),
                    request.sent + request.limit - now())
            except (OSError, asyncio.TimeoutError, ValueError,
                    asyncio.IncompleteReadError):
                pass
            if request:
                request.end = request.end or now()
            if caller:
                caller.close()
            await asyncio.sleep(rng.uniform(0.05, 0.3))

    async def read_large(self, request, caller):
        head = await read_head(caller)
        if head is None:
            raise ConnectionResetError()
        request.answered = True
        request.status = self.read_status(request, head)
        body = await read_body(caller, head[1])
        request.end, request.outcome = now(), "answer"
        if request.status != 200:
            return
        self.served += 1
        if not body.startswith(f"ran {request.attempt} ".encode()):
            self.problem("MIXED", f"{request.attempt}: body {body[:60]!r}")

    async def idle_client(self):
        """Uses connections again about when their idle time-out ends, or after
        four fifths of it."""
        rng = self.rng
        while not self.ending:
            host, connections = self.choose_host(), {}
            idle = self.idle_s
            await self.ask("open", host, connections, 0.01)
            await asyncio.sleep(
                idle * rng.uniform(0, 0.8) if rng.random() < 0.5 else
                idle + rng.uniform(-0.01, 0.01))
            await self.ask(rng.choice(["open", "once"]), host, connections, 0.01)
            self.drop(connections, host)
            await asyncio.sleep(rng.uniform(0.05, 0.3))

    async def hold_connection(self, host):
        """Keeps a connection without a request open."""
        while not self.ending:
            writer = None
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", host.front), 1)
                while not self.ending and not reader.at_eof() and \
                        not writer.is_closing():
                    await asyncio.sleep(0.25)
            except (OSError, asyncio.TimeoutError):
                pass
            if writer:
                writer.close()
            await asyncio.sleep(self.rng.uniform(0.05, 0.5))

    async def hold_quotas(self):
        """Bounds the processor time of each host."""
        while not self.ending:
            for host in self.hosts:
                host.launch.hold(
                    SLOW_SHARE if host.slow else self.options.share)
            await asyncio.sleep(0.005)
        for host in self.hosts:
            host.launch.thaw()

    async def harm(self, key, seconds, begin, end):
        """A fault that is harmful for a while."""
        index = len(self.spans)
        self.spans.append((key, now(), float("inf")))
        self.note(f"fault at {key} for {seconds:.1f} s")
        begin()
        await asyncio.sleep(seconds)
        end()
        self.spans[index] = (key, self.spans[index][1], now())

    async def fault(self, rng):
        """One random fault, ended after a random time; faults overlap."""
        span = rng.uniform(0.2, 4)
        kinds = ["kill", "term", "term_kill", "freeze", "term_freeze", "store",
                 "store_link", "engine", "engine_link", "reset", "config",
                 "revoke", "hup", "engine_gone", "planned", "restored",
                 "states", "odd_entry"]
        if self.options.share:
            kinds += ["slow", "slow"]
        kind = rng.choice(kinds)
        host = rng.choice([h for h in self.hosts if h not in self.spared])
        engine = rng.choice([e for e in self.engines if e not in self.spared])
        if kind in ("term", "term_kill", "term_freeze"):
            host.term()
        if kind == "term_kill":
            await asyncio.sleep(rng.uniform(0, GRACE_S))
        if kind == "term_freeze":
            await asyncio.sleep(rng.uniform(0, 4))
        if kind in ("kill", "term_kill"):
            await self.harm(host.key, 0.1,
                            lambda: host.send(signal.SIGKILL), lambda: None)
        elif kind == "hup":
            host.send(signal.SIGHUP)
        elif kind in ("freeze", "term_freeze"):
            launch = host.launch
            await self.harm(host.key, span, launch.freeze, launch.thaw)
        elif kind == "slow":
            def begin():
                host.slow = True

            def end():
                host.slow = False
            await self.harm(host.key, span, begin, end)
        elif kind == "store":
            def begin():
                self.store.mode = rng.choice(["silent", "busy", "slow", "lost"])

            def end():
                self.store.mode = "up"
            await self.harm("store", span, begin, end)
        elif kind == "restored":
            def begin():
                self.store.mode = rng.choice(["silent", "busy"])

            def end():
                self.store.restore(rng.uniform(0.5, 10))
                self.store.mode = "up"
            await self.harm("store", span, begin, end)
        elif kind in ("store_link", "engine_link"):
            proxy, key = (host.store, host.key) if kind == "store_link" else \
                (engine.proxy, engine.key)

            def begin():
                proxy.mode = rng.choice(["silent", "delay", "to", "from"])

            def end():
                proxy.mode = "up"
            if proxy is host.store:
                self.spans.append((host.link_key, now(), now() + span))
            await self.harm(key, span, begin, end)
        elif kind == "reset":
            proxy, key = rng.choice([(host.store, host.key),
                                     (engine.proxy, engine.key)])
            await self.harm(key, 0.1, proxy.reset_all, lambda: None)
        elif kind == "engine":
            def begin():
                engine.fault = rng.choice(
                    ["shed", "reset", "errors", "cut", "extra", "broken"])

            def end():
                engine.fault = ""
            await self.harm(engine.key, span, begin, end)
        elif kind == "engine_gone":
            spec = self.store.remove("servers", engine.id)

            def end():
                if spec:
                    engine.enlist()
            await self.harm(engine.key, span, lambda: None, end)
        elif kind == "odd_entry" and self.odd_places:
            place = rng.choice(self.odd_places)
            name = self.store.put_odd(place, rng)
            self.note(f"odd entry {name!r} in {place} for {span:.1f} s")
            await asyncio.sleep(span)
            self.store.remove(place, name)
        elif kind == "config":
            self.write_config()
        elif kind == "revoke":
            self.withdraw_key()
        elif kind == "planned":
            await self.plan(rng)
        elif kind == "states":
            await self.state(rng)

    async def state(self, rng):
        """Engines name limits, ask for pauses or leave, one after the other;
        they overlap with others."""
        for engine in rng.sample(self.engines, rng.randint(1, 3)):
            kind = rng.choice(["limit", "limit", "pause", "leaving"])
            seconds, says = rng.uniform(2, 10), engine.says
            self.note(f"{engine.id}: {kind} for {seconds:.1f} s")
            if kind == "limit":
                says.begin_limit(rng.uniform(0.5, 12))
            elif kind == "pause":
                says.pause_s = rng.uniform(0.6, 4)
                says.pause_ends = now() + min(seconds, 3)
            elif not any(e.says.leaving for e in self.engines):
                says.leaving = True
            await asyncio.sleep(seconds)
            if kind == "limit":
                says.limit = None
            elif kind == "leaving" and says.leaving:
                engine.begin_again()

    async def evacuate(self, rng, end):
        """Evacuates zones, one after the other; the last one returns before
        `end` where this leaves time for it."""
        while True:
            await asyncio.sleep(rng.uniform(0.3, 3))
            zone, seconds = rng.choice(ZONES), rng.uniform(*EVACUATION_LENGTH_S)
            self.note(f"{zone} is evacuated for {seconds:.1f} s")
            evacuation = [zone, now(), float("inf")]
            self.store.put("evacuations", zone, {})
            self.evacuations.append(evacuation)
            before = rng.uniform(0, seconds)
            await asyncio.sleep(before)
            self.start_task(self.turn_one_cold(
                rng, [e for e in self.engines if e.zone != zone]))
            await asyncio.sleep(seconds - before)
            self.store.remove("evacuations", zone)
            evacuation[2] = now()
            self.note(f"{zone} is no longer evacuated")
            await self.turn_one_cold(
                rng, [e for e in self.engines if e.zone == zone])
            if now() + EVACUATION_LENGTH_S[1] > end:
                return

    async def turn_one_cold(self, rng, engines):
        """One of `engines` that neither leaves nor is cold turns cold."""
        free = [e for e in engines if not e.says.leaving and not e.says.cold]
        if free:
            await rng.choice(free).turn_cold(rng.uniform(*COLD_LENGTH_S))

    async def cold_client(self, period):
        """Sends short requests while an engine is cold."""
        connections = {}
        while now() < period.end:
            await self.ask("open", self.choose_host(), connections, 0.01)
            await asyncio.sleep(self.rng.uniform(0.01, 0.06))
        for pair in connections.values():
            pair[1].close()

    async def plan(self, rng):
        """One series of planned work; series overlap."""
        kinds = ["roll", "roll", "again", "configs", "hups", "early",
                 "early_hups", "restarts", "revoke", "states", "states",
                 "states"]
        if self.options.log_faults:
            kinds += ["log", "log"]
        if self.options.mixed_callers:
            kinds += ["silence", "silence"]
        kind = rng.choice(kinds)
        host = rng.choice(self.hosts)
        self.note(f"planned work: {kind}, host-{host.number}")
        if kind == "roll":
            # Faster than the hosts stop, so that several stop at once.
            count = rng.randint(2, max(2, len(self.hosts) // 2))
            gap = rng.uniform(0.1, 3)
            for other in rng.sample(self.hosts, count):
                other.term()
                await asyncio.sleep(gap * rng.uniform(0.5, 1.5))
        elif kind == "again":
            host.term()
            for _ in range(rng.randint(1, 3)):
                await asyncio.sleep(rng.uniform(0, 4))
                if host.stopping():
                    host.term()
        elif kind == "configs":
            count = rng.randint(10, 30)
            stop = rng.randrange(count)
            for number in range(count):
                self.write_config()
                if number == stop:
                    host.term()
                await asyncio.sleep(rng.uniform(0.01, 0.2))
        elif kind == "hups":
            count = rng.randint(5, 40)
            stop = rng.randrange(2 * count)
            for number in range(count):
                for other in self.hosts if rng.random() < 0.3 else [host]:
                    other.send(signal.SIGHUP)
                if number == stop:
                    host.term()
                await asyncio.sleep(rng.uniform(0.005, 0.1))
        elif kind == "early_hups":
            host.term()
            launch = host.launch
            while host.launch is launch and not self.ending:
                await asyncio.sleep(0.001)
            for _ in range(20):
                host.send(signal.SIGHUP)
                await asyncio.sleep(rng.uniform(0, 0.01))
        elif kind in ("early", "restarts"):
            host.term()
            for _ in range(1 if kind == "early" else 2):
                launch = host.launch
                while host.launch is launch and not self.ending:
                    await asyncio.sleep(0.005)
                await asyncio.sleep(rng.uniform(0, 0.05) if kind == "early"
                                    else rng.uniform(0, 1))
                host.term()
        elif kind == "revoke":
            self.withdraw_key()
        elif kind == "states":
            await self.state(rng)
        elif kind == "silence":
            proxy = rng.choice(self.engines).proxy
            if proxy.mode == "up":
                proxy.mode = "silent"
                await asyncio.sleep(rng.uniform(0.3, 1.2))
                if proxy.mode == "silent":
                    proxy.mode = "up"
        elif kind == "log":
            launch = host.launch
            if launch.log_pipe is None:
                return
            if rng.random() < 0.3:
                self.note(f"the reader of host-{host.number}'s log goes away")
                launch.close_log()
                return
            launch.stall_log()
            await asyncio.sleep(rng.uniform(0.5, 6))
            if launch.log_pipe is not None:
                launch.read_log()

    async def replace_builds(self):
        """Stops the hosts one after the other and starts each by the program
        to replace the first one, as an upgrade does."""
        order = random.Random(self.seed)
        for host in order.sample(self.hosts, len(self.hosts)):
            await asyncio.sleep(self.seconds / (len(self.hosts) + 1))
            self.note(f"host-{host.number} is replaced by {self.replacement}")
            host.program = self.replacement
            host.term()

    async def watch_pauses(self):
        """Finds the times at which this process itself was late."""
        while not self.ending:
            begun = now()
            await asyncio.sleep(0.02)
            if now() - begun - 0.02 > MAX_PAUSE_S:
                self.spans.append(("pause", begun - 0.02, now()))
                self.note(f"the soak paused for {now() - begun:.2f} s")

    def loses_kept(self, request):
        """Whether a host in touch has closed a kept connection without an
        answer to a request that a sound engine got."""
        arrivals = self.arrivals.get(request.attempt, [])
        if not request.kept or request.answered or not arrivals or \
                request.outcome != "cut":
            return False
        if request.end >= request.sent + request.limit - DEADLINE_MARGIN_S:
            return False
        if request.launch.terms and \
                request.end >= request.launch.terms[0]:
            return False
        keys = {request.host.key, "pause", "store"}
        keys.update(arrival["engine"].key for arrival in arrivals)
        begin = request.sent - CONTACT_S
        return request.launch.begun <= begin and not any(
            self.touches(key, begin, request.end) for key in keys)

    def harmed(self, request):
        """Whether a fault may have had a part in what became of a request."""
        begin, end = request.sent - CONTACT_S, request.end
        keys = {request.host.key}
        arrivals = self.arrivals.get(request.attempt, [])
        if arrivals and not request.route.repeatable:
            keys.update(arrival["engine"].key for arrival in arrivals)
        else:
            keys.update(engine.key for engine in self.all_engines)
        if request.route.keyed:
            keys.add("store")
        return self.touches("pause", request.sent - 0.5, end) or any(
            harmed in keys and first <= end and last >= begin
            for harmed, first, last in self.spans)

    def excuse(self, request):
        """Why a request may have got no whole answer, or an empty text."""
        arrivals = self.arrivals.get(request.attempt, [])
        if request.end >= request.sent + request.limit - DEADLINE_MARGIN_S:
            return "deadline"
        # A slow reader notices the end of its connection late.
        closed = min(request.end, request.launch.ended)
        if not arrivals and closed - request.sent <= CROSSING_S:
            return "crossed"
        if not arrivals and request.early:
            return "unread"
        if request.launch.terms:
            term = request.launch.terms[0]
            late = any(arrival["end"] is None or
                       arrival["end"] >= term + GRACE_S * 5 / 6
                       for arrival in arrivals)
            if late and request.sent <= term + LATE_SEND_S:
                return "at work late in the grace time"
        return ""

    def judge(self):
        """LOST, of all requests that have ended."""
        for request in self.requests:
            terms = request.launch.terms
            around = bool(terms) and request.end >= terms[0]
            if self.loses_kept(request):
                self.lost_kept.append(request.attempt)
            self.around += around
            if self.harmed(request):
                continue
            self.judged += 1
            self.judged_around += around
            if request.outcome == "answer":
                continue
            reason = self.excuse(request)
            if reason:
                self.excused[reason] = self.excused.get(reason, 0) + 1
                continue
            text = (f"{request.attempt} at host-{request.host.number}: "
                    f"{request.outcome} after "
                    f"{request.end - request.sent:.3f} s, sent at "
                    f"{request.sent - self.begun:.3f}")
            if terms:
                text += f", {request.sent - terms[0]:.3f} s after SIGTERM"
            for arrival in self.arrivals.get(request.attempt, []):
                ended = arrival["end"]
                text += (f"; {arrival['engine'].id} from "
                         f"{arrival['begin'] - self.begun:.3f} to "
                         f"{ended and round(ended - self.begun, 3)}")
            self.problem("LOST", text)
        if len(self.lost_kept) > MAX_LOST_KEPT:
            self.problem("LOST", f"{len(self.lost_kept)} requests on kept "
                         f"connections, {', '.join(self.lost_kept[:5])}")

    def arrivals_at(self, engines, begin, end):
        """Attempts that reached one of `engines` in this time, with their
        arrivals. Requests that were answered with 421, and those that a
        relay or this process held back, are left out."""
        for attempt, arrivals in self.arrivals.items():
            for arrival in arrivals:
                at = arrival["begin"]
                if arrival["engine"] in engines and begin < at < end and \
                        not arrival.get("misdirected") and \
                        arrival["held"] < at - RELEASE_S and \
                        not self.touches("pause", at - RELEASE_S, at):
                    yield attempt, arrival

    def judge_evacuations(self):
        """EVAC, of all arrivals and answers."""
        asked = served = 0
        for zone, begin, end in self.evacuations:
            inside = [e for e in self.engines if e.zone == zone]
            for attempt, arrival in self.arrivals_at(
                    inside, begin + EVACUATION_S, end):
                at, request = arrival["begin"], self.senders.get(attempt)
                keys = ["store"] + ([request.host.link_key] if request else [])
                failed = any(self.touches(key, begin, at) for key in keys)
                if at < begin + EVACUATION_S + failed * EVACUATION_FAULT_S:
                    continue
                sender = f"host-{request.host.number}" if request else "a host"
                self.problem("EVAC", f"{attempt} from {sender} reached "
                             f"{arrival['engine'].id} in {zone} at "
                             f"{at - self.begun:.3f}, {at - begin:.3f} s after "
                             "the acknowledgement")
            inside = [r for r in self.requests
                      if begin + EVACUATION_S < r.sent and r.end < end]
            answered = sum(r.status == 200 for r in inside)
            asked, served = asked + len(inside), served + answered
            if len(inside) >= MIN_EVACUATION_REQUESTS and not answered:
                self.problem("EVAC", f"none of {len(inside)} requests was "
                             f"served while {zone} was evacuated")
        self.evacuation_summary = (
            f"{len(self.evacuations)} evacuations, {served} of {asked} "
            "requests served in them")

    def judge_cold(self):
        """COLD, of all arrivals."""
        bound, highest = COLD_FACTOR * COLD_PER_S + COLD_SLACK, 0
        judged = 0
        for period in self.cold_periods:
            known = period.begin
            if self.touches("store", known, known + COLD_NOTICE_S):
                known = period.told or period.end
            times = sorted(
                arrival["begin"] for _, arrival in self.arrivals_at(
                    [period.engine], period.begin, period.end)
                if arrival["begin"] >
                max(known, arrival["thawed"]) + COLD_NOTICE_S)
            judged += len(times)
            counts = [(sum(t <= other < t + COLD_WINDOW_S for other in times),
                       t) for t in times]
            count, at = max(counts, default=(0, 0))
            highest = max(highest, count)
            if count > bound:
                self.problem("COLD", f"{period.engine.id} got {count} requests "
                             f"in the second from {at - self.begun:.3f}, "
                             f"{at - period.begin:.3f} s after it turned cold")
        self.cold_summary = (
            f"{len(self.cold_periods)} cold periods, {judged} requests in "
            f"them, at most {highest} in a second, {bound:.0f} allowed")

    async def ask_model(self, crashing):
        """One request to the model service; no two are alike."""
        rng = self.rng
        parts = [f"{ModelEngine.SHARED_PART}:800"]
        if rng.random() < 0.7:
            parts.append(f"{rng.choice(['91bd3f06', '91bd3f07'])}:410")
        if crashing:
            parts.append(f"{ModelEngine.CRASHING_PART}:120")
        parts.append(f"{rng.getrandbits(32):08x}:{rng.randint(50, 400)}")
        return await self.ask(
            "chat", rng.choice(self.hosts), {}, rng.uniform(0.1, 0.5), {
                "X-Model": "tiles",
                "X-Token-Count": f"1460,{rng.randint(40, 120)}",
                "X-Prompt-Prefix": ",".join(parts)})

    async def check_crashes(self):
        """CRASH, in a phase without other faults."""
        self.model_engines = [ModelEngine(self, n) for n in range(8)]
        self.all_engines += self.model_engines
        for engine in self.model_engines:
            await engine.start()
        await asyncio.sleep(2)
        sound, done = [], False

        async def sound_client():
            while not done:
                sound.append(await self.ask_model(False))
                await asyncio.sleep(self.rng.uniform(0.05, 0.25))
        clients = [asyncio.create_task(sound_client()) for _ in range(8)]
        await asyncio.sleep(5)
        begun, crashing = now(), []
        until = begun + 12
        while now() < until and (len(self.crashes) < 5 or
                                 now() < self.crashes[4] + 16):
            if len(self.crashes) >= 5:
                until = self.crashes[4] + 16
            crashing.append(asyncio.create_task(self.ask_model(True)))
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) *
                                CRASH_REQUEST_INTERVAL_S)
        done = True
        await asyncio.gather(*clients, *crashing)

        def share(some):
            return sum(r.status == 200 for r in some) / max(1, len(some))
        before = share([r for r in sound if r.end < begun])
        self.crash_summary = (
            f"{len(crashing)} requests crashed {len(self.crashes)} engines, "
            f"sound ones served: {before:.2f} before")
        if before < 0.9:
            self.problem("CRASH", f"only {before:.2f} of the sound requests "
                                  "were served before the first crash")
        if len(self.crashes) < 5:
            return
        fifth = self.crashes[4]
        late = [t for t in self.crash_arrivals if t > fifth + CONTACT_S]
        after = share([r for r in sound if r.sent and r.sent > fifth + 6])
        self.crash_summary += f", {after:.2f} after; {len(late)} late arrivals"
        if len(late) > MAX_LATE_CRASHES:
            self.problem("CRASH", f"{len(late)} requests that crash engines "
                                  "reached some later than "
                                  f"{CONTACT_S} s after the fifth crash")
        if after < before / 2:
            self.problem("CRASH", f"{after:.2f} of the sound requests were "
                                  f"served after five crashes, {before:.2f} "
                                  "before")

    async def run_phases(self):
        """Calm phases with planned work alone, and storms. Their schedule
        depends on the seed alone, not on what callers and engines do."""
        rng, end, work, calm = self.schedule, now() + self.seconds, [], True
        # From numbers of its own, to leave the rest of the schedule as it is.
        work.append(asyncio.create_task(self.evacuate(
            random.Random(f"evacuations {self.seed}"), end)))
        while now() < end:
            phase_end = min(end, now() + (rng.uniform(9, 14) if calm else
                                          rng.uniform(5, 8)))
            self.spared = set() if calm else set(
                rng.sample(self.hosts, len(self.hosts) // 2) +
                rng.sample(self.engines, len(self.engines) // 2))
            self.note("calm phase" if calm else "storm")
            while now() < phase_end:
                one = random.Random(rng.getrandbits(64))
                work.append(asyncio.create_task(
                    self.plan(one) if calm else self.fault(one)))
                await asyncio.sleep(rng.uniform(0.5, 3) if calm else
                                    rng.uniform(0.1, 1.2))
            calm = not calm
        self.only_short = True
        await asyncio.gather(*work)
        await asyncio.gather(*self.tasks)

    async def run(self, base):
        server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self.store_port = server.sockets[0].getsockname()[1]
        self.engines = [Engine(self, number) for number in range(4)]
        self.all_engines = list(self.engines)
        for engine in self.engines:
            await engine.start()
        # From numbers of their own, to leave the schedule as it is.
        odd = random.Random(f"odd entries {self.seed}")
        for place in self.odd_places:
            for _ in range(4):
                self.store.put_odd(place, odd)
        self.write_config()
        self.hosts = [Host(self, number, base + 6 * number)
                      for number in range(self.host_count)]
        for host in self.hosts:
            await host.start()
        tasks = [asyncio.create_task(host.keep_running())
                 for host in self.hosts]
        tasks.append(asyncio.create_task(self.watch_pauses()))
        tasks += [asyncio.create_task(host.watch()) for host in self.hosts]
        if self.options.share:
            tasks.append(asyncio.create_task(self.hold_quotas()))
        if self.options.mixed_callers:
            for client in (self.early_client, self.slow_reader,
                           self.idle_client):
                tasks += [asyncio.create_task(client()) for _ in range(4)]
        tasks += [asyncio.create_task(self.hold_connection(host))
                  for host in self.hosts
                  for _ in range(self.options.idle_connections)]
        tasks += [asyncio.create_task(self.client(SHORT_KINDS))
                  for _ in range(12)]
        tasks += [asyncio.create_task(self.client(LONG_KINDS))
                  for _ in range(8)]
        tasks += [asyncio.create_task(self.stop_client())
                  for _ in range(4 * self.host_count)]
        await asyncio.sleep(2)
        if self.replacement:
            self.start_task(self.replace_builds())
        await self.run_phases()
        calm, before = now(), self.served
        while self.served < before + 20 and now() < calm + 10:
            await asyncio.sleep(0.1)
        if self.served < before + 20:
            self.problem("SERVED", f"{self.served - before} answers in 10 s "
                                   "after the last fault")
        if self.crash_parts:
            await self.check_crashes()
            await asyncio.gather(*self.tasks)
        self.ending = True
        await asyncio.gather(*tasks)
        for host in self.hosts:
            host.send(signal.SIGCONT)
            host.send(signal.SIGKILL)
            host.launch.process.wait()
            host.launch.close_log()
        # The ends of the hosts' connections arrive.
        await asyncio.sleep(0.2)
        self.judge()
        self.judge_evacuations()
        self.judge_cold()


def end_at_once(number, _):
    """Ends the hosts too, which otherwise outlive a soak ended by a signal."""
    for process in LAUNCHED:
        if process.poll() is None:
            process.kill()
    os._exit(128 + number)


def free_block(base, hosts):
    """The first block of ports for all hosts that nobody listens on, so that
    soaks that run side by side do not take each other's."""
    step = 5 * hosts
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
    parser.add_argument("--hosts", type=int, default=5)
    parser.add_argument("--program", default=PROGRAM)
    parser.add_argument("--replace", metavar="PROGRAM",
                        help="another build, which replaces the hosts of the "
                             "first one by one; odd seeds begin with it; both "
                             "must know evacuations and cold engines")
    parser.add_argument("--crash-parts", action="store_true",
                        help="check CRASH too")
    parser.add_argument("--mixed-callers", action="store_true",
                        help="early requests, slow readers, idle connections "
                             "at their time-out, changing limits")
    parser.add_argument("--log-faults", action="store_true",
                        help="readers of logs stall or go away")
    parser.add_argument("--sound-entries", action="store_true",
                        help="no entries of another writer, for builds that "
                             "cannot read past them")
    parser.add_argument("--zones", help="hosts per zone, as in 2,3,1; else they "
                             "alternate between two zones",
                        type=lambda text: [int(n) for n in text.split(",")])
    parser.add_argument("--share", type=float, default=0,
                        help="processor quota of each host; 0: none")
    parser.add_argument("--descriptors", type=int, default=0)
    parser.add_argument("--data-mb", type=int, default=0,
                        help="limit on the data segment of each host")
    parser.add_argument("--memory-mb", type=int, default=260,
                        help="resident memory of each host")
    parser.add_argument("--idle-connections", type=int, default=0,
                        help="connections without requests to each host")
    options = parser.parse_args()
    if options.zones:
        options.hosts = sum(options.zones)
    failed, around, judged = 0, 0, 0
    for seed in range(options.seed, options.seed + options.seeds):
        folder = tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=options.keep)
        soak = Soak(seed, options, folder)
        try:
            base = options.port + seed % 50 * 6 * options.hosts
            asyncio.run(soak.run(free_block(base, options.hosts)))
        finally:
            for process in LAUNCHED:
                if process.poll() is None:
                    process.kill()
        verdict = "failed" if soak.problems else "passed"
        around += soak.around
        judged += soak.judged_around
        print(f"seed {seed}: {verdict}, {soak.served} of {soak.asked} served; "
              f"LOST judged {soak.judged}, around stops {soak.judged_around} "
              f"of {soak.around}, excused {soak.excused}")
        print("  peak memory " + ", ".join(
            f"{host.peak_mb:.0f}" for host in soak.hosts) + " MB; lost on kept "
            f"connections {len(soak.lost_kept)}")
        print(f"  {soak.evacuation_summary}; {soak.cold_summary}")
        if soak.crash_summary:
            print(f"  {soak.crash_summary}")
        for problem in soak.problems[:10]:
            print(f"  {problem}")
        if soak.problems:
            failed += 1
            print(f"  logs: {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    print(f"{options.seeds - failed} passed, {failed} failed")
    if 3 * judged < around or around == 0:
        print(f"CHECKED: LOST judged {judged} of {around} requests around "
              "stops, under a third")
        return 1
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
