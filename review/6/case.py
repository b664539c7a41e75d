"""An entry of another writer keeps a request from being held back."""

import asyncio
import pathlib
import sys
import zlib

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

import lab2  # noqa: E402

KEY = "6wsjnbanfqasnmgkcuyj"
TENANT = "pulo780"
POISON = "/lots/poison"
# From the pages: `touch`, and the retries that the rule allows.
TOUCH_S = 3.0
RETRIES_MAX = 3
BACK_AFTER_S = 2.0
ENTRY = 1


def foreign_address(net, nodes):
    """Return an address without a machine for the other writer's entry.

    It is one that the product chooses to count the crashes of the request,
    so that each run shows the same. With any other address, this happens to
    one request in as many as there are addresses.
    """
    value = zlib.crc32(TENANT.encode())
    value = zlib.crc32(b"GET", value)
    value = zlib.crc32(POISON.encode(), value)
    value = zlib.crc32(b"", value)
    machines = {f"{net}.{number}" for number in range(1, nodes + 1)}
    for last in range(100, 240):
        address = f"{net}.{last}"
        if address == max(
            machines | {address},
            key=lambda a: zlib.crc32(f"{value} {a}".encode()),
        ):
            return address
    raise lab2.CannotRun("no address found")


async def case(lab):
    """Play the case; return whether the rule was broken."""
    services = ["front", *["work"] * 5]
    routes = {
        "r-front": lab2.route("front", "/front/"),
        "r-work": lab2.route("work", "/lots/"),
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
    if lab2.trouble():
        address = foreign_address(lab.net, len(services))
        lab.store.put(
            "servers/i-0ther",
            {
                "service": "not-named-here",
                "address": f"{address}:{lab2.APP}",
                "zone": "z1",
                "version": "v1",
                "slots": 36,
                "state": "ready",
                "cold_remaining": "0ms",
                "sequence": 1,
            },
        )
        record.say("another writer's entry names an unknown service")
    await asyncio.sleep(4.0)
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
    tasks = set()
    statuses = []

    async def one(target):
        began_at = record.now
        status = await lab.send(ENTRY, target, key=KEY)
        if target != POISON:
            statuses.append((began_at, status))

    async def keep_sending(target, gap_s):
        while True:
            task = asyncio.ensure_future(one(target))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(gap_s)

    senders = [
        asyncio.ensure_future(keep_sending("/lots/1", 0.05)),
        asyncio.ensure_future(keep_sending(POISON, 0.7)),
    ]
    await asyncio.sleep(30.0)
    for sender in senders:
        sender.cancel()
    if tasks:
        await asyncio.wait(tasks, timeout=6)
    if len(crashes) < 3:
        raise lab2.CannotRun("the request has not crashed three endpoints")
    third = crashes[2]
    late = [at for at in arrivals if at > third + TOUCH_S]
    record.say(
        f"the third crash was at {third:.2f} s; {len(late)} retries have "
        f"reached endpoints since {TOUCH_S} s after it"
    )
    others = [status for at, status in statuses if at > third + TOUCH_S]
    record.say(
        f"of {len(others)} other requests since then, "
        f"{len(others) - others.count(200)} were not served"
    )
    return len(late) > RETRIES_MAX


if __name__ == "__main__":
    lab2.main(__file__, case)
