"""A daemon is killed while the upstream beside it drains. The upstream leaves and starts again under
its id. From then on each restart of the daemon keeps the sound upstream out of use for 30 s, so after
the final fault (all processes are killed) nothing is served within `recovery` (15 s)."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))
from standins import (BOUNDS, TROUBLE, CannotRun, Sidecar, Store, Upstream, call, config, free_ports,
                      main, now, request, wait_until)
import signal

RECOVERY_S = 15.0
DOWN_S = 1.0
WATCH_S = 12.0
RATE_PER_S = 20.0
ROUTES = [("r-a", "/a/", "safe", "2000ms", "alpha")]
SERVICES = ["alpha", "beta"]


async def leave_and_start_again(record, sidecar, upstream, kill_daemon):
    """The upstream leaves as planned and starts again under its id, with a later `born`."""
    upstream.state = "draining"
    if not await upstream.report_once(sidecar.control):
        raise CannotRun("the draining upstream got no ack")
    record.say(f"{now():.1f} s: {upstream.instance} reports draining and gets its ack")
    await asyncio.sleep(0.3)
    if kill_daemon:
        sidecar.signal(signal.SIGKILL)
        await sidecar.process.wait()
        await asyncio.sleep(DOWN_S)
        await sidecar.start()
        await wait_until(f"{sidecar.name} is ready again", sidecar.is_ready)
    await asyncio.sleep(3.0)
    answer = await request(sidecar.control, "DELETE", f"/instances/{upstream.instance}", [],
                           timeout_s=1)
    if answer is None or answer["status"] // 100 != 2:
        raise CannotRun("the leaving upstream got no ack")
    record.say(f"{now():.1f} s: {upstream.instance} says that it leaves, gets its ack and exits")
    upstream.reports.cancel()
    upstream.stop()
    await asyncio.sleep(1.0)
    again = Upstream(record, upstream.service, upstream.instance)
    await again.start(*sidecar.app)
    again.reports = asyncio.create_task(again.report(sidecar.control))
    record.say(f"{now():.1f} s: {again.instance} starts again, born {again.born - upstream.born} ms later")
    return again


async def case(record, folder, ended):
    store = Store(record)
    store.era = 1
    address = ("127.0.0.1", free_ports("127.0.0.1", 1)[0])
    await store.start(*address)
    store.put_config(config("r5", ROUTES, SERVICES))
    sidecars, upstreams = [], []
    for index, service in enumerate(["alpha", "alpha", "beta", "beta"]):
        sidecar = Sidecar(record, folder, address, service, BOUNDS)
        upstream = Upstream(record, service, f"i-{index}{service}")
        await upstream.start(*sidecar.app)
        await sidecar.start()
        ended.append(sidecar)
        upstream.reports = asyncio.create_task(upstream.report(sidecar.control))
        sidecars.append(sidecar)
        upstreams.append(upstream)
    for sidecar in sidecars:
        await wait_until(f"{sidecar.name} is ready", sidecar.is_ready)
    answers, calls = [], set()

    async def one(sidecar):
        answers.append(await call(record, sidecar, "/a/1", deadline_ms=4000))

    async def traffic():
        turn = 0
        while True:
            # Clients are on the machines of the other service.
            calls.add(asyncio.create_task(one(sidecars[2 + turn % 2])))
            calls.difference_update([task for task in calls if task.done()])
            turn += 1
            await asyncio.sleep(1 / RATE_PER_S)

    def served(since, until):
        sent = [a for a in answers if since <= a["sent"] < until]
        return sum(a["status"] == 200 for a in sent), len(sent)

    async def is_served():
        return (await call(record, sidecars[2], "/a/0"))["status"] == 200

    await wait_until("the service is served", is_served)
    start = now()
    sending = asyncio.create_task(traffic())
    await asyncio.sleep(5)
    for index in range(2):
        upstreams[index] = await leave_and_start_again(record, sidecars[index], upstreams[index], TROUBLE)
    # Until the first hold of 30 s is over and both are served again for some seconds.
    await wait_until("the service is served again", is_served, 45)
    await asyncio.sleep(14)
    fault = now()
    record.say(f"{fault:.1f} s: final fault, all processes of the system are killed")
    for sidecar in sidecars:
        sidecar.signal(signal.SIGKILL)
    for sidecar in sidecars:
        await sidecar.process.wait()
    await asyncio.sleep(DOWN_S)
    for sidecar in sidecars:
        await sidecar.start()
    for sidecar in sidecars:
        await wait_until(f"{sidecar.name} is ready again", sidecar.is_ready)
    back = now()
    record.say(f"{back:.1f} s: all are back and ready")
    await asyncio.sleep(RECOVERY_S + WATCH_S + 2)
    sending.cancel()
    before, before_all = served(start, fault)
    last, last_all = served(fault - 10, fault)
    after, after_all = served(back + RECOVERY_S, back + RECOVERY_S + WATCH_S)
    record.say(f"served before the fault: {before} of {before_all}, in the last 10 s {last} of {last_all}")
    record.say(f"served of those sent {RECOVERY_S} to {RECOVERY_S + WATCH_S} s after the machines "
               f"were back: {after} of {after_all}")
    if before * 4 < before_all or last * 4 < last_all:
        raise CannotRun("less than a quarter was served before the fault")
    return after * 4 >= after_all


main(case)
