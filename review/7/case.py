"""A node that is suspended as it is stopped is killed amid its work."""

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

import lab2  # noqa: E402

KEY = "6wsjnbanfqasnmgkcuyj"
TENANT = "pulo780"
# From the pages: `touch`, `grace`, and what the rule doesn't count.
TOUCH_S = 3.0
GRACE_S = 6.0
EARLY_S = 3.0
LAST_SIXTH_S = GRACE_S * 5 / 6
FROZEN_S = 2.0
MACHINES = 10
CLIENTS = 20
WORK_S = 0.4
BUDGET_MS = 1200


async def case(lab):
    """Play the case; return whether the rule was broken."""
    routes = {
        "r-front": lab2.route("front", "/front/"),
        "r-pay": lab2.route(
            "work",
            "/pay/",
            kind="unsafe",
            timeout="1200ms",
            target_latency="1200ms",
            priority=0,
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
        ["front"] + ["work"] * (MACHINES - 1),
        zones=["z1"] + ["z2"] * (MACHINES - 1),
        config=lab2.configuration(7, routes, tenants),
    )
    record = lab.record
    passed_on = set()
    # Requests that ended without an answer: name, when it was sent, when the
    # connection ended.
    cut = []
    statuses = []

    def began(endpoint, connection):
        passed_on.add(connection.headers[lab2.ATTEMPT])

    for endpoint in lab.endpoints[1:]:
        endpoint.began = began
        endpoint.work_s = lambda connection: WORK_S

    async def client():
        """Send one request after the other on a kept connection."""
        reader = writer = None
        while True:
            name = lab.new_id()
            try:
                if writer is None:
                    async with asyncio.timeout(1.0):
                        reader, writer = await asyncio.open_connection(
                            f"{lab.net}.1", lab2.OUTBOUND
                        )
            except (OSError, TimeoutError):
                await asyncio.sleep(0.1)
                continue
            sent_at = record.now
            record.note("sent", id=name)
            status, headers = 0, {}
            try:
                writer.write(
                    lab2.encode(
                        "/pay/1",
                        name,
                        method="POST",
                        key=KEY,
                        budget_ms=BUDGET_MS,
                        body=b"x" * 100,
                    )
                )
                async with asyncio.timeout(BUDGET_MS / 1000):
                    status, headers, _ = await lab2.read_response(reader)
                record.note("answered", id=name, status=status)
                statuses.append(status)
            except TimeoutError:
                record.note("given_up", id=name)
            except (OSError, EOFError):
                record.note("cut", id=name)
                cut.append((name, sent_at, record.now))
            if not status or headers.get("connection") == "close":
                writer.close()
                writer = None
            await asyncio.sleep(random.uniform(0.05, 0.4))

    clients = [asyncio.ensure_future(client()) for _ in range(CLIENTS)]
    await asyncio.sleep(6.0)
    node = lab.nodes[0]
    calm_from = 0.0
    if lab2.trouble():
        record.say(f"the machine is suspended for {FROZEN_S} s")
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(0.1)
    record.say("SIGTERM")
    node.signal(signal.SIGTERM)
    stopped_at = record.now
    ending = asyncio.ensure_future(node.stopped(GRACE_S))
    if lab2.trouble():
        await asyncio.sleep(FROZEN_S - 0.1)
        node.signal(signal.SIGCONT)
        calm_from = record.now + TOUCH_S
    await ending
    lasted_s = record.now - stopped_at
    record.say(f"the node has ended {lasted_s:.2f} s after SIGTERM")
    node.start()
    await asyncio.sleep(3.0)
    for item in clients:
        item.cancel()

    def excused(sent_at, ended_at):
        early = sent_at <= stopped_at + EARLY_S
        return early and ended_at >= stopped_at + LAST_SIXTH_S

    lost = [
        (name, sent_at, ended_at)
        for name, sent_at, ended_at in cut
        if name in passed_on
        and sent_at >= calm_from
        and ended_at >= stopped_at
        and not excused(sent_at, ended_at)
    ]
    for name, sent_at, ended_at in lost:
        record.note(
            "lost",
            id=name,
            sent_s=f"{sent_at - stopped_at:.3f}",
            cut_s=f"{ended_at - stopped_at:.3f}",
        )
    record.say(
        f"{len(cut)} requests were cut, {len(lost)} of them had been passed "
        f"on and count; {statuses.count(200)} were served"
    )
    return bool(lost)


if __name__ == "__main__":
    lab2.main(__file__, case)
