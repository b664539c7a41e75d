"""A restarted node lets a request run again that crashes endpoints."""

import asyncio
import itertools
import pathlib
import sys
import zlib

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

import lab2  # noqa: E402

KEY = "6wsjnbanfqasnmgkcuyj"
TENANT = "pulo780"
POISON = "/work/poison"
# From the pages: `touch`, and the retries that the rule allows.
TOUCH_S = 3.0
RETRIES_MAX = 3
BACK_AFTER_S = 2.0


def counting_address(net, nodes):
    """Return the node that counts the crashes, which isn't restarted here.

    Chosen as the product chooses it, so that each run shows the same.
    """
    value = zlib.crc32(TENANT.encode())
    value = zlib.crc32(b"GET", value)
    value = zlib.crc32(POISON.encode(), value)
    value = zlib.crc32(b"", value)
    addresses = [f"{net}.{number}" for number in range(1, nodes + 1)]
    return max(addresses, key=lambda a: zlib.crc32(f"{value} {a}".encode()))


async def case(lab):
    """Play the case; return whether the rule was broken."""
    services = ["front", *["work"] * 5]
    routes = {
        "r-front": lab2.route("front", "/front/"),
        "r-work": lab2.route("work", "/work/"),
    }
    tenants = {
        TENANT: {
            "api_keys": [KEY],
            "priority": 1,
            "rate_per_s": 0,
            "burst": 0,
        }
    }
    await lab.start(services, config=lab2.configuration(7, routes, tenants))
    record = lab.record
    crashes, arrivals = [], []

    def arrived(endpoint, connection):
        if connection.target.decode() == POISON:
            arrivals.append(record.now)

    def began(endpoint, connection):
        if connection.target.decode() == POISON:
            crashes.append(record.now)
            endpoint.crash(BACK_AFTER_S)

    for endpoint in lab.endpoints:
        endpoint.arrived, endpoint.began = arrived, began
    tasks, down = set(), set()
    statuses = {"poison": [], "others": []}

    async def one(number, target, kind):
        statuses[kind].append(
            (record.now, await lab.send(number, target, key=KEY))
        )

    async def keep_sending(target, kind, gap_s):
        for number in itertools.cycle(range(1, len(services) + 1)):
            if number in down:
                continue
            task = asyncio.ensure_future(one(number, target, kind))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(gap_s)

    senders = [
        asyncio.ensure_future(keep_sending("/work/1", "others", 0.05)),
        asyncio.ensure_future(keep_sending(POISON, "poison", 0.25)),
    ]
    while len(crashes) < 3 and record.now < 40:
        await asyncio.sleep(0.05)
    if len(crashes) < 3:
        raise lab2.CannotRun("the request has not crashed three endpoints")
    third = crashes[2]
    record.say(f"the request has crashed three endpoints by {third:.2f} s")
    await asyncio.sleep(TOUCH_S + 2.0)
    if lab2.trouble():
        counting = counting_address(lab.net, len(services))
        node = next(x for x in lab.nodes[1:] if x.address != counting)
        record.say(f"node {node.number} is stopped and started again")
        down.add(node.number)
        await node.restart()
        await node.ready()
        await asyncio.sleep(TOUCH_S + 0.5)
        down.clear()
    measured = record.now
    await asyncio.sleep(40.0)
    for sender in senders:
        sender.cancel()
    if tasks:
        await asyncio.wait(tasks, timeout=6)
    late = [at for at in arrivals if at > third + TOUCH_S]
    record.say(f"retries that reached endpoints since then: {len(late)}")
    lost = [s for at, s in statuses["others"] if at > measured and s != 200]
    sent = [s for at, s in statuses["others"] if at > measured]
    record.say(
        f"of {len(sent)} other requests, {len(lost)} were not served; the "
        f"endpoints crashed {sum(at > measured for at in crashes)} times"
    )
    return len(late) > RETRIES_MAX


if __name__ == "__main__":
    lab2.main(__file__, case)
