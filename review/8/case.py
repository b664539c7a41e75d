"""Two nodes at once grant one tenant's allotment."""

import asyncio
import bisect
import pathlib
import sys
import zlib

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

import lab2  # noqa: E402

KEY = "6wsjnbanfqasnmgkcuyj"
TENANT = "pulo780"
RATE_PER_S, BURST = 40, 40
# From the pages: the bounds of the rule QUOTA.
WINDOW_S, OVERAGE, SLACK = 5.0, 0.25, 20
LIMIT = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
NODES = 7
# What the tenant sends, over all nodes. The site gives a tenant 1.6 times what
# it usually sends; for some seconds it sends 7.2 times its usual.
USUAL_PER_S = RATE_PER_S / 1.6
HOT_X, HOT_S = 7.2, 8.0


def most_in_window(times):
    """Return the largest number of times in a window, and its end."""
    times = sorted(times)
    found = (0, 0.0)
    for index, at in enumerate(times):
        first = bisect.bisect_left(times, at - WINDOW_S)
        found = max(found, (index + 1 - first, at))
    return found


async def case(lab):
    """Play the case; return whether the rule was broken."""
    routes = {"r-work": lab2.route("work", "/lots/")}
    tenants = {
        TENANT: {
            "api_keys": [KEY],
            "priority": 1,
            "rate_per_s": RATE_PER_S,
            "burst": BURST,
        }
    }
    await lab.start(
        ["work"] * NODES, config=lab2.configuration(7, routes, tenants)
    )
    record = lab.record
    ran = []

    def began(endpoint, connection):
        ran.append(record.now)

    for endpoint in lab.endpoints:
        endpoint.began = began
    up = set(lab.nodes)
    tasks = set()
    per_s = USUAL_PER_S

    async def client(node):
        while True:
            if node in up:
                task = asyncio.ensure_future(
                    lab.send(node.number, "/lots/1", key=KEY)
                )
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(NODES / per_s)

    clients = [asyncio.ensure_future(client(node)) for node in lab.nodes]
    await asyncio.sleep(10.0)
    # The product's own choice, so that each run shows the same.
    by_choice = sorted(
        lab.nodes,
        key=lambda x: zlib.crc32(f"{TENANT} {x.address}".encode()),
        reverse=True,
    )
    owner, following, *others = by_choice
    if lab2.trouble():
        lab.endpoints[owner.number - 1].crash()
        record.say(f"the endpoint beside node {owner.number} crashes for good")
        await asyncio.sleep(3 * lab2.HEARTBEAT_S + 0.5)

        async def restart(node):
            up.discard(node)
            await node.restart()
            await node.ready()
            up.add(node)

        restarts = []
        for node in others[:3]:
            record.say(f"node {node.number} is stopped and started again")
            restarts.append(asyncio.ensure_future(restart(node)))
            await asyncio.sleep(1.3)
        await asyncio.gather(*restarts)
    else:
        await asyncio.sleep(12.0)
    await asyncio.sleep(1.0)
    record.say(f"the tenant sends {HOT_X} times its usual")
    per_s = USUAL_PER_S * HOT_X
    await asyncio.sleep(HOT_S)
    for item in clients:
        item.cancel()
    if tasks:
        await asyncio.wait(tasks, timeout=6)
    count, at = most_in_window(ran)
    record.say(
        f"requests of the tenant that ran in {WINDOW_S:.0f} s: {count} at "
        f"most, up to {at:.2f} s; the limit is {LIMIT:.0f}"
    )
    return count > LIMIT


if __name__ == "__main__":
    lab2.main(__file__, case)
