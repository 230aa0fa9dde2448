"""ORDER: a stream goes on at another software version after a drill."""
import asyncio
import os
import re
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(CASE))
import lab  # noqa: E402

HOSTS, ENGINES_PER_VERSION, CALLERS = 3, 2, 20
# How long the store is away, how old its copy is, and when the operator and
# the engines have written again what they wrote since.
AWAY_S, COPY_S, REWRITE_S = 1.0, 9.0, 0.5
# When a host is killed, before the store is back.
KILL_S = 0.3
# ORDER counts more than two streams.
ALLOWED = 2
EVENTS, STEP_S = 47, 0.1


def events_of(body):
    """Numbers and versions of the whole events."""
    return [(int(number), version) for number, version in re.findall(
        rb"id: (\d+)\ndata: \S+ (\S+)\n\n", body)]


def stream_fields(attempt, **more):
    return lab.caller_fields(attempt, **{
        "X-Model": "tiles", "X-Token-Count": f"100,{6 * EVENTS}",
        "X-Prompt-Prefix": f"5c1e07a2:80,{abs(hash(attempt)):08x}:20", **more})


async def caller(play, number):
    """Streams at the first host; takes one up at another host if it breaks."""
    connection, count = lab.Connection(play.hosts[0].front), 0
    await asyncio.sleep(play.random.uniform(0, EVENTS * STEP_S))
    while not play.ending:
        count += 1
        attempt = f"s-{number}-{count}"
        answer = await connection.send("POST", "/notes/1",
                                       stream_fields(attempt), b"notes")
        events = events_of(answer.body)
        play.note(f"{attempt} {answer.status} {len(events)} events "
                  f"{'whole' if answer.complete else 'cut'}")
        if not answer.complete and events:
            await take_up(play, number, attempt, events)
            return
        if answer.status != 200:
            await asyncio.sleep(0.3)


async def take_up(play, number, attempt, events):
    host = play.hosts[1 + number % (HOSTS - 1)]
    again = f"{attempt}-again"
    answer = await lab.Connection(host.front).send(
        "POST", "/notes/1", stream_fields(again, **{
            "Last-Event-Id": events[-1][0], "Resumes": attempt}), b"notes")
    more = events_of(answer.body)
    versions = sorted({version.decode() for _, version in events + more})
    play.note(f"{again} at {host.name} {answer.status} {len(more)} events, "
              f"the stream holds events of {versions}")
    play.taken_up.append(attempt)
    if more and len(versions) > 1:
        play.mixed.append(attempt)


async def drill(play, engines):
    store, newest = play.store, dict(play.store.objects)
    play.note("the store is away")
    store.crash()
    await asyncio.sleep(AWAY_S)
    if play.trouble:
        store.restore(COPY_S)
    await store.listen()
    play.note("the store is back")
    await asyncio.sleep(REWRITE_S)
    for engine in engines:
        engine.enlist()
    store.put("config", "main", newest[("config", "main")]["spec"])


async def run(play):
    play.taken_up, play.mixed = [], []
    play.store.put("config", "main", lab.config(
        [lab.route("notes", "/notes/", "streaming", "llm", sticky=True,
                   resumable=True, max_attempts=2, target_latency_ms=3000,
                   gap_target_ms=150)],
        [lab.model_service("llm", [lab.model("tiles")])]))
    engines = []
    for number in range(2 * ENGINES_PER_VERSION):
        engine = lab.ModelEngine(play, 1 + number, "llm", {"tiles": set()},
                                 step_s=STEP_S)
        engine.version = f"v{1 + number % 2}"
        await engine.start()
        engines.append(engine)
    play.add_hosts(HOSTS)
    await play.await_ready()
    for number in range(CALLERS):
        play.task(caller(play, number))
    await asyncio.sleep(14)
    play.task(drill(play, engines))
    await asyncio.sleep(AWAY_S - KILL_S)
    host = play.hosts[0]
    host.ends_allowed = {-9}
    play.note(f"{host.name} is killed")
    host.process.kill()
    await asyncio.sleep(8)
    if play.own_ends:
        raise RuntimeError("a host ended by itself")
    play.note(f"{len(play.taken_up)} streams were taken up, {len(play.mixed)} "
              "of them went on at another version")
    if not play.taken_up:
        raise RuntimeError("no stream was taken up")
    if len(play.mixed) > ALLOWED:
        play.problem(f"ORDER: {len(play.mixed)} streams hold events of engines "
                     f"of two versions: {play.mixed}")


lab.main(CASE, run)
