"""A long queue whose calls are all refused as they start ends in order."""

import asyncio

from fakes import stops

REQUESTS = 900


def test_long_queue_of_refused_calls_is_refused():
    """Each refused call started the next; the stack ended, and the stream."""

    async def scenario(cluster):
        leaving = stops.hosts_of(cluster, "drawers")[0]
        sender = stops.hosts_of(cluster, "desk")[0]
        stops.set_work_s(cluster, 0.05)
        sent = [
            stops.send_later(cluster, sender, f"r{number}")
            for number in range(REQUESTS)
        ]
        await asyncio.sleep(1.0)
        waiting = leaving.node.gate.queue.waiting
        leaving.node.gate.stop_schedule = NoWork()
        replies = await asyncio.gather(*sent)
        return waiting, [reply.status for reply in replies]

    waiting, statuses = stops.run_scenario(
        scenario, slots=2, lookup_kind="unsafe"
    )
    assert waiting > REQUESTS / 4
    assert set(statuses) <= {200, 503}


class NoWork:
    """The schedule of a stop in which no call may be begun any more."""

    work_ends = float("-inf")
    last_deadline = float("-inf")
