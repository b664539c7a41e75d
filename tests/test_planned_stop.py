"""A planned stop of a node responds to every request that was read."""

import asyncio

from fakes import mesh
from fakes import stops
import pytest

from savorytally.dataplane import exchanges
from savorytally.dataplane import options
from savorytally.dataplane import planned_stop
from savorytally.decisions import slowest


class TestClosedLoop:
    """Callers continue to send requests while the node stops."""

    @pytest.mark.parametrize("timeout_ms", [1000, stops.LONG_MS])
    def test_request_passed_on_in_a_stop_is_answered(self, timeout_ms):
        async def scenario(there):
            callers, took, lines = await stops.closed_loop(there, 8, 0.15)
            reached = set(stops.arrived(there))
            broken = [name for one in callers for name in one.broken]
            cut = [fields for name, fields in lines if name == "cut"]
            return [name for name in broken if name in reached], cut, took

        lost, cut, took = stops.play(scenario, timeout_ms=timeout_ms)
        assert (lost, cut) == ([], [])
        assert took < stops.GRACE_S

    def test_refusals_in_a_stop_are_promises_with_a_time(self):
        async def scenario(there):
            callers, took, _ = await stops.closed_loop(there, 8, 0.15)
            answers = [item for one in callers for item in one.answers.items()]
            return answers, set(stops.arrived(there)), took

        answers, reached, took = stops.play(scenario)
        refused = {
            name: reply for name, reply in answers if reply.status != 200
        }
        assert refused
        assert not set(refused) & reached
        for reply in refused.values():
            assert reply.status == 503
            assert reply.header(b"connection") == b"close"
            assert float(reply.header(b"retry-after")) > 0.0

    def test_callers_that_go_on_do_not_prolong_a_stop(self):
        async def scenario(there):
            _, took, _ = await stops.closed_loop(there, 8, 0.15)
            return took

        assert stops.play(scenario) < 3.5


class TestSchedule:
    @pytest.mark.parametrize("grace_s", [1.0, 4.0, 6.0, 30.0])
    def test_answers_are_given_up_in_the_last_sixth_of_grace_only(
        self, grace_s
    ):
        schedule = planned_stop.Schedule.within(grace_s, 100.0)
        # Requests sent later than 3 s after the signal are not excused.
        assert schedule.began < schedule.noticed <= 103.0
        assert schedule.noticed < schedule.work_ends < schedule.ends
        assert schedule.work_ends > 100.0 + grace_s * 5 / 6
        assert schedule.ends < 100.0 + grace_s

    def test_stop_keeps_to_the_grace_of_the_settings(self):
        async def scenario(there):
            stops.work_s(there, 20.0)
            host = stops.of(there, "desk")[0]
            running = stops.later(there, host, "long")
            await asyncio.sleep(0.1)
            took = await stops.stop(there, host)
            return took, (await running).status

        bounds = options.Bounds(grace_s=3.0)
        took, status = stops.play(scenario, bounds=bounds)
        assert (2.5 < took < 3.0, status) == (True, 502)

    @pytest.mark.parametrize("grace_s", [0.5, 1.0, 1.5])
    def test_request_in_progress_is_answered_before_a_short_grace_ends(
        self, grace_s
    ):
        async def scenario(there):
            loop = asyncio.get_running_loop()
            stops.work_s(there, 20.0)
            host = stops.of(there, "desk")[0]
            running = stops.later(there, host, "long")
            await asyncio.sleep(0.1)
            answered_at = []
            running.add_done_callback(
                lambda _: answered_at.append(loop.time())
            )
            began = loop.time()
            await stops.stop(there, host)
            return answered_at[0] - began, (await running).status

        bounds = options.Bounds(grace_s=grace_s)
        answered_s, status = stops.play(scenario, bounds=bounds)
        assert (answered_s < grace_s, status) == (True, 502)


class TestEnd:
    """Requests that are still in progress when a stop must end."""

    @pytest.mark.parametrize("own", [True, False])
    def test_request_in_a_queue_at_the_end_is_refused_as_not_run(self, own):
        async def scenario(there):
            stops.work_s(there, 20.0)
            host = stops.of(there, "drawers" if own else "desk")[0]
            first = stops.later(there, host, "first")
            await asyncio.sleep(0.1)
            second = stops.later(there, host, "second")
            await asyncio.sleep(0.1)
            took = await stops.stop(there, host)
            found = await first, await second
            await asyncio.sleep(30.0)
            return found, took, stops.arrived(there)

        services = {"drawers": ["low-a"], "desk": ["low-a"]}
        (first, second), took, reached = stops.play(
            scenario, services, slots=1
        )
        assert first.status == 502
        assert (second.status, reached) == (503, ["first"])
        assert second.header(b"connection") == b"close"
        assert took < stops.GRACE_S

    def test_request_that_waits_for_its_rate_at_the_end_is_refused(self):
        async def scenario(there):
            host = stops.of(there, "desk")[0]
            host.node.rates.take = lambda *asked: None
            reply = stops.later(there, host, "waits")
            await asyncio.sleep(0.1)
            await stops.stop(there, host)
            return (await reply).status, stops.arrived(there)

        assert stops.play(scenario) == (503, [])

    @pytest.mark.parametrize(
        ("service_name", "sender_name", "method"),
        [("drawers", "desk", "GET"), ("desk", "drawers", "POST")],
    )
    def test_call_recalled_before_it_is_sent_to_the_upstream_never_runs(
        self, service_name, sender_name, method
    ):
        async def scenario(there):
            loop = asyncio.get_running_loop()
            (host,) = stops.of(there, service_name)
            (sender,) = stops.of(there, sender_name)
            upstream = host.node._upstream
            take = upstream.take
            upstream.take = lambda *asked: loop.call_later(1.0, take, *asked)
            target = f"/{service_name}/1"
            reply = stops.later(there, sender, "recalled", method, target)
            await asyncio.sleep(0.5)
            sender.node.entry.stop_schedule = planned_stop.Schedule.within(
                0.0, loop.time()
            )
            sender.node.peers.withdraw_all()
            status = (await reply).status
            await asyncio.sleep(5.0)
            return status, stops.arrived(there)

        services = {"drawers": ["low-a"], "desk": ["low-a"]}
        assert stops.play(scenario, services) == (503, [])

    def test_pipelined_requests_at_the_end_are_answered_in_order(self):
        async def scenario(there):
            stops.work_s(there, 20.0)
            host = stops.of(there, "desk")[0]
            connection = await there.connect(host)
            data = b"".join(
                mesh.request(
                    "/drawers/1", "GET", name, stops.LONG_MS, mesh.KEY, b"", {}
                )
                for name in ("p1", "p2", "p3")
            )
            found = []
            connection.request(
                data,
                lambda reply: bool(found.append(reply)),
                lambda used, result: None,
            )
            await asyncio.sleep(0.1)
            await stops.stop(there, host)
            await asyncio.sleep(0.1)
            return found

        found = stops.play(scenario)
        named = b"x-savorytally-attempt-id"
        assert [reply.status for reply in found] == [502] * 3
        assert [reply.header(named) for reply in found] == [
            b"p1",
            b"p2",
            b"p3",
        ]
        closes = [reply.header(b"connection") for reply in found]
        assert closes == [b"", b"", b"close"]

    def test_request_whose_body_still_comes_at_the_end_is_refused(self):
        async def scenario(there):
            host = stops.of(there, "desk")[0]
            connection = await there.connect(host)
            whole = mesh.request(
                "/desk/1", "POST", "slow", stops.LONG_MS, mesh.KEY, b"lot", {}
            )
            ended = asyncio.Future()
            connection.request(
                whole[:-1],
                lambda reply: True,
                lambda used, result: ended.set_result(result),
            )
            await asyncio.sleep(0.1)
            await stops.stop(there, host)
            return await ended, stops.arrived(there)

        reply, reached = stops.play(scenario)
        assert isinstance(reply, exchanges.Reply)
        assert (reply.status, reached) == (503, [])
        assert reply.header(b"x-savorytally-attempt-id") == b"slow"

    def test_body_that_comes_in_a_stop_is_taken_whole(self):
        async def scenario(there):
            host = stops.of(there, "desk")[0]
            connection = await there.connect(host)
            whole = mesh.request(
                "/desk/1", "POST", "slow", stops.LONG_MS, mesh.KEY, b"lot", {}
            )
            ended = asyncio.Future()
            connection.request(
                whole[:-1],
                lambda reply: True,
                lambda used, result: ended.set_result(result),
            )
            stopped = asyncio.ensure_future(stops.stop(there, host))
            await asyncio.sleep(1.0)
            connection._transport.write(whole[-1:])
            reply = await ended
            await stopped
            return reply.status, stops.arrived(there)

        assert stops.play(scenario) == (200, ["slow"])

    def test_answer_to_a_slow_reader_is_sent_before_the_end(self):
        async def scenario(there):
            loop = asyncio.get_running_loop()
            stops.work_s(there, 2.5)
            host = stops.of(there, "desk")[0]
            connection = await there.connect(host)
            ended = asyncio.Future()
            data = mesh.request(
                "/drawers/1", "GET", "slow", stops.LONG_MS, mesh.KEY, b"", {}
            )
            connection.request(
                data,
                lambda reply: True,
                lambda used, result: ended.set_result(result),
            )
            await asyncio.sleep(0.1)
            connection._transport.pause_reading()
            loop.call_later(4.5, connection._transport.resume_reading)
            took = await stops.stop(there, host)
            return await ended, took

        reply, took = stops.play(scenario)
        assert isinstance(reply, exchanges.Reply)
        assert reply.status == 200
        assert took < stops.GRACE_S

    def test_reader_that_stands_still_does_not_hold_a_stop(self):
        async def scenario(there):
            host = stops.of(there, "desk")[0]
            connection = await there.connect(host)
            data = mesh.request(
                "/drawers/1", "GET", "slow", stops.LONG_MS, mesh.KEY, b"", {}
            )
            connection.request(
                data, lambda reply: True, lambda used, result: None
            )
            connection._transport.pause_reading()
            await asyncio.sleep(0.1)
            return await stops.stop(there, host)

        assert stops.play(scenario) < stops.GRACE_S

    def test_nothing_is_repeated_because_the_node_itself_closes(self):
        async def scenario(there):
            stops.work_s(there, 20.0)
            host = stops.of(there, "desk")[0]
            reply = stops.later(there, host, "once")
            await asyncio.sleep(0.1)
            await stops.stop(there, host)
            await asyncio.sleep(1.0)
            await reply
            return stops.arrived(there)

        assert stops.play(scenario) == ["once"]

    def test_call_of_another_host_in_a_queue_at_the_end_runs_elsewhere(self):
        async def scenario(there):
            near, far = stops.of(there, "drawers")
            near.upstream.work_s = 20.0
            sender = stops.of(there, "desk")[0]
            first = stops.later(there, sender, "first")
            await asyncio.sleep(0.1)
            queued = stops.later(there, sender, "queued")
            await asyncio.sleep(0.1)
            busy = near if "first" in near.upstream.arrived else far
            assert busy is near
            await stops.stop(there, near)
            found = await queued
            first.cancel()
            return found.status, far.upstream.arrived

        services = {"drawers": ["low-a", "up-a"], "desk": ["low-a"]}
        status, reached = stops.play(scenario, services, slots=1)
        assert status == 200
        assert "queued" in reached


class TestWorkOfOthers:
    """The local upstream finishes the requests that it runs."""

    def test_call_of_another_host_is_finished(self):
        async def scenario(there):
            stops.work_s(there, 4.0)
            host = stops.of(there, "drawers")[0]
            reply = stops.later(there, stops.of(there, "desk")[0], "call")
            await asyncio.sleep(0.1)
            took = await stops.stop(there, host)
            return (await reply).status, took, stops.arrived(there)

        services = {"drawers": ["low-a"], "desk": ["low-a"]}
        status, took, reached = stops.play(scenario, services)
        assert (status, reached) == (200, ["call"])
        assert took < stops.GRACE_S

    def test_calls_of_a_run_in_progress_are_served_until_the_end(self):
        async def scenario(there):
            host = stops.of(there, "desk")[0]
            found = []

            host.upstream.calls = stops.calls_after(3.5, there, host, found)
            root = stops.later(there, host, "root", "POST", "/desk/1")
            await asyncio.sleep(0.1)
            await stops.stop(there, host)
            return (await root).status, found

        services = {"drawers": ["low-a"], "desk": ["low-a"]}
        found = stops.play(scenario, services, open_to_all=True)
        assert found == (200, [200])

    def test_late_call_that_can_not_end_in_a_stop_is_not_begun(self):
        """The call is sent 4.7 s after the signal and takes 1 s."""

        async def scenario(there):
            host = stops.of(there, "desk")[0]
            stops.of(there, "drawers")[0].upstream.work_s = 1.0
            found = []

            host.upstream.calls = stops.calls_after(4.8, there, host, found)
            root = stops.later(there, host, "root", "POST", "/desk/1")
            await asyncio.sleep(0.1)
            await stops.stop(there, host)
            await root
            return found, stops.arrived(there)

        services = {"drawers": ["low-a"], "desk": ["low-a"]}
        found, reached = stops.play(scenario, services, open_to_all=True)
        assert len(found) == 1
        assert "child" not in reached or found == [200]


class TestComingBack:
    """Callers of a service whose only host stops."""

    @pytest.mark.parametrize("at", [1.6, 2.4])
    def test_caller_is_told_when_the_next_process_is_there(self, at):
        """The retry-after time used to end before the old process did."""

        async def scenario(there):
            host = stops.of(there, "drawers")[0]
            ending = asyncio.ensure_future(stops.stop(there, host))
            await asyncio.sleep(at)
            reply = await there.send(stops.of(there, "desk")[0])
            await ending
            return reply.status, float(reply.header(b"retry-after"))

        services = {"drawers": ["low-a"], "desk": ["low-a"]}
        status, back_s = stops.play(scenario, services)
        assert status == 503
        assert back_s >= 0.6


class TestTimeOfLateCalls:
    """A late call is started only if it probably ends within the stop."""

    def needed_s(self, answers, now):
        times = slowest.SlowestTimes()
        for took_s, at in answers:
            times.note("r-lookup", took_s, at)
        return times.needed_s("r-lookup", now)

    def test_one_slow_answer_among_short_ones_is_reckoned_with(self):
        answers = [(0.05, 0.0), (2.0, 1.0), *[(0.05, 1.5)] * 20]
        assert self.needed_s(answers, 1.5) > 2.0

    def test_slow_answer_of_long_ago_is_forgotten(self):
        assert self.needed_s([(2.0, 0.0), (0.05, 60.0)], 60.0) < 0.1

    def test_usually_short_call_is_begun_late_in_a_stop(self):
        async def scenario(there):
            host = stops.of(there, "desk")[0]
            stops.of(there, "drawers")[0].upstream.work_s = 0.1
            await there.send(host, key=None)
            found = []

            host.upstream.calls = stops.calls_after(4.8, there, host, found)
            root = stops.later(there, host, "root", "POST", "/desk/1")
            await asyncio.sleep(0.1)
            await stops.stop(there, host)
            return found, (await root).status

        services = {"drawers": ["low-a"], "desk": ["low-a"]}
        found = stops.play(scenario, services, open_to_all=True)
        assert found == ([200], 200)


class TestSignals:
    """Repeated signals during a stop."""

    def test_second_signal_does_not_prolong_a_stop(self):
        async def scenario(there):
            stops.work_s(there, 20.0)
            host = stops.of(there, "desk")[0]
            running = stops.later(there, host, "long")
            await asyncio.sleep(0.1)
            loop = asyncio.get_running_loop()
            for at in (1.0, 4.0):
                loop.call_later(at, host.node.stop)
            took = await stops.stop(there, host)
            return took, (await running).status

        took, status = stops.play(scenario)
        assert (took < stops.GRACE_S, status) == (True, 502)

    def test_reload_in_a_stop_ends_nothing(self):
        async def scenario(there):
            stops.work_s(there, 2.0)
            host = stops.of(there, "desk")[0]
            running = stops.later(there, host, "long")
            host.node._reload_options = lambda: host.options(service="moved")
            loop = asyncio.get_running_loop()
            for at in (0.0, 0.5, 1.0):
                loop.call_later(at, host.node.reload)
            took = await stops.stop(there, host)
            return took < stops.GRACE_S, (await running).status

        assert stops.play(scenario) == (True, 200)
