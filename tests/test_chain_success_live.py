"""Chains whose last service rejects calls, on the simulated network."""

import asyncio
import random

from fakes import advertised
from fakes import mesh
from fakes import net
import pytest

SERVICES = {
    "drawers": ["low-a", "low-a"],
    "desk": ["low-a"],
    "ledger": ["low-a", "low-a"],
}
CALLS = 4
REJECTION_S = 8.5
REJECTED = 0.55
# Targets: share of a day's requests that fail after they have begun, and time
# until all are admitted after the rejections.
FAILED_MAX = 0.03
RECOVERY_S = 2.0


def run_day(rate_per_s, refuse=True):
    """Return the load and the direct calls of a day with rejections.

    The day has 8 s before and 13.5 s after the rejections.
    """

    async def work():
        cluster = mesh.Mesh()
        config = mesh.configuration(1)
        config["routes"]["r-ledger"] = mesh.route("ledger", auth_exempt=True)
        await cluster.start(
            SERVICES,
            slots=64,
            config=config,
            refuse_failing_chains=refuse,
        )
        source = random.Random(3)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + 8.0 + REJECTION_S

        def rejects():
            rejecting = ends_at - REJECTION_S <= loop.time() < ends_at
            return rejecting and source.random() < REJECTED

        def make_calls(host):
            async def calls(headers):
                left_ms = int(headers["x-savorytally-deadline-ms"])
                for _ in range(CALLS):
                    reply = await cluster.send(
                        host, "/ledger/1", key=None, remaining_ms=left_ms
                    )
                    if reply.status != 200:
                        return 500
                return 200

            return calls

        for host in cluster.hosts:
            host.upstream.work_s = 0.02
            if host.service_name == "ledger":
                host.upstream.rejects = rejects
            else:
                host.upstream.calls = make_calls(host)
        load = advertised.Load(cluster)
        direct = advertised.Load(cluster, "/ledger/1")
        await asyncio.gather(load.run(rate_per_s, 30.0), direct.run(5, 30.0))
        return load, direct, ends_at

    return net.run(work)


@pytest.fixture(scope="module")
def day():
    """A day with 100 requests per second."""
    return run_day(100)


class TestChains:
    def test_few_requests_fail_after_they_have_begun(self, day):
        """Without refusals, most chains fail midway during the rejections."""
        load, _, _ = day
        failed = [item for item in load.sent if item.status == 500]
        assert len(failed) <= FAILED_MAX * len(load.sent)

    def test_refusals_last_as_long_as_the_rejections(self, day):
        load, _, ends_at = day
        began_at = ends_at - REJECTION_S
        late = [
            item for item in load.sent if began_at + 2.0 < item.at < ends_at
        ]
        refused = [item for item in late if item.status == 503]
        assert len(refused) >= 0.9 * len(late)
        # Callers have 2 s, of which they wait a third.
        assert all(0.5 <= item.retry_after_s <= 0.67 for item in refused)
        assert load.served_fraction(ends_at + RECOVERY_S) == 1.0

    def test_chains_run_unless_operators_ask_for_refusals(self):
        # On the users' days, refusals served fewer callers.
        load, _, ends_at = run_day(100, refuse=False)
        late = [
            item
            for item in load.sent
            if ends_at - REJECTION_S + 2.0 < item.at < ends_at
        ]
        assert sum(item.status == 503 for item in late) <= 0.01 * len(late)

    def test_direct_callers_are_served(self, day):
        _, direct, ends_at = day
        sent = [
            item
            for item in direct.sent
            if ends_at - REJECTION_S <= item.at < ends_at
        ]
        served = sum(item.status == 200 for item in sent)
        # Two standard deviations below what the upstreams accept.
        accepted = (1.0 - REJECTED) * len(sent)
        assert served >= accepted - 2.0 * (accepted * REJECTED) ** 0.5
