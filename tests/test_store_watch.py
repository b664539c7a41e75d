"""Reads of a store that loses its history or is restored from a copy."""

import asyncio
import random

from fakes import virtual_loop
import pytest

from savorytally import clock
from savorytally.dataplane import store_watch
from savorytally.dataplane import upstream_list
from savorytally.world import store_position

Position = store_position.Position


def changes(after, position):
    return store_watch.Changes(after, position, None, {}, ())


class Source:
    """A store that responds as a function of the number of reads."""

    connected = True

    def drop_idle(self):
        pass

    def __init__(self, respond):
        self.reads = []
        self._respond = respond

    async def snapshot(self, era):
        return await self._read(None, 0.0)

    async def changes(self, after, wait_s):
        return await self._read(after, wait_s)

    async def _read(self, after, wait_s):
        await asyncio.sleep(0.004)
        self.reads.append((after, wait_s))
        return await self._respond(after, wait_s, len(self.reads))


class Subscriber:
    def __init__(self):
        self.list = upstream_list.UpstreamList()
        self.faults = []
        # Whether other readers confirm the position all the time.
        self.confirmed = False

    @property
    def position(self):
        return self.list.position

    @property
    def confirmed_at(self):
        return asyncio.get_running_loop().time() if self.confirmed else 0.0

    def published(self, published):
        self.list.apply(published)

    def source_state(self, reachable, why):
        self.faults.append(why)

    def store_read(self, result):
        pass

    def watch_lost(self, waited_s):
        pass


def play(respond, seconds, known=None, connected=True, confirmed=False):
    """Watch a store for some seconds; return the source and subscriber."""

    async def work():
        subscriber = Subscriber()
        subscriber.confirmed = confirmed
        if known is not None:
            subscriber.published(changes(None, known))
        source = Source(respond)
        source.connected = connected
        watch = store_watch.StoreWatch(
            source, subscriber, random.Random(1), 0.6
        )
        watch.start()
        await asyncio.sleep(seconds)
        watch.stop()
        return source, subscriber

    virtual = clock.VirtualClock()
    with asyncio.Runner(
        loop_factory=lambda: virtual_loop.VirtualLoop(virtual)
    ) as runner:
        return runner.run(work())


def test_watch_outlives_any_exception():
    """The task ended, and the host still claimed to read the store."""

    async def respond(after, wait_s, reads):
        if reads == 2:
            raise KeyError("a")
        await asyncio.sleep(wait_s)
        return changes(after, Position(1, 20 + reads))

    source, subscriber = play(respond, 30.0)
    assert subscriber.faults == ["", "KeyError('a')", ""]
    # What was applied before is uncertain, so a snapshot is read.
    assert [after for after, _ in source.reads[:3]] == [
        None,
        Position(1, 21),
        None,
    ]


class TestEras:
    @pytest.mark.parametrize("revision", [15, 20, 25])
    def test_changes_of_another_era_are_applied(self, revision):
        """A watch is also answered if the revision was assigned again."""
        restored = Position(2, revision)

        async def respond(after, wait_s, reads):
            if after is not None and after.era == 2:
                await asyncio.sleep(wait_s)
            return changes(after, restored)

        source, subscriber = play(respond, 3.0, known=Position(1, 20))
        assert subscriber.position == restored
        # The watch, the snapshot, and the watch of the new era.
        assert [after for after, _ in source.reads[:3]] == [
            Position(1, 20),
            None,
            restored,
        ]

    def test_answer_of_an_earlier_era_is_applied(self):
        async def respond(after, wait_s, reads):
            return changes(after, Position(1, 30))

        source, subscriber = play(respond, 5.0, known=Position(2, 20))
        assert subscriber.position == Position(2, 20)
        assert subscriber.faults[0] == "era 1 after era 2"
        assert len(source.reads) < 15

    def test_era_is_missed(self):
        async def respond(after, wait_s, reads):
            return changes(after, Position(4, 3))

        _, subscriber = play(respond, 1.0, known=Position(1, 20))
        assert subscriber.position == Position(4, 3)

    def test_watch_waits_on_a_new_connection(self):
        """A change confirmed meanwhile would be in force only at its end."""

        async def respond(after, wait_s, reads):
            await asyncio.sleep(wait_s)
            return changes(after, Position(1, 20))

        source, _ = play(respond, 61.0, Position(1, 20), False, True)
        waits = [wait_s for _, wait_s in source.reads]
        assert waits[:6] == [0.0, store_watch.WATCH_S] * 3


class TestHistoryLost:
    async def _lost(self, after, wait_s, reads):
        if after is not None:
            raise store_watch.HistoryLost
        return changes(None, Position(1, 20))

    def test_snapshot_is_read_at_once(self):
        async def respond(after, wait_s, reads):
            if reads == 2:
                raise store_watch.HistoryLost
            await asyncio.sleep(wait_s)
            return changes(after, Position(1, 20 + reads))

        source, _ = play(respond, 0.7, known=Position(1, 20))
        assert [after for after, _ in source.reads[:3]] == [
            Position(1, 20),
            Position(1, 21),
            None,
        ]

    def test_lost_history_is_read_again_without_a_pause(self):
        source, _ = play(self._lost, 10.0, known=Position(1, 20))
        # Two reads each time, with pauses of 0.1 s to a second.
        assert len(source.reads) <= 2 * 20

    def test_snapshot_that_is_behind_is_read_again_without_a_pause(self):
        """A store that states no era went back to an earlier revision."""

        async def respond(after, wait_s, reads):
            if after is not None:
                raise store_watch.HistoryLost
            return changes(None, Position(0, 15))

        source, subscriber = play(respond, 10.0, known=Position(0, 20))
        assert subscriber.position == Position(0, 20)
        assert len(source.reads) <= 2 * 20

    @pytest.mark.parametrize("hosts", [4, 30, 300])
    def test_hosts_read_lost_history_at_the_same_time(self, hosts):
        times = []

        async def work():
            loop = asyncio.get_running_loop()

            async def respond(after, wait_s, reads):
                times.append(loop.time())
                return await self._lost(after, wait_s, reads)

            watches = []
            for number in range(hosts):
                subscriber = Subscriber()
                subscriber.published(changes(None, Position(1, 20)))
                watches.append(
                    store_watch.StoreWatch(
                        Source(respond), subscriber, random.Random(number), 0.6
                    )
                )
            for watch in watches:
                watch.start()
            await asyncio.sleep(12.0)
            for watch in watches:
                watch.stop()

        virtual = clock.VirtualClock()
        with asyncio.Runner(
            loop_factory=lambda: virtual_loop.VirtualLoop(virtual)
        ) as runner:
            runner.run(work())
        # Later on, each host reads twice in about a second, and the hosts do
        # not read together.
        late = [int((at - times[0]) * 10) for at in times if at - times[0] > 4]
        per_slot = [late.count(slot) for slot in range(45, 115)]
        assert sum(per_slot) <= 2 * 2 * 7 * hosts
        if hosts > 100:
            assert max(per_slot) < hosts
