#!/usr/bin/env python3
"""Runs entry hosts before stand-ins on loopback under an open-loop load.

Prints a table and a CSV line per client account and phase: attainment, first
token and token gap percentiles, refusals, and below them the model moves, the
platform calls per host and second, and the processor time and memory of the
hosts. A phase is the time before, during or after the fault.
"""
import argparse
import csv
import hashlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = ROOT / "build" / "bin"
OPERATOR_KEY = "bench-operator-key"
ZONES = ["z0", "z1", "z2"]
ENGINE_SPEEDS = [30, 40, 60, 80, 100, 120]  # tokens a second of one stream
MODEL_BYTES = 10_000
ADAPTER_BYTES = 50
ENGINE_BYTES = 25_000
MEMBER_SECONDS = 25  # a new member is admitted every 17 s at the earliest
BUCKET_FILL_SECONDS = 12  # shares are taken over empty and fill at their rate


def digest(text):
    return hashlib.sha256(text.encode()).hexdigest()


class Ports:
    """Takes loopback ports that are free now."""

    def __init__(self):
        self.held = []

    def take(self):
        probe = socket.socket()
        probe.bind(("127.0.0.1", 0))
        self.held.append(probe)
        return f"127.0.0.1:{probe.getsockname()[1]}"

    def release(self):
        for probe in self.held:
            probe.close()
        self.held = []


def call(method, address, path, body=None, headers=None, timeout=10):
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method,
        headers={"Content-Type": "application/json", **(headers or {})})
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return json.loads(answer.read() or b"null")


def wait_until(condition, what, limit=60):
    deadline = time.monotonic() + limit
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (OSError, ValueError, KeyError):
            pass
        time.sleep(0.1)
    raise SystemExit(f"gave up waiting for {what}")


class Site:
    """The processes of one run."""

    def __init__(self, options, folder):
        self.options = options
        self.folder = pathlib.Path(folder)
        self.processes = {}
        ports = Ports()
        self.platform = ports.take()
        self.hosts = [[ports.take() for _ in range(3)]
                      for _ in range(options.hosts)]
        self.engines = [ports.take() for _ in range(options.engines)]
        self.services = [ports.take() for _ in range(options.services)]
        self.models = [f"model-{i}" for i in range(options.models)]
        self.adapters = [f"adapter-{i}" for i in range(options.adapters)]
        ports.release()

    def start(self, name, *arguments):
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [str(a) for a in arguments], stdout=log, stderr=log)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def start_engine(self, index):
        speed = ENGINE_SPEEDS[index % len(ENGINE_SPEEDS)]
        held = [f"{m}:{MODEL_BYTES}" for i, m in enumerate(self.models)
                if i % len(self.engines) == index][:2]
        self.start(f"engine-{index}", BIN / "standin_engine", "--listen",
                   self.engines[index], "--memory-bytes", ENGINE_BYTES,
                   "--tokens-per-second", speed, "--slots", 8, "--load-ms",
                   500, "--report-lag-ms", 200, "--models", ",".join(held),
                   *(["--checks-fencing"] if index % 2 else []))

    def start_host(self, index):
        caller, admin, peer = self.hosts[index]
        lines = ["[host]", f"id = host-{index}",
                 f"zone = {ZONES[index % len(ZONES)]}", f"listen = {caller}",
                 f"admin_listen = {admin}", f"peer_listen = {peer}",
                 "[platform]", f"addresses = {self.platform}", "[peers]",
                 "seeds = " + ",".join(h[2] for h in self.hosts[:3]),
                 "[admin]", f"operator_key_digests = {digest(OPERATOR_KEY)}",
                 "[log]", "level = warn", "[policy]"]
        lines += [p.replace("=", " = ", 1) for p in self.options.policy]
        path = self.folder / f"host-{index}.ini"
        path.write_text("\n".join(lines) + "\n")
        self.start(f"host-{index}", BIN / "bluebellraild", "--config", path)

    def start_all(self):
        self.start("platform", BIN / "standin_platform", "--listen",
                   self.platform)
        wait_until(lambda: call("GET", self.platform, "/admin/counters"),
                   "the platform stand-in")
        for i in range(len(self.engines)):
            self.start_engine(i)
        for i, address in enumerate(self.services):
            self.start(f"service-{i}", BIN / "standin_service", "--listen",
                       address)
        for i in range(len(self.hosts)):
            self.start_host(i)
        wait_until(self.all_hosts_known, "all hosts to know each other")
        self.write_rows()
        wait_until(self.all_targets_served, "every model to be served", 120)
        wait_until(self.all_members, "all hosts to be members",
                   MEMBER_SECONDS * len(self.hosts))

    def all_hosts_known(self):
        return all(
            len(call("GET", h[0], "/v1/entry-hosts")["hosts"]) ==
            len(self.hosts) for h in self.hosts)

    def status(self, index):
        return call("GET", self.hosts[index][1], "/admin/v1/status",
                    headers={"Authorization": f"Bearer {OPERATOR_KEY}"})

    def all_members(self):
        return all(self.status(i)["members"] == len(self.hosts)
                   for i in range(len(self.hosts)))

    def all_targets_served(self):
        resident = set()
        for address in self.engines:
            resident.update(call("GET", address, "/v1/load")["models"])
        return resident >= set(self.models)

    def put_row(self, table, name, row):
        call("PUT", self.hosts[0][1], f"/admin/v1/config/{table}/{name}", row,
             {"Authorization": f"Bearer {OPERATOR_KEY}", "If-Match": "0"})

    def write_rows(self):
        for plan in accounts(self, self.options):
            self.put_row("accounts", plan["account"], {
                "id": plan["account"], "weight": plan["weight"],
                "rate": int(plan["rate"]), "burst": int(plan["burst"]),
                "priority": plan["priority"]})
            key = digest(plan["key"])
            self.put_row("keys", key, {
                "digest": key, "account": plan["account"],
                "withdrawn": False})
        for model in self.models:
            self.put_row("models", model, {
                "id": model, "memory_bytes": MODEL_BYTES, "min_copies": 1})
        for i, adapter in enumerate(self.adapters):
            self.put_row("adapters", adapter, {
                "id": adapter, "model": self.models[i % len(self.models)],
                "memory_bytes": ADAPTER_BYTES})
        for i, address in enumerate(self.engines):
            self.put_row("endpoints", f"engine-{i}", {
                "id": f"engine-{i}", "address": address,
                "zone": ZONES[i % len(ZONES)], "kind": "engine", "group": "",
                "memory_bytes": ENGINE_BYTES, "checks_fencing": bool(i % 2),
                "max_concurrency": 8})
        for i, address in enumerate(self.services):
            self.put_row("endpoints", f"service-{i}", {
                "id": f"service-{i}", "address": address,
                "zone": ZONES[i % len(ZONES)], "kind": "service",
                "group": "orders", "memory_bytes": 0, "checks_fencing": False,
                "max_concurrency": 16})

    def usage(self):
        """Processor seconds, bytes resident and bytes at the platform."""
        ticks = os.sysconf("SC_CLK_TCK")
        figures = {}
        for i in range(len(self.hosts)):
            pid = self.processes[f"host-{i}"].pid
            try:
                fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
                status = pathlib.Path(f"/proc/{pid}/status").read_text()
            except OSError:
                continue
            resident = [line for line in status.splitlines()
                        if line.startswith("VmRSS")]
            if resident:
                figures[i] = ((int(fields[13]) + int(fields[14])) / ticks,
                              int(resident[0].split()[1]) * 1024)
        return figures

    def orders(self):
        total = 0
        for address in self.engines:
            try:
                total += call("GET", address, "/admin/counters")["orders"]
            except OSError:
                pass
        return total


def accounts(site, options):
    """Five client accounts: one large, three ordinary, one rare priority."""
    scale = options.load
    targets = site.models + site.adapters
    plans = [{
        "account": "large", "weight": 4, "priority": 5, "rate": 2400 * scale,
        "burst": 9600 * scale, "arrivals_per_second": 10 * scale,
        "burst_arrivals_per_second": 80 * scale, "cycle_s": 15, "burst_s": 3,
        "targets": targets, "shifts": True}]
    for i in range(3):
        plans.append({
            "account": f"small-{i}", "weight": 1, "priority": 5,
            "rate": 600 * scale, "burst": 2400 * scale,
            "arrivals_per_second": 3 * scale, "targets": targets,
            "shifts": True})
    constant = options.rare == "constant"
    plans.append({
        "account": "rare", "weight": 1, "priority": 0, "rate": 600 * scale,
        "burst": 2400 * scale,
        "arrivals_per_second": (3.0 if constant else 0.3) * scale,
        "targets": site.models[-2:]})
    for plan in plans:
        plan["key"] = "key-of-" + plan["account"]
    return plans


def inject(site, options, stop):
    """Brings about the fault at a third of the run and ends it at two thirds."""
    third = options.duration / 3
    if options.fault == "none" or stop.wait(third):
        return
    frozen = []
    if options.fault == "host_kill":
        site.processes["host-1"].kill()
    elif options.fault == "engine_kill":
        site.processes["engine-1"].kill()
    elif options.fault == "platform_outage":
        call("POST", site.platform, "/admin/faults", {"outage": True})
    elif options.fault == "zone_freeze":
        frozen = [site.processes[n] for n in site.processes
                  if n.split("-")[0] in ("host", "engine", "service")
                  and int(n.split("-")[1]) % len(ZONES) == 1]
        for process in frozen:
            process.send_signal(signal.SIGSTOP)
    stop.wait(third)
    if options.fault == "host_kill":
        site.start_host(1)
    elif options.fault == "engine_kill":
        site.start_engine(1)
    elif options.fault == "platform_outage":
        call("POST", site.platform, "/admin/faults", {"outage": False})
    for process in frozen:
        process.send_signal(signal.SIGCONT)


def measure(site, options, stop):
    """One load run on a started site; returns the load tool's phases."""
    plan = {"hosts": [h[0] for h in site.hosts],
            "duration_s": options.duration, "seed": options.seed,
            "accounts": accounts(site, options)}
    path = site.folder / "plan.json"
    path.write_text(json.dumps(plan))
    fault = threading.Thread(target=inject, args=(site, options, stop))
    fault.start()
    phase = options.duration / 3 if options.fault != "none" else 1e9
    load = subprocess.run(
        [BIN / "bluebell_load", "--plan", path, "--phase-s", str(phase)],
        capture_output=True, text=True, check=True)
    fault.join()
    return json.loads(load.stdout)


def counters(site):
    return (site.usage(), site.orders(),
            call("GET", site.platform, "/admin/counters"))


def run(options):
    """Runs every seed on one site, with full budgets before each."""
    with tempfile.TemporaryDirectory(prefix="bluebell-bench-") as folder:
        site = Site(options, folder)
        stop = threading.Event()
        try:
            site.start_all()
            for seed in options.seeds:
                options.seed = seed
                time.sleep(BUCKET_FILL_SECONDS)
                before = counters(site)
                started = time.monotonic()
                phases = measure(site, options, stop)
                elapsed = time.monotonic() - started
                report(options, phases, before, counters(site), elapsed)
                sys.stdout.flush()
        finally:
            stop.set()
            site.stop()
            if options.keep_logs:
                target = pathlib.Path(options.keep_logs)
                target.mkdir(parents=True, exist_ok=True)
                for log in site.folder.glob("*.log"):
                    (target / log.name).write_bytes(log.read_bytes())


def attainment(figures):
    answered = figures["sent"] - figures["refused_rate"]
    rightful = answered + figures["refused_wrongfully"]
    return figures["attained"] / rightful if rightful else 1.0


def report(options, phases, before, after, elapsed):
    names = ["all"] if len(phases) == 1 else ["before", "during", "after"]
    rows = []
    for name, accounts_of_phase in zip(names, phases):
        for account, figures in sorted(accounts_of_phase.items()):
            rows.append({
                "phase": name, "account": account, "sent": figures["sent"],
                "completed": figures["completed"],
                "attainment": f"{attainment(figures):.4f}",
                "refused_rate": figures["refused_rate"],
                "wrongful": figures["refused_wrongfully"],
                "admissible": figures["admissible"],
                "failed": figures["failed"],
                "first_p50_ms": f"{figures['first_token_ms']['p50']:.1f}",
                "first_p95_ms": f"{figures['first_token_ms']['p95']:.1f}",
                "gap_p95_ms": f"{figures['token_gap_ms']['p95']:.1f}",
                "codes": json.dumps(figures["codes"])})
    columns = list(rows[0])
    widths = [max(len(str(r[c])) for r in rows + [dict(zip(columns, columns))])
              for c in columns]
    print(f"seed {options.seed}, fault {options.fault}, rare caller "
          f"{options.rare}, policy {options.policy or 'default'}")
    for row in [dict(zip(columns, columns))] + rows:
        print("  ".join(str(row[c]).ljust(w) for c, w in zip(columns, widths)))
    total = [f for phase in phases for f in phase.values()]
    attained = sum(f["attained"] for f in total)
    tokens = sum(f["tokens"] for f in total)
    shared = sorted(set(before[0]) & set(after[0]))
    cores = [(after[0][i][0] - before[0][i][0]) / elapsed for i in shared]
    memory = [after[0][i][1] for i in shared]
    calls = after[2]["calls"] - before[2]["calls"]
    print(f"attained requests per engine and second "
          f"{attained / options.engines / options.duration:.3f}; tokens/s "
          f"{tokens / options.duration:.0f}; orders to engines "
          f"{after[1] - before[1]}; platform calls per host and second "
          f"{calls / elapsed / options.hosts:.2f}; core share per host mean "
          f"{sum(cores) / len(cores):.4f}; memory per host "
          f"{max(memory) / 1e6:.1f} MB")
    if options.csv:
        path = pathlib.Path(options.csv)
        new = not path.exists()
        with path.open("a", newline="") as file:
            writer = csv.DictWriter(
                file, ["seed", "fault", "rare", "policy", *columns, "orders"])
            if new:
                writer.writeheader()
            for row in rows:
                writer.writerow({**row, "seed": options.seed,
                                 "fault": options.fault, "rare": options.rare,
                                 "policy": ";".join(options.policy),
                                 "orders": after[1] - before[1]})


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("--engines", type=int, default=12)
    parser.add_argument("--services", type=int, default=3)
    parser.add_argument("--models", type=int, default=15)
    parser.add_argument("--adapters", type=int, default=80)
    parser.add_argument("--duration", type=float, default=30)
    parser.add_argument("--load", type=float, default=1.0,
                        help="factor on all arrivals, rates and bursts")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1],
                        help="one run after the other on the same hosts")
    parser.add_argument("--rare", choices=["rare", "constant"],
                        default="rare")
    parser.add_argument("--fault", default="none",
                        choices=["none", "host_kill", "engine_kill",
                                 "platform_outage", "zone_freeze"])
    parser.add_argument("--policy", action="append", default=[],
                        metavar="KEY=VALUE",
                        help="line of the [policy] section of all hosts")
    parser.add_argument("--csv", help="file to which rows are appended")
    parser.add_argument("--keep-logs", help="folder for the processes' logs")
    run(parser.parse_args())


if __name__ == "__main__":
    sys.exit(main())
