"""Which peers a newer configuration is requested from, and when."""

import asyncio

from fakes import virtual_loop
import pytest

from savorytally import clock
from savorytally.dataplane import configuration_pull
from savorytally.dataplane import frames


class Peer:
    """A stream to a peer that records when it got a PULL frame."""

    def __init__(self, address, pulls):
        self.open = True
        self.peer = address
        self._pulls = pulls
        self._began = asyncio.get_running_loop().time()

    def send(self, kind, *fields):
        assert kind is frames.Kind.PULL
        after_s = asyncio.get_running_loop().time() - self._began
        self._pulls.append((self.peer, round(after_s, 1)))


@pytest.fixture
def pulls():
    return []


def run_announcements(announcements, pulls, version=lambda: 1, closed=()):
    """Announce versions by address; return the requested peers with times."""

    async def work():
        near = "10.1.0."
        puller = configuration_pull.ConfigurationPull(
            version, lambda address: address.startswith(near)
        )
        for address, announced in announcements.items():
            peer = Peer(address, pulls)
            puller.announced(peer, announced)
            peer.open = address not in closed
        await asyncio.sleep(10)
        return pulls

    return virtual_loop.run(clock.VirtualClock(), work())


class TestConfigurationPull:
    def test_no_pull_if_the_node_reads_the_version_itself(self, pulls):
        versions = iter((1, 2))
        run_announcements({"10.1.0.2": 2}, pulls, lambda: next(versions, 2))
        assert pulls == []

    def test_next_peer_is_tried_after_a_timeout(self, pulls):
        run_announcements({"10.1.0.2": 2, "10.1.0.3": 2}, pulls)
        assert pulls == [("10.1.0.2", 0.8), ("10.1.0.3", 1.4)]

    def test_newest_version_and_near_peers_go_first(self, pulls):
        run_announcements({"10.2.0.2": 2, "10.1.0.3": 2, "10.2.0.4": 3}, pulls)
        order = [address for address, _ in pulls]
        assert order == ["10.2.0.4", "10.1.0.3", "10.2.0.2"]

    def test_closed_stream_gets_no_pull(self, pulls):
        run_announcements(
            {"10.1.0.2": 2, "10.1.0.3": 2}, pulls, closed=("10.1.0.2",)
        )
        assert [address for address, _ in pulls] == ["10.1.0.3"]
