"""Calls that wait at a gate reach an endpoint that has long been removed."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

import lab2  # noqa: E402

KEY = "6wsjnbanfqasnmgkcuyj"
TENANT = "pulo780"
# From the pages: the bound `drain`.
DRAIN_S = 2.0
CALLS = 4
DESKS = 4
WORK_S = 0.25
SLOW_X = 12
SLOTS = 14
# Traffic that takes 85 of 100 of the called endpoints' slots.
SENT_PER_S = 0.85 * 3 * SLOTS / WORK_S / CALLS


async def case(lab):
    """Play the case; return whether the rule was broken."""
    routes = {
        "r-desk": lab2.route("desk", "/desk/", timeout="6000ms"),
        "r-ledger": lab2.route(
            "ledger",
            "/ledger/",
            timeout="3000ms",
            target_latency="1200ms",
            auth_exempt=True,
        ),
    }
    tenants = {
        TENANT: {
            "api_keys": [KEY],
            "priority": 1,
            "rate_per_s": 0,
            "burst": 0,
        }
    }
    await lab.start(
        ["desk"] * DESKS + ["ledger"] * 3,
        slots=SLOTS,
        config=lab2.configuration(7, routes, tenants),
    )
    record = lab.record
    arrivals = []

    async def calls(endpoint, connection, headers):
        """Make the calls of a request, as an endpoint does while it runs."""
        number = int(endpoint.address.rpartition(".")[2])
        name = headers[lab2.ATTEMPT]
        budget_ms = min(3000, int(headers[lab2.DEADLINE]))
        found = await asyncio.gather(
            *(
                lab.send(
                    number,
                    f"/ledger/{index}",
                    name=f"{name}.{index}",
                    budget_ms=budget_ms,
                )
                for index in range(CALLS)
            )
        )
        return 200 if set(found) == {200} else 500

    def arrived(endpoint, connection):
        arrivals.append((record.now, endpoint))

    for endpoint in lab.endpoints[:DESKS]:
        endpoint.calls = calls
        endpoint.slots = 200
        endpoint.register()
    slow = set()

    def work_s(endpoint):
        return lambda connection: WORK_S * (SLOW_X if endpoint in slow else 1)

    for endpoint in lab.endpoints[DESKS:]:
        endpoint.arrived = arrived
        endpoint.work_s = work_s(endpoint)
    tasks = set()
    statuses = []

    async def one(number):
        statuses.append(
            await lab.send(number, "/desk/1", key=KEY, budget_ms=6000)
        )

    async def clients(number):
        while True:
            task = asyncio.ensure_future(one(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(DESKS / SENT_PER_S)

    senders = [asyncio.ensure_future(clients(n)) for n in range(1, DESKS + 1)]
    await asyncio.sleep(6.0)
    leaving = lab.endpoints[DESKS]
    if lab2.trouble():
        slow.add(leaving)
        record.say(f"{leaving.instance_id} turns slow, {SLOW_X} times")
        await asyncio.sleep(0.7)
    # It never reports that it drains, and serves for some seconds more.
    leaving.leaving = True
    gone_at = leaving.unregister()
    record.say(f"the entry of {leaving.instance_id} is removed")
    await asyncio.sleep(5.0)
    leaving.stop()
    for sender in senders:
        sender.cancel()
    if tasks:
        await asyncio.wait(tasks, timeout=7)
    after = [
        at - gone_at
        for at, endpoint in arrivals
        if endpoint is leaving and at > gone_at
    ]
    late = [at for at in after if at > DRAIN_S]
    record.say(
        f"{len(after)} requests have reached it since then, {len(late)} of "
        f"them after {DRAIN_S} s, the last after {max(after, default=0):.2f} "
        f"s; {statuses.count(200)} of {len(statuses)} were served"
    )
    return bool(late)


if __name__ == "__main__":
    lab2.main(__file__, case)
