"""Which peers a newer configuration is requested from, and when."""

import asyncio

from fakes import virtualloop
import pytest

from savorytally import clock
from savorytally.dataplane import configuration_pull
from savorytally.dataplane import frames


class Peer:
    """A stream to a peer that records when it got a PULL frame."""

    def __init__(self, address, asked):
        self.open = True
        self.peer = address
        self._asked = asked
        self._began = asyncio.get_running_loop().time()

    def send(self, kind, *fields):
        assert kind is frames.Kind.PULL
        after_s = asyncio.get_running_loop().time() - self._began
        self._asked.append((self.peer, round(after_s, 1)))


@pytest.fixture
def asked():
    return []


def play(announcements, asked, version=lambda: 1, closed=()):
    """Announce versions by address; return the requested peers with times."""

    async def work():
        near = "10.1.0."
        catch_up = configuration_pull.ConfigurationPull(
            version, lambda address: address.startswith(near)
        )
        for address, announced in announcements.items():
            peer = Peer(address, asked)
            catch_up.announced(peer, announced)
            peer.open = address not in closed
        await asyncio.sleep(10)
        return asked

    return virtualloop.run(clock.VirtualClock(), work())


class TestCatchUp:
    def test_own_view_may_catch_up_before_a_peer_is_asked(self, asked):
        versions = iter((1, 2))
        play({"10.1.0.2": 2}, asked, lambda: next(versions, 2))
        assert asked == []

    def test_peers_are_asked_one_after_the_other_until_one_answers(
        self, asked
    ):
        play({"10.1.0.2": 2, "10.1.0.3": 2}, asked)
        assert asked == [("10.1.0.2", 0.8), ("10.1.0.3", 1.4)]

    def test_newest_version_is_asked_for_and_near_peers_come_first(
        self, asked
    ):
        play({"10.2.0.2": 2, "10.1.0.3": 2, "10.2.0.4": 3}, asked)
        order = [address for address, _ in asked]
        assert order == ["10.2.0.4", "10.1.0.3", "10.2.0.2"]

    def test_stream_that_has_ended_is_not_asked(self, asked):
        play({"10.1.0.2": 2, "10.1.0.3": 2}, asked, closed=("10.1.0.2",))
        assert [address for address, _ in asked] == ["10.1.0.3"]
