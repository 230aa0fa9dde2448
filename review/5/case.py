"""LIMIT: brittle engines are driven to fall over."""
import asyncio
import collections
import os
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(CASE))
import lab  # noqa: E402

HOSTS, ENGINES, SLOTS, WORK_S = 3, 3, 6, 0.06
# Four fifths of what the engines carry.
REQUESTS_PER_S = 0.8 * ENGINES * SLOTS / WORK_S
# Requests that wait at an engine, usually and while it is brittle.
QUEUE, BRITTLE_QUEUE = 24, 3
# Requests that a brittle engine turns away in a second.
BRITTLE = 8
CALM_S, BRITTLE_S, AWAY_S = 6, 20, 3.0
ALLOWED = 2 + 0.1 * ENGINES


class Engine(lab.PlainEngine):
    """Works at `SLOTS` requests, lets some wait and sheds the others."""

    def __init__(self, *more):
        super().__init__(*more, slots=SLOTS, work_s=WORK_S)
        self.free = asyncio.Semaphore(SLOTS)
        self.held, self.shed = 0, collections.deque()
        self.queue, self.fragile, self.fell = QUEUE, False, 0

    async def become_brittle(self):
        self.says = {"Server-Brittle": BRITTLE}
        await asyncio.sleep(lab.CONTACT_S)
        self.queue, self.fragile = BRITTLE_QUEUE, True

    def recover(self):
        self.says, self.queue, self.fragile = {}, QUEUE, False

    async def run(self, attempt, first, fields, body, common, reader, writer):
        load = {"X-Server-Load": f"{min(self.held, SLOTS)},"
                                 f"{max(0, self.held - SLOTS)},{SLOTS}"}
        if self.held >= SLOTS + self.queue:
            self.lab.note(f"{self.id} sheds {attempt}")
            writer.write(lab.message("HTTP/1.1 503 Full", {
                **common, **load, "X-Not-Executed": "1"}))
            self.on_shed()
            return self.server is not None
        self.held += 1
        try:
            async with self.free:
                return await super().run(attempt, first, fields, body,
                                         {**common, **load}, reader, writer)
        finally:
            self.held -= 1

    def on_shed(self):
        self.shed.append(lab.now())
        while self.shed[0] < lab.now() - 1:
            self.shed.popleft()
        if self.fragile and len(self.shed) > BRITTLE:
            self.fell += 1
            self.lab.note(f"{self.id} falls over after {len(self.shed)} "
                          f"refusals in a second, with {self.held} requests")
            self.shed.clear()
            self.lab.task(self.restart())

    async def restart(self):
        dead = self.id
        self.crash()
        await asyncio.sleep(AWAY_S)
        self.id = f"i-{int(self.id[2:], 16) + 0x1000:08x}"
        self.born += int(1000 * AWAY_S)
        await self.start()
        self.lab.store.remove("servers", dead)


class Pool:
    """A caller's kept connections to one host."""

    def __init__(self, port):
        self.port, self.idle = port, []

    async def send(self, attempt):
        connection = self.idle.pop() if self.idle else lab.Connection(
            self.port)
        answer = await connection.send("POST", "/orders/1", lab.caller_fields(
            attempt, **{"X-Deadline-Ms": 1000}), attempt.encode(), limit_s=2)
        self.idle.append(connection)
        return answer


async def caller(play, pool, attempt):
    answer = await pool.send(attempt)
    play.note(f"{attempt} {answer.status}")
    play.statuses[answer.status] = play.statuses.get(answer.status, 0) + 1


async def load(play):
    pools = [Pool(host.front) for host in play.hosts]
    number, due = 0, lab.now()
    while not play.ending:
        number += 1
        due += play.random.expovariate(REQUESTS_PER_S)
        await asyncio.sleep(max(0.0, due - lab.now()))
        play.task(caller(play, pools[number % HOSTS], f"r-{number}"))


async def run(play):
    play.statuses = {}
    play.store.put("config", "main", lab.config(
        [lab.route("orders", "/orders/", "non_idempotent", "shop",
                   timeout_ms=1000, target_latency_ms=150)],
        [lab.plain_service("shop")]))
    engines = []
    for number in range(1, ENGINES + 1):
        engines.append(Engine(play, number, "shop"))
        await engines[-1].start()
    play.add_hosts(HOSTS)
    await play.await_ready()
    await asyncio.sleep(1)
    play.task(load(play))
    await asyncio.sleep(CALM_S)
    play.note(f"calm: {play.statuses}")
    play.statuses = {}
    if play.trouble:
        await asyncio.gather(*(engine.become_brittle() for engine in engines))
    await asyncio.sleep(BRITTLE_S)
    for engine in engines:
        engine.recover()
    falls = sum(engine.fell for engine in engines)
    play.note(f"{falls} falls, answers by status: {play.statuses}")
    if play.own_ends:
        raise RuntimeError("a host ended by itself")
    if falls > ALLOWED:
        play.problem(f"LIMIT: {falls} falls of {ENGINES} brittle engines, "
                     f"{ALLOWED:.1f} are allowed")


lab.main(CASE, run)
