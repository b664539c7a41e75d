"""Work goes on for a client that has left with many requests under way."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

import lab2  # noqa: E402

KEY = "6wsjnbanfqasnmgkcuyj"
TENANT = "pulo780"
# Requests that the leaving client sends before the first is answered.
SENT = 80
WORK_S = 2.5
LEAVES_AFTER_S = 0.5
# From the pages: half a second, and a quarter of the requests.
NOTICE_S = 0.5
SHARE_MAX = 0.25


async def case(lab):
    """Play the case; return whether the rule was broken."""
    routes = {
        "r-front": lab2.route("front", "/front/"),
        "r-work": lab2.route(
            "work", "/work/", timeout="5000ms", target_latency="5000ms"
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
        ["front", "work", "work", "work"],
        config=lab2.configuration(7, routes, tenants),
    )
    record = lab.record
    # The requests at work, by identifier, with the start; and those dropped.
    began_at, ended_at = {}, {}

    async def calls(endpoint, connection, headers):
        name = headers[lab2.ATTEMPT]
        if not connection.target.endswith(b"/long"):
            return 200
        began_at[name] = record.now
        try:
            await asyncio.sleep(WORK_S)
        finally:
            ended_at[name] = record.now
        return 200

    for endpoint in lab.endpoints[1:]:
        endpoint.calls = calls
    tasks = set()

    async def others():
        # Four other clients stay: one in five leaves.
        while True:
            for _ in range(4):
                task = asyncio.ensure_future(
                    lab.send(1, "/work/short", key=KEY)
                )
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.4)

    sender = asyncio.ensure_future(others())
    await asyncio.sleep(4.0)
    reader, writer = await asyncio.open_connection(
        f"{lab.net}.1", lab2.OUTBOUND
    )
    names = [lab.new_id() for _ in range(SENT)]
    for name in names:
        record.note("sent", id=name, target="/work/long")
        writer.write(lab2.encode("/work/long", name, key=KEY))
    await writer.drain()
    statuses = []
    if lab2.trouble():
        await asyncio.sleep(LEAVES_AFTER_S)
        left_at = record.now
        writer.close()
        record.say(f"the client leaves, {len(began_at)} requests are at work")
        await asyncio.sleep(8.0)
    else:
        for _ in names:
            statuses.append((await lab2.read_response(reader))[0])
        left_at = record.now
        writer.close()
        record.say(f"{statuses.count(200)} of {SENT} were served")
        await asyncio.sleep(2.0)
    sender.cancel()
    if tasks:
        await asyncio.wait(tasks, timeout=6)
    # Those that would have lasted until half a second after it left.
    lasting = [
        name
        for name, at in began_at.items()
        if at < left_at and at + WORK_S > left_at + NOTICE_S
    ]
    still = [
        name
        for name in lasting
        if ended_at.get(name, record.now) > left_at + NOTICE_S
    ]
    late = [at for at in began_at.values() if at > left_at + NOTICE_S]
    record.say(
        f"half a second later, endpoints are still at work on {len(still)} "
        f"of the {len(lasting)} that last so long; {len(late)} have reached "
        "endpoints since then"
    )
    return bool(lasting) and len(still) > SHARE_MAX * len(lasting)


if __name__ == "__main__":
    lab2.main(__file__, case)
