#!/usr/bin/env python3
"""Measures the slopes from which docs/CAPACITY.md works out the target size.

Each part starts its processes anew on loopback with fixed seeds and prints one
JSON line per figure set. Processor time is that of /proc/PID/stat; the bytes
between hosts are those of the kernel's counters (ss -ti) and the bytes at the
platform those of a relay that only counts. Wall times depend on what else the
machine does.
"""
import argparse
import asyncio
import contextlib
import http.client
import json
import re
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
import types

import bench

SEED = 1
WINDOW_S = 10
PROBES = 10
EDITS = 20
KEY = {"Authorization": f"Bearer {bench.OPERATOR_KEY}"}
READ_BYTES = 65_536
PARTS = ["fleet", "engines", "endpoints", "rows", "relay"]


class CountingRelay:
    """Passes connections on to the platform stand-in and counts bytes."""

    def __init__(self, target):
        self.target = target.split(":")
        self.sent = 0      # by hosts
        self.received = 0  # by hosts
        self.loop = asyncio.new_event_loop()
        started = threading.Event()
        threading.Thread(target=self.run, args=(started,), daemon=True).start()
        started.wait()

    def run(self, started):
        asyncio.set_event_loop(self.loop)
        server = self.loop.run_until_complete(
            asyncio.start_server(self.serve, "127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        started.set()
        self.loop.run_forever()
        open_tasks = asyncio.all_tasks(self.loop)
        for task in open_tasks:
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*open_tasks, return_exceptions=True))

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self.target[0], int(self.target[1]))
        except OSError:
            writer.close()
            return
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(self.copy(reader, far_writer, True),
                                 self.copy(far_reader, writer, False))

    async def copy(self, reader, writer, from_host):
        try:
            while data := await reader.read(READ_BYTES):
                if from_host:
                    self.sent += len(data)
                else:
                    self.received += len(data)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    def stop(self):
        self.loop.call_soon_threadsafe(self.loop.stop)


class CapacitySite(bench.Site):
    """Hosts that find all rows at the platform and all models resident."""

    def __init__(self, folder, hosts=4, engines=4, models=15, accounts=5,
                 endpoints=None):
        super().__init__(types.SimpleNamespace(
            hosts=hosts, engines=engines, services=0, models=models,
            adapters=0, policy=[], load=1.0), folder)
        self.accounts = accounts
        # Several endpoint rows may name one engine process.
        self.endpoints = endpoints or engines
        self.size = {"hosts": hosts, "engines": engines, "models": models,
                     "accounts": accounts, "endpoints": self.endpoints,
                     "seed": SEED}
        self.relay = None

    def engine_memory(self):
        most = -(-len(self.models) // len(self.engines))
        return most * bench.MODEL_BYTES + bench.MODEL_BYTES // 2

    def start_engine(self, index):
        held = [f"{m}:{bench.MODEL_BYTES}" for i, m in enumerate(self.models)
                if i % len(self.engines) == index]
        self.start(f"engine-{index}", bench.BIN / "standin_engine", "--listen",
                   self.engines[index], "--memory-bytes", self.engine_memory(),
                   "--tokens-per-second", 100, "--slots", 16, "--load-ms", 500,
                   "--report-lag-ms", 200, "--models", ",".join(held),
                   "--checks-fencing")

    def start_platform(self):
        self.start("platform", bench.BIN / "standin_platform", "--listen",
                   self.platform)
        bench.wait_until(self.counters, "the platform stand-in")

    def counters(self):
        return bench.call("GET", self.direct, "/admin/counters")

    def write_objects(self):
        """Writes the rows to the platform before any host runs."""
        rows = {}
        for i in range(self.accounts):
            name = f"account-{i}"
            rows[f"accounts/{name}"] = {
                "id": name, "weight": 1, "rate": 100_000, "burst": 400_000,
                "priority": 5}
            key = bench.digest("key-of-" + name)
            rows[f"keys/{key}"] = {
                "digest": key, "account": name, "withdrawn": False}
        for model in self.models:
            rows[f"models/{model}"] = {
                "id": model, "memory_bytes": bench.MODEL_BYTES,
                "min_copies": 1}
        for i in range(self.endpoints):
            rows[f"endpoints/engine-{i}"] = {
                "id": f"engine-{i}",
                "address": self.engines[i % len(self.engines)],
                "zone": bench.ZONES[i % 3], "kind": "engine", "group": "",
                "memory_bytes": self.engine_memory(), "checks_fencing": True,
                "max_concurrency": 16}
        to = http.client.HTTPConnection(self.direct, timeout=10)
        for name, row in rows.items():
            to.request("PUT", f"/v1/objects/config/{name}", json.dumps(row),
                       {"Content-Type": "application/json"})
            answer = to.getresponse()
            answer.read()
            if answer.status != 200:
                raise SystemExit(f"row {name}: status {answer.status}")
        to.close()

    def begin(self):
        self.direct = self.platform
        self.start_platform()
        self.write_objects()
        for i in range(len(self.engines)):
            self.start_engine(i)
        self.relay = CountingRelay(self.direct)
        self.platform = self.relay.address

    def status(self, host):
        return bench.call("GET", self.hosts[host][1], "/admin/v1/status",
                          headers=KEY)

    def all_members(self):
        return all(self.status(i)["members"] == len(self.hosts) and
                   self.status(i)["config_complete"]
                   for i in range(len(self.hosts)))

    def start_hosts(self):
        started = time.monotonic()
        for i in range(len(self.hosts)):
            self.start_host(i)
        bench.wait_until(self.all_members, "all hosts to be members", 150)
        return time.monotonic() - started

    def peer_bytes(self):
        """Bytes that all hosts together have sent to hosts."""
        ports = " or ".join(f"sport = :{h[2].split(':')[1]}"
                            for h in self.hosts)
        text = subprocess.run(
            ["ss", "-tinHO", "state", "established", f"( {ports} )"],
            capture_output=True, text=True, check=True).stdout
        return sum(int(n) for n in re.findall(
            r"bytes_(?:sent|received):(\d+)", text))

    def sample(self):
        return (time.monotonic(), self.usage(), self.peer_bytes(),
                self.counters(), self.relay.sent, self.relay.received)

    def measure(self, seconds=WINDOW_S):
        first = self.sample()
        time.sleep(seconds)
        last = self.sample()
        span = (last[0] - first[0]) * len(self.hosts)
        cpu = [last[1][i][0] - first[1][i][0] for i in last[1]]
        calls = {n: round((last[3][n] - first[3][n]) / span, 3)
                 for n in ("gets", "puts", "lists", "watches", "hosts")}
        return {
            "core_per_host": round(sum(cpu) / span, 5),
            "core_worst_host": round(max(cpu) * len(self.hosts) / span, 5),
            "resident_mb": round(max(u[1] for u in last[1].values()) / 1e6, 2),
            "peer_sent_bytes_s": round((last[2] - first[2]) / span),
            "platform_sent_bytes_s": round((last[4] - first[4]) / span),
            "platform_received_bytes_s": round((last[5] - first[5]) / span),
            "platform_calls_s": calls}

    def end(self):
        self.stop()
        if self.relay:
            self.relay.stop()


def show(part, size, figures):
    print(json.dumps({"part": part, **size, **figures}), flush=True)


def with_site(action, **size):
    with tempfile.TemporaryDirectory(prefix="bluebell-capacity-") as folder:
        site = CapacitySite(folder, **size)
        try:
            site.begin()
            action(site)
        finally:
            site.end()


def time_edit(site, number):
    """Seconds from the acceptance of an edit to its force on all hosts."""
    row = {"id": "edited", "weight": 1 + number % 9, "rate": 1000,
           "burst": 4000, "priority": 5}
    started = time.monotonic()
    answer = bench.call("PUT", site.hosts[0][1],
                        "/admin/v1/config/accounts/edited", row,
                        {**KEY, "If-Match": str(site.edited)})
    accepted = time.monotonic()
    site.edited = answer["revision"]
    for i in range(len(site.hosts)):
        while site.status(i)["config_revision"] < site.edited:
            if time.monotonic() - accepted > 15:
                raise SystemExit(f"edit not in force on host-{i}")
            time.sleep(0.002)
    return accepted - started, time.monotonic() - accepted


def measure_fleet(site):
    before = site.counters()
    joined = site.start_hosts()
    after = site.counters()
    time.sleep(2)
    show("fleet", site.size, {
        "join_all_s": round(joined, 1),
        "join_puts": after["puts"] - before["puts"],
        "join_lists": after["lists"] - before["lists"], **site.measure()})
    site.edited = 0
    times = [time_edit(site, i) for i in range(EDITS)]
    accept, force = zip(*times)
    show("edits", site.size, {
        "edits": EDITS,
        "accept_median_ms": round(statistics.median(accept) * 1e3, 1),
        "accept_worst_ms": round(max(accept) * 1e3, 1),
        "in_force_median_ms": round(statistics.median(force) * 1e3, 1),
        "in_force_worst_ms": round(max(force) * 1e3, 1)})


def report_bytes(address):
    """Bytes of one load report with its header."""
    to = socket.create_connection(address.split(":"), timeout=10)
    to.sendall(f"GET /v1/load HTTP/1.1\r\nHost: {address}\r\n"
               "Connection: close\r\n\r\n".encode())
    total = 0
    while data := to.recv(READ_BYTES):
        total += len(data)
    to.close()
    return total


def measure_engines(site):
    site.start_hosts()
    time.sleep(2)
    show("engines", site.size, {"report_bytes": report_bytes(site.engines[0]),
                                **site.measure()})


def measure_endpoints(site):
    """Many endpoint rows; one of the hosts controls the placement."""
    site.start_hosts()
    time.sleep(2 + site.endpoints / 150)
    show("endpoints", site.size, {"orders": site.orders(), **site.measure()})


def measure_rows(site):
    """Start-up of one host at a platform that holds the rows."""
    def ready():
        return bench.call("GET", site.hosts[0][0], "/readyz")["ready"]

    before = site.counters()
    started = time.monotonic()
    site.start_host(0)
    bench.wait_until(ready, "the first host to be ready")
    ready_s = time.monotonic() - started
    cpu, memory = site.usage()[0]
    calls = site.counters()["calls"] - before["calls"]
    bench.wait_until(lambda: site.status(0)["holds_lease"], "the lease")
    time.sleep(2)
    show("rows", site.size, {
        "ready_s": round(ready_s, 2), "cpu_to_ready_s": round(cpu, 3),
        "resident_at_ready_mb": round(memory / 1e6, 2),
        "calls_to_ready": calls, **site.measure()})


def load_plan(site, rate, tokens, seconds):
    plan = {"hosts": [h[0] for h in site.hosts], "duration_s": seconds,
            "seed": SEED, "accounts": []}
    for i in range(site.accounts):
        plan["accounts"].append({
            "account": f"account-{i}", "key": f"key-of-account-{i}",
            "weight": 1, "priority": 5, "rate": 100_000, "burst": 400_000,
            "arrivals_per_second": rate / site.accounts,
            "targets": site.models, "min_tokens": tokens,
            "max_tokens": tokens})
    return plan


def run_load(site, rate, tokens, seconds=12):
    path = site.folder / f"plan-{tokens}.json"
    path.write_text(json.dumps(load_plan(site, rate, tokens, seconds)))
    before, peers = site.usage(), site.peer_bytes()
    started = time.monotonic()
    text = subprocess.run(
        [bench.BIN / "bluebell_load", "--plan", path, "--phase-s", "1e9"],
        capture_output=True, text=True, check=True, timeout=90).stdout
    span = time.monotonic() - started
    after = site.usage()
    total = [f for phase in json.loads(text) for f in phase.values()]
    return {"requests": sum(f["completed"] for f in total),
            "sent": sum(f["sent"] for f in total),
            "tokens": sum(f["tokens"] for f in total),
            "span_s": round(span, 2),
            "peer_bytes": site.peer_bytes() - peers,
            "cpu_s": round(sum(after[i][0] - before[i][0] for i in after), 3)}


def time_stream(address, model, tokens, key=None):
    """Seconds to the first event and from it to the end of one stream."""
    to = http.client.HTTPConnection(address, timeout=20)
    headers = {"Content-Type": "application/json", "x-request-id": "probe"}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    started = time.monotonic()
    to.request("POST", "/v1/completions", json.dumps(
        {"model": model, "prompt": "measure", "max_tokens": tokens,
         "stream": True}), headers)
    answer = to.getresponse()
    if answer.status != 200:
        raise SystemExit(f"stream: {answer.status} {answer.read()}")
    while not answer.readline().startswith(b"data:"):
        pass
    first = time.monotonic()
    answer.read()
    to.close()
    return first - started, (time.monotonic() - first) / max(1, tokens - 1)


def measure_relay(site):
    site.start_hosts()
    time.sleep(2)
    idle = site.measure(8)
    show("relay_idle", site.size, idle)
    loads = [run_load(site, 60, 8), run_load(site, 12, 128)]
    share = idle["core_per_host"] * len(site.hosts)
    work = [f["cpu_s"] - share * f["span_s"] for f in loads]
    (r1, t1), (r2, t2) = [(f["requests"], f["tokens"]) for f in loads]
    determinant = r1 * t2 - r2 * t1
    show("relay", site.size, {
        "loads": loads,
        "request_ms": round(1e3 * (work[0] * t2 - work[1] * t1) / determinant,
                            4),
        "token_us": round(1e6 * (r1 * work[1] - r2 * work[0]) / determinant,
                          2)})
    direct, through = [], []
    for _ in range(PROBES):
        direct.append(time_stream(site.engines[0], site.models[0], 32))
        through.append(time_stream(site.hosts[0][0], site.models[0], 32,
                                   "key-of-account-0"))
    ways = {}
    for name, times in (("direct", direct), ("through", through)):
        ways[name + "_first_ms"] = round(
            1e3 * statistics.median(t[0] for t in times), 2)
        ways[name + "_token_ms"] = round(
            1e3 * statistics.median(t[1] for t in times), 3)
    show("relay_ratio", site.size, {
        "probes": PROBES, **ways,
        "first_ratio": round(ways["through_first_ms"] /
                             ways["direct_first_ms"], 3),
        "token_ratio": round(ways["through_token_ms"] /
                             ways["direct_token_ms"], 3)})


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--part", action="append",
                        choices=PARTS)
    parser.add_argument("--hosts", type=int, nargs="*",
                        default=[2, 4, 8, 16], help="sizes of part fleet")
    options = parser.parse_args()
    parts = options.part or PARTS
    if "fleet" in parts:
        for hosts in options.hosts:
            with_site(measure_fleet, hosts=hosts)
    if "engines" in parts:
        for engines in (4, 12, 48):
            with_site(measure_engines, engines=engines)
    if "endpoints" in parts:
        for endpoints in (48, 350, 3500):
            with_site(measure_endpoints, hosts=2, endpoints=endpoints)
    if "rows" in parts:
        for models, accounts in ((15, 5), (150, 5), (1400, 5), (15, 50)):
            with_site(measure_rows, hosts=1, models=models, accounts=accounts)
    if "relay" in parts:
        with_site(measure_relay, engines=8)


if __name__ == "__main__":
    sys.exit(main())
