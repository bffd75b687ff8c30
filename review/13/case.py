"""A drill: the store is away for a moment and comes back from an older copy. A config that the operator
acknowledges on the return stays out of force at daemons that run for 24 s or longer, until one of them
happens to read the store again for another reason."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))
from standins import (BOUNDS, TROUBLE, Sidecar, Store, Upstream, call, config, free_ports,
                      main, now, wait_until)

COPY_AGE_S = 4.0
AWAY_S = 1.5
CONFIG_APPLY_S = 2.0
STABLE_S = 3.0
OUTER_S = 5.0
# The daemons read all rows of the store up to 24 s after their start, and then from 38 s on.
CALM_S = 18.2
CHECK_S = 12.0

OLD = [("r-a", "/a/", "safe", "3000ms", "alpha"), ("r-m", "/m/", "safe", "3000ms", "alpha")]
NEW = [("r-a", "/a/", "safe", "3000ms", "alpha"), ("r-m", "/m/", "safe", "3000ms", "beta")]
SERVICES = ["alpha", "beta"]


async def case(record, folder, ended):
    store = Store(record)
    address = ("127.0.0.1", free_ports("127.0.0.1", 1)[0])
    store.era = 1
    await store.start(*address)
    store.put_config(config("r3", OLD, SERVICES))
    sidecars = []
    for index, service in enumerate(["alpha", "beta"]):
        sidecar = Sidecar(record, folder, address, service, BOUNDS)
        upstream = Upstream(record, service, f"i-{index}{service}")
        await upstream.start(*sidecar.app)
        await sidecar.start()
        ended.append(sidecar)
        asyncio.create_task(upstream.report(sidecar.control))
        sidecars.append(sidecar)
    for sidecar in sidecars:
        await wait_until(f"{sidecar.name} is ready", sidecar.is_ready)

    async def serves(path):
        answers = await asyncio.gather(*[call(record, one, path) for one in sidecars])
        return all(answer["status"] == 200 for answer in answers)

    await wait_until("the routes are served", lambda: serves("/m/1"))
    record.say(f"{now():.1f} s: served; {CALM_S:.0f} s of calm")
    await asyncio.sleep(CALM_S)
    copy = store.copy()
    # Written in the lost seconds, and written again on the return: upstreams' rows and the config.
    store.put_config(config("r4", OLD, SERVICES))
    for number in range(6):
        store.put_row("servers", f"i-{number}", "e30=")
    await asyncio.sleep(COPY_AGE_S)
    if TROUBLE:
        store.go_away()
        await asyncio.sleep(AWAY_S)
        store.restore(copy)
        store.put_config(config("r4", OLD, SERVICES))
        acked = now()
        store.put_config(config("r5", NEW, SERVICES))
        for number in range(6):
            store.put_row("servers", f"i-{number}", "e30=")
        store.come_back()
        record.say(f"{now():.1f} s: the store is back from a copy, era {store.era}, version {store.ver}; "
                   "r5 is acknowledged")
    else:
        acked = now()
        store.put_config(config("r5", NEW, SERVICES))
    checked_from = acked + max(CONFIG_APPLY_S + OUTER_S, STABLE_S) + 0.2
    await asyncio.sleep(checked_from - now())
    old, total, last_old = 0, 0, None
    while now() < checked_from + CHECK_S:
        for answer in await asyncio.gather(*[call(record, one, "/m/1") for one in sidecars]):
            total += 1
            if answer["status"] == 200 and b"alpha" in answer["body"]:
                old += 1
                last_old = answer["sent"]
        await asyncio.sleep(0.2)
    record.say(f"{old} of {total} requests, sent {checked_from - acked:.1f} s to "
               f"{checked_from - acked + CHECK_S:.1f} s after the ack, were run by the old service"
               + (f", the last {last_old - acked:.1f} s after it" if last_old else ""))
    return old == 0


main(case)
