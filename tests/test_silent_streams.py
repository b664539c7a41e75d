"""Streams between nodes fall silent while they carry no calls."""

import asyncio

from fakes import mesh
from fakes import net

from savorytally.decisions import shared_rates

# Time within which the users require a failed host to be noticed.
NOTICED_S = 2.0


def rate_limited():
    """Return a configuration that limits the rate of the organisation."""
    config = mesh.configuration(1)
    config["tenants"]["growers"].update(rate_per_s=200, burst=200)
    return config


class TestRateOwner:
    def test_silent_stream_to_a_rate_owner_is_replaced(self):
        """Only token requests use it, so that no call notices the silence."""

        async def scenario():
            cluster = mesh.Mesh()
            places = ["low-a", "low-b"]
            await cluster.start({"drawers": places}, config=rate_limited())
            await asyncio.sleep(6.0)
            owner = shared_rates.rate_owner(
                "growers", [host.address for host in cluster.hosts]
            )
            (sender,) = (
                host for host in cluster.hosts if host.address != owner
            )
            statuses = [(await cluster.send(sender)).status]
            cluster.net.drop_data(owner, mesh.PEER_PORT)
            for _ in range(50):
                await cluster.send(sender)
                await asyncio.sleep(NOTICED_S / 50)
            for _ in range(20):
                statuses.append((await cluster.send(sender)).status)
                await asyncio.sleep(0.05)
            return statuses

        assert set(net.run(scenario)) == {200}


class TestPeriodicWork:
    def test_failed_tick_does_not_end_the_periodic_work(self, monkeypatch):
        """Silent streams are no longer noticed when nothing ticks."""
        ticks = []

        async def scenario():
            cluster = mesh.Mesh()
            await cluster.start({"drawers": ["low-a"]})
            rates = cluster.hosts[0].node.rates

            def fail(now):
                ticks.append(now)
                raise ValueError("fault")

            monkeypatch.setattr(rates, "tick", fail)
            await asyncio.sleep(NOTICED_S)

        net.run(scenario)
        assert len(ticks) > 1
