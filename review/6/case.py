"""BUDGET: a prompt part of many requests goes on crashing engines."""
import asyncio
import os
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(CASE))
import lab  # noqa: E402

HOSTS, ENGINES, PLAIN_ENGINES = 6, 6, 3
REQUESTS_PER_S, AWAY_S, LAPSE_S = 120, 3.0, 3.6
# One request in so many holds the part that turns bad.
BAD_EVERY = 3
CALM_S, TROUBLE_S = 8, 25
BAD = "badc0de5"
ALLOWED = 3


class Engine(lab.ModelEngine):
    starts = 0

    async def stream(self, attempt, fields, common, reader, writer):
        if not self.lab.bad or BAD not in fields["x-prompt-prefix"]:
            return await super().stream(attempt, fields, common, reader,
                                        writer)
        self.lab.arrivals.append((lab.now(), attempt))
        self.lab.note(f"{self.id} gets {attempt}")
        await asyncio.sleep(self.step_s)
        if self.server is not None:
            self.lab.note(f"{self.id} crashes")
            self.lab.crashes.append(lab.now())
            self.lab.task(self.restart())
        return False

    async def restart(self):
        dead = self.id
        self.crash()
        await asyncio.sleep(AWAY_S)
        Engine.starts += 1
        self.id = f"i-{0x1000 + Engine.starts:08x}"
        self.seq, self.busy, self.in_use = 0, False, {}
        # As if the model were in its memory still.
        self.models = {"tiles": set()}
        self.born += int(1000 * AWAY_S)
        await self.listen()
        self.enlist()
        await asyncio.sleep(LAPSE_S - AWAY_S)
        self.lab.store.remove("servers", dead)


async def caller(play, number, sent_bad):
    host = play.hosts[number % HOSTS]
    part = f"{BAD}:20," if sent_bad else ""
    answer = await lab.Connection(host.front).send(
        "POST", "/chat/1", lab.caller_fields(
            f"r-{number}", **{"X-Model": "tiles", "X-Token-Count": "100,120",
                              "X-Prompt-Prefix":
                              f"5c1e07a2:80,{part}{number:x}:20"}),
        b"%d" % number)
    play.note(f"r-{number} {'bad ' if sent_bad else ''}{answer.status}")


async def run(play):
    play.bad, play.arrivals, play.crashes = False, [], []
    play.store.put("config", "main", lab.config(
        [lab.route("chat", "/chat/", "streaming", "llm", sticky=True,
                   gap_target_ms=150)],
        [lab.model_service("llm", [lab.model("tiles")]),
         lab.plain_service("shop")]))
    for number in range(1, ENGINES + 1):
        await Engine(play, number, "llm", {"tiles": set()}).start()
    for number in range(PLAIN_ENGINES):
        await lab.PlainEngine(play, 100 + number, "shop").start()
    play.add_hosts(HOSTS)
    await play.await_ready()
    await asyncio.sleep(6)
    begun, number = lab.now(), 0
    before = os.environ.get("BEFORE", "1") == "1"
    while lab.now() - begun < CALM_S + TROUBLE_S:
        number += 1
        play.bad = play.trouble and lab.now() - begun > CALM_S
        wants = number % BAD_EVERY == 0 and (before or play.bad)
        play.task(caller(play, number, wants))
        await asyncio.sleep(max(0.0, begun + number / REQUESTS_PER_S
                                - lab.now()))
    if play.own_ends:
        raise RuntimeError("a host ended by itself")
    if not play.trouble:
        return
    if len(play.crashes) < 5:
        raise RuntimeError(f"{len(play.crashes)} crashes")
    late = [attempt for at, attempt in play.arrivals
            if at > play.crashes[4] + lab.CONTACT_S]
    play.note(f"{len(play.crashes)} crashes, {len(late)} requests reached "
              f"engines later than {lab.CONTACT_S} s after the fifth")
    if len(late) > ALLOWED:
        play.problem(f"BUDGET: {len(late)} requests with a part that crashes "
                     f"engines reached engines later than {lab.CONTACT_S} s "
                     "after the fifth crash")


lab.main(CASE, run)
