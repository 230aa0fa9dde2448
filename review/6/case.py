import asyncio, os, sys
CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(CASE))
import lab
HOSTS, ENGINES = 3, 3
AWAY_S, COPY_S, REWRITE_S = 1.0, 9.0, 1.5

class Engine(lab.PlainEngine):
    leaving = False
    async def run(self, attempt, first, fields, body, common, reader, writer):
        if attempt == "slow" and self.lab.trouble is not None:
            self.leaving = True
            self.lab.leaver = self
            self.says = {"Server-Leaving": "1"}
            self.lab.store.remove("servers", self.id)
            self.lab.note(f"{self.id} leaves")
            await asyncio.sleep(1.5)
            common = {**common, **self.says}
        elif self.leaving:
            self.lab.late.append((attempt, lab.now()))
            self.lab.note(f"{self.id} (leaving) gets {attempt}")
        return await super().run(attempt, first, fields, body, common, reader, writer)

async def caller(play, host):
    connection, count = lab.Connection(host.front), 0
    while not play.ending:
        if play.quiet:
            await asyncio.sleep(0.05); continue
        count += 1
        attempt = f"{host.name}-{count}"
        play.sent[attempt] = lab.now()
        answer = await connection.send("POST", "/orders/1", lab.caller_fields(attempt), b"one tile", limit_s=5)
        play.note(f"{attempt} {answer.status} {answer.fields.get('server-leaving')}")
        await asyncio.sleep(0.05)

async def run(play):
    play.sent, play.late, play.quiet, play.leaver = {}, [], False, None
    play.store.put("config", "main", lab.config(
        [lab.route("orders", "/orders/", "non_idempotent", "shop", timeout_ms=12000)], [lab.plain_service("shop")]))
    engines = [Engine(play, n, "shop") for n in range(1, ENGINES + 1)]
    for e in engines: await e.start()
    play.add_hosts(HOSTS); await play.await_ready()
    for h in play.hosts: play.task(caller(play, h))
    await asyncio.sleep(6)
    play.quiet = True
    await asyncio.sleep(0.3)
    answer = await lab.Connection(play.hosts[0].front).send("POST", "/orders/1", lab.caller_fields("slow"), b"slow", limit_s=5)
    passed = lab.now()
    play.note(f"slow {answer.status} leaving {answer.fields.get('server-leaving')}")
    play.quiet = False
    await asyncio.sleep(1.0)
    store, newest = play.store, dict(play.store.objects)
    if play.trouble:
        store.crash(); play.note("away"); await asyncio.sleep(AWAY_S); store.restore(COPY_S); await store.listen(); play.note("back")
        await asyncio.sleep(REWRITE_S)
        store.remove("servers", play.leaver.id)
        for e in engines:
            if e is not play.leaver: e.enlist()
        store.put("config", "main", newest[("config", "main")]["spec"]); play.note("rewritten")
    await asyncio.sleep(3)
    late = [a for a, at in play.late if a.startswith("edge-1-") and play.sent[a] > passed + lab.DRAIN_S]
    play.note(f"{len(play.late)} requests at the leaving engine, {len(late)} too late from edge-1")
    if late: play.problem(f"DRAIN: {len(late)} {late[:3]}")
lab.main(CASE, run)
