"""Complete nodes on a simulated network with a virtual clock."""

import asyncio
import collections

from fakes import mesh
from fakes import net
import pytest

from savorytally.dataplane import exchanges
from savorytally.dataplane import options

SERVICES = {"drawers": ["low-a", "low-b"], "desk": ["low-a", "low-b"]}


def play(scenario, services=SERVICES, **changes):
    """Run a scenario on a started mesh."""

    async def work():
        there = mesh.Mesh()
        await there.start(services, **changes)
        return await scenario(there)

    return net.run(work)


def of(there, service_name):
    """Return the hosts of a service."""
    return [host for host in there.hosts if host.service_name == service_name]


def runs(there, service_name):
    """Return the requests that ran at a service, in order."""
    return [
        name for host in of(there, service_name) for name in host.upstream.ran
    ]


def recorded(host):
    """Return a list that receives a node's log lines from now on."""
    lines = []
    host.node.log.event = lambda name, **fields: lines.append((name, fields))
    return lines


class TestPath:
    def test_answer_is_the_upstreams_own(self):
        async def scenario(there):
            return await there.send(there.hosts[2], request_id="a1")

        reply = play(scenario)
        assert (reply.status, reply.body) == (200, b"answer to a1")
        assert reply.header(mesh.SIGNATURE.encode()) == b"sig-a1"

    def test_upstream_is_told_caller_and_organisation_and_no_key(self):
        async def scenario(there):
            forged = {
                "x-savorytally-tenant": "others",
                "x-savorytally-caller-service": "others",
            }
            await there.send(there.hosts[2], more=forged)
            return [
                seen
                for host in of(there, "drawers")
                for seen in host.upstream.seen
            ]

        (seen,) = play(scenario)
        assert seen["x-savorytally-tenant"] == "growers"
        assert seen["x-savorytally-caller-service"] == "desk"
        assert "authorization" not in seen
        assert int(seen["x-savorytally-deadline-ms"]) <= 1000

    @pytest.mark.parametrize(
        ("target", "key", "status"),
        [
            ("/nowhere/1", mesh.KEY, 404),
            ("/drawers/1", "wrong", 401),
            ("/drawers/1", None, 401),
        ],
    )
    def test_refuses_what_no_configuration_allows(self, target, key, status):
        async def scenario(there):
            reply = await there.send(there.hosts[0], target, key=key)
            return reply.status, runs(there, "drawers")

        assert play(scenario) == (status, [])

    def test_longest_prefix_wins(self):
        config = mesh.configuration(1)
        config["routes"]["r-deep"] = mesh.route(
            "desk", prefix="/drawers/rare/"
        )

        async def scenario(there):
            await there.send(there.hosts[0], "/drawers/rare/1")
            return runs(there, "drawers"), len(runs(there, "desk"))

        assert play(scenario, config=config) == ([], 1)

    def test_pipelined_requests_run_side_by_side_answered_in_order(self):
        async def scenario(there):
            loop = asyncio.get_running_loop()
            for host in there.hosts:
                host.upstream.work_s = 0.2
            connection = await there.connect(there.hosts[0])
            data = b"".join(
                mesh.request(
                    "/drawers/1", "GET", name, 2000, mesh.KEY, b"", {}
                )
                for name in ("p1", "p2", "p3")
            )
            bodies = []
            done = asyncio.Event()

            def wanted(reply):
                bodies.append(reply.body)
                if len(bodies) == 3:
                    done.set()
                return False

            began = loop.time()
            connection.request(data, wanted, lambda used, result: None)
            await done.wait()
            return bodies, loop.time() - began

        bodies, took_s = play(scenario)
        assert bodies == [b"answer to p1", b"answer to p2", b"answer to p3"]
        assert took_s < 0.4

    def test_malformed_request_harms_no_other_connection(self):
        async def scenario(there):
            connection = await there.connect(there.hosts[0])
            answered = asyncio.Future()
            connection.request(
                b"GET /drawers/1 HTTP/1.1\r\ncontent-length: 3\r\n"
                b"transfer-encoding: chunked\r\n\r\n",
                lambda reply: True,
                lambda used, result: answered.set_result(result),
            )
            bad = await answered
            good = await there.send(there.hosts[0])
            return bad.status, good.status

        assert play(scenario) == (400, 200)

    def test_unconfigured_node_is_not_ready_and_answers_503(self):
        async def scenario(there):
            host = mesh.Host(9, "desk", "low-a")
            there.store.status = 503
            await host.start_node()
            reply = await there.send(host)
            return reply.status, host.node.ready

        assert play(scenario) == (503, False)

    def test_request_at_the_start_waits_for_the_first_configuration(self):
        async def scenario(there):
            host = mesh.Host(9, "desk", "low-a")
            started = asyncio.ensure_future(host.start_node())
            await asyncio.sleep(0)
            await started
            return (await there.send(host)).status

        assert play(scenario) == 200

    def test_held_request_is_refused_if_there_is_no_configuration(self):
        async def scenario(there):
            loop = asyncio.get_running_loop()
            host = mesh.Host(9, "desk", "low-a")
            there.store.status = 503
            await host.start_node()
            began = loop.time()
            reply = await there.send(host)
            return reply.status, loop.time() - began

        status, took_s = play(scenario)
        assert status == 503
        assert took_s < 0.4


class TestBrokenAnswers:
    @pytest.mark.parametrize("part", [0.3, 0.9])
    def test_truncated_answer_is_never_delivered(self, part):
        def truncate(connection, name, answer):
            connection.transport.write(answer[: int(len(answer) * part)])
            connection.transport.close()

        async def scenario(there):
            for host in of(there, "desk"):
                host.upstream.fault = truncate
            reply = await there.send(
                there.hosts[0], "/desk/1", "POST", body=b"lot"
            )
            return reply.status, len(runs(there, "desk"))

        assert play(scenario) == (502, 1)

    def test_second_answer_reaches_nobody(self):
        def twice(connection, name, answer):
            connection.transport.write(answer)
            loop = asyncio.get_running_loop()
            loop.call_later(0.005, connection.transport.write, answer)

        async def scenario(there):
            for host in of(there, "drawers"):
                host.upstream.fault = twice
            found = []
            for number in range(6):
                reply = await there.send(
                    there.hosts[2], request_id=f"n{number}"
                )
                found.append(reply.body)
                await asyncio.sleep(0.004)
            return found

        assert play(scenario) == [
            f"answer to n{number}".encode() for number in range(6)
        ]

    def test_unframed_answer_is_whole_only_at_an_orderly_end(self):
        def unframed(connection, name, answer):
            head, _, body = answer.partition(b"\r\n\r\n")
            lines = [
                line
                for line in head.split(b"\r\n")
                if not line.startswith(b"content-length")
            ]
            data = b"\r\n".join(lines) + b"\r\n\r\n" + body
            connection.transport.write(data)
            if name == "whole":
                connection.transport.close()
            else:
                loop = asyncio.get_running_loop()
                loop.call_later(0.01, connection.transport.abort)

        async def scenario(there):
            for host in of(there, "desk"):
                host.upstream.fault = unframed
            first = await there.send(
                there.hosts[0], "/desk/1", "POST", request_id="whole"
            )
            second = await there.send(
                there.hosts[0], "/desk/1", "POST", request_id="reset"
            )
            return first.status, first.body, second.status

        assert play(scenario) == (200, b"answer to whole", 502)

    def test_success_without_signature_is_not_passed_on(self):
        def unsigned(connection, name, answer):
            lines = answer.split(b"\r\n")
            kept = [
                line
                for line in lines
                if not line.startswith(mesh.SIGNATURE.encode())
            ]
            connection.transport.write(b"\r\n".join(kept))

        async def scenario(there):
            for host in of(there, "desk"):
                host.upstream.fault = unsigned
            return (await there.send(there.hosts[0], "/desk/1", "POST")).status

        assert play(scenario) == 502


class TestAtMostOnce:
    def test_lost_answer_is_not_run_again_and_promises_nothing(self):
        def reset(connection, name, answer):
            connection.transport.abort()

        async def scenario(there):
            for host in of(there, "desk"):
                host.upstream.fault = reset
            reply = await there.send(there.hosts[0], "/desk/1", "POST")
            return reply.status, len(runs(there, "desk"))

        assert play(scenario) == (502, 1)

    def test_idempotent_request_is_sent_to_another_upstream(self):
        async def scenario(there):
            first, second = of(there, "drawers")
            first.upstream.fault = lambda connection, name, answer: (
                connection.transport.abort()
            )
            found = [
                (await there.send(there.hosts[2])).status for _ in range(12)
            ]
            return found, len(first.upstream.ran) > 0

        found, reached = play(scenario)
        assert reached
        assert found.count(200) >= 10

    def test_reservation_never_repeats_over_a_lost_stream(self):
        async def scenario(there):
            for host in of(there, "desk"):
                host.upstream.work_s = 0.3
            sender = of(there, "drawers")[0]
            task = asyncio.ensure_future(
                there.send(sender, "/desk/1", "POST", request_id="lot")
            )
            await asyncio.sleep(0.1)
            for host in of(there, "desk"):
                there.net.reset(host.address, mesh.PEER_PORT)
            reply = await task
            await asyncio.sleep(1)
            return reply.status, runs(there, "desk")

        status, ran = play(scenario)
        assert status == 502
        assert ran == ["lot"]

    def test_refusal_says_not_run_and_is_true(self):
        async def scenario(there):
            for host in of(there, "desk"):
                host.upstream.rejects = lambda: True
            reply = await there.send(there.hosts[0], "/desk/1", "POST")
            return reply, runs(there, "desk")

        reply, ran = play(scenario)
        assert reply.status == 503
        assert float(reply.header(b"retry-after")) > 0
        assert ran == []

    def test_another_upstream_at_the_address_does_not_run_it(self):
        async def scenario(there):
            for host in of(there, "desk"):
                host.upstream.instance_id = "i-somebody-else"
            reply = await there.send(there.hosts[0], "/desk/1", "POST")
            return reply.status, runs(there, "desk")

        assert play(scenario) == (503, [])


class TestTime:
    def test_silent_upstream_is_given_up_at_the_routes_timeout(self):
        async def scenario(there):
            loop = asyncio.get_running_loop()
            for host in of(there, "drawers"):
                host.upstream.work_s = 60.0
            began = loop.time()
            reply = await there.send(there.hosts[2], remaining_ms=5000)
            return reply.status, loop.time() - began

        status, took_s = play(scenario)
        assert status == 504
        assert 1.0 <= took_s < 1.25

    def test_work_ends_soon_after_its_caller_has_left(self):
        async def scenario(there):
            for host in of(there, "drawers"):
                host.upstream.work_s = 0.8
            await there.send(there.hosts[2], leave_after_s=0.2)
            await asyncio.sleep(0.2)
            busy = [host.node.gate.active for host in of(there, "drawers")]
            await asyncio.sleep(1)
            cut = [host.upstream.cut_off for host in of(there, "drawers")]
            return busy, sum(cut, [])

        busy, cut = play(scenario)
        assert busy == [0, 0]
        assert len(cut) == 1

    def test_silent_stream_is_found_while_a_call_waits(self):
        async def scenario(there):
            loop = asyncio.get_running_loop()
            sender = of(there, "desk")[0]
            await there.send(sender)
            for host in of(there, "drawers"):
                host.upstream.work_s = 0.9
                there.net.silence(host.address, mesh.PEER_PORT)
            began = loop.time()
            reply = await there.send(sender, remaining_ms=None)
            return reply.status, loop.time() - began

        config = mesh.configuration(1)
        config["routes"]["r-lookup"]["timeout"] = "9s"
        status, took_s = play(scenario, config=config)
        assert status == 200
        assert took_s < 3.0

    def test_calls_to_a_host_that_stands_still_go_elsewhere_soon(self):
        """One of two hosts freezes; requests sent meanwhile are served."""

        async def scenario(there):
            loop = asyncio.get_running_loop()
            sender = of(there, "desk")[0]
            for _ in range(4):
                await there.send(sender)
            still = of(there, "drawers")[0]
            there.net.silence(still.address, mesh.PEER_PORT)
            there.net.unreachable.add((still.address, mesh.PEER_PORT))
            took = []
            for _ in range(40):
                began = loop.time()
                reply = await there.send(sender, remaining_ms=None)
                took.append((reply.status, round(loop.time() - began, 3)))
                await asyncio.sleep(0.05)
            return took

        took = play(scenario)
        assert {status for status, _ in took} == {200}
        assert max(seconds for _, seconds in took) < 0.7
        # New calls avoid the host while it is unresponsive and unreachable.
        assert sum(seconds > 0.1 for _, seconds in took) <= 2

    @pytest.mark.parametrize("silent_s", [0.7, 1.4, 2.4])
    def test_running_work_of_a_host_that_is_silent_for_a_while_is_kept(
        self, silent_s
    ):
        """The call used to fail after 1.2 s although it ran to completion."""

        async def scenario(there):
            sender = of(there, "drawers")[0]
            desks = of(there, "desk")
            for host in desks:
                host.upstream.work_s = 0.5
            waiting = asyncio.ensure_future(
                there.send(sender, "/desk/1", "POST", remaining_ms=None)
            )
            await asyncio.sleep(0.1)
            held = []
            for host in desks:
                for transport in there.net.open[host.address, mesh.PEER_PORT]:
                    transport.other.paused = transport.paused = True
                    held += [transport.other, transport]
            await asyncio.sleep(silent_s)
            for transport in held:
                transport.resume_reading()
            return (await waiting).status, len(runs(there, "desk"))

        config = mesh.configuration(1)
        config["routes"]["r-reserve"]["timeout"] = "9s"
        assert play(scenario, config=config) == (200, 1)

    def test_call_that_waits_on_a_silent_stream_ends_with_its_deadline(self):
        async def scenario(there):
            loop = asyncio.get_running_loop()
            sender = of(there, "drawers")[0]
            for host in of(there, "desk"):
                host.upstream.work_s = 0.5
            waiting = asyncio.ensure_future(
                there.send(sender, "/desk/1", "POST", remaining_ms=None)
            )
            await asyncio.sleep(0.1)
            for host in of(there, "desk"):
                there.net.silence(host.address, mesh.PEER_PORT)
            began = loop.time()
            status = (await waiting).status
            took_s = loop.time() - began
            later = await there.send(sender, "/desk/1", "POST")
            links = sender.node.peers._links.values()
            await asyncio.sleep(0.1)
            silent = sum(len(link._silent_streams) for link in links)
            return status, round(took_s), later.status, silent

        config = mesh.configuration(1)
        config["routes"]["r-reserve"]["timeout"] = "3s"
        assert play(scenario, config=config) == (504, 3, 200, 0)

    def test_host_that_did_not_listen_itself_blames_no_stream(self):
        async def scenario(there):
            sender = of(there, "desk")[0]
            for host in of(there, "drawers"):
                host.upstream.work_s = 0.4
            waiting = asyncio.ensure_future(there.send(sender))
            await asyncio.sleep(0.1)
            peers = sender.node.peers
            # The streams were not checked for two seconds.
            peers._ticked -= 2.0
            peers.tick(asyncio.get_running_loop().time() + 2.0)
            reply = await waiting
            return reply.status, len(runs(there, "drawers"))

        assert play(scenario) == (200, 1)

    def test_idle_stream_is_not_taken_as_silent(self):
        async def scenario(there):
            sender = of(there, "desk")[0]
            for host in of(there, "drawers"):
                host.upstream.work_s = 0.3
            found = []
            for _ in range(3):
                found.append((await there.send(sender)).status)
                await asyncio.sleep(5)
            return found

        assert play(scenario) == [200, 200, 200]


class TestLeaving:
    def test_draining_upstream_gets_nothing_new(self):
        async def scenario(there):
            first, second = of(there, "drawers")
            there.store.put(
                f"servers/{first.instance_id}", first.entry(8, "draining")
            )
            await asyncio.sleep(0.1)
            for _ in range(8):
                await there.send(there.hosts[2])
            return len(first.upstream.ran), len(second.upstream.ran)

        assert play(scenario) == (0, 8)

    def test_stop_answers_what_is_in_progress_and_what_still_comes(self):
        async def scenario(there):
            host = of(there, "drawers")[0]
            for other in of(there, "drawers"):
                other.upstream.work_s = 0.3
            running = [
                asyncio.ensure_future(there.send(host)) for _ in range(4)
            ]
            kept = await there.connect(host)
            await asyncio.sleep(0.1)
            host.node.stop()
            drained = asyncio.ensure_future(host.node._drain())
            late = asyncio.Future()
            kept.request(
                mesh.request(
                    "/drawers/1", "GET", "l", 2000, mesh.KEY, b"", {}
                ),
                lambda reply: True,
                lambda used, result: late.set_result(result),
            )
            found = [(await task).status for task in running]
            ready = host.node.ready
            reply = await late
            await drained
            return found, ready, reply.status, reply.header(b"connection")

        found, ready, late, connection = play(scenario)
        assert found == [200] * 4
        assert not ready
        assert (late, connection) == (200, b"close")

    def test_stopping_node_tells_its_peers(self):
        async def scenario(there):
            first, second = of(there, "drawers")
            sender = of(there, "desk")[0]
            for _ in range(6):
                await there.send(sender)
            first.node.stop()
            await asyncio.sleep(1.5)
            before = len(first.upstream.ran)
            found = [(await there.send(sender)).status for _ in range(6)]
            return found, len(first.upstream.ran) - before

        assert play(scenario) == ([200] * 6, 0)

    def test_upstream_serves_on_while_callers_notice_the_stop(self):
        async def scenario(there):
            (host,) = of(there, "drawers")
            host.node.stop()
            await asyncio.sleep(1.0)
            return (await there.send(of(there, "desk")[0])).status

        services = {"drawers": ["low-a"], "desk": ["low-a"]}
        assert play(scenario, services) == 200


class TestCutRequests:
    """Requests whose connection the node closes are logged and counted."""

    def test_log_and_counter_tell_where_a_cut_request_was(self):
        async def scenario(there):
            host = of(there, "desk")[0]
            for other in there.hosts:
                other.upstream.work_s = 0.5
            lines = recorded(host)
            sending = [
                asyncio.ensure_future(
                    there.send(host, f"/{name}/1", method, request_id=name)
                )
                for name, method in (("drawers", "GET"), ("desk", "POST"))
            ]
            await asyncio.sleep(0.1)
            host.node.stop()
            for connection in list(host.node._connections):
                connection.close()
            await asyncio.gather(*sending)
            return lines, host.node.counts.render().decode()

        lines, metrics = play(scenario)
        (stop,) = [fields for name, fields in lines if name == "stop"]
        assert stop["active"] == 2
        assert sum(stop["places"].values()) == 2
        cut = [fields for name, fields in lines if name == "cut"]
        assert sorted(fields["id"] for fields in cut) == ["desk", "drawers"]
        for fields in cut:
            assert fields["where"] in ("running", "sent")
            assert fields["took_ms"] == pytest.approx(100, abs=5)
            assert fields["stopping_ms"] == 0.0
            assert len(fields["hosts"]) == 1
        counted = sum(
            int(line.rsplit(" ", 1)[1])
            for line in metrics.splitlines()
            if line.startswith("savorytally_requests_cut_total{")
        )
        assert counted == 2


class TestSettings:
    def test_changed_service_is_told_from_then_on(self):
        async def scenario(there):
            host = of(there, "desk")[0]
            host.node._reload_options = lambda: host.options(service="moved")
            host.node.reload()
            await there.send(host)
            return [
                seen["x-savorytally-caller-service"]
                for other in of(there, "drawers")
                for seen in other.upstream.seen
            ]

        assert play(scenario) == ["moved"]


class TestRates:
    def test_first_requests_of_hosts_reach_the_keeper(self):
        """All hosts have just been started and no stream is open."""

        async def scenario(there):
            replies = await asyncio.gather(
                *(there.send(host) for host in there.hosts)
            )
            return [reply.status for reply in replies]

        assert play(scenario, config=_rated()) == [200] * 4


class TestRecovery:
    def kill(self, there, host):
        """Kill a node, without a graceful stop."""
        for task in host.node._tasks:
            task.cancel()
        host.node._feed.stop()
        for server in host.node._servers:
            server.close()
        for port in (mesh.ENTRY_PORT, mesh.READY_PORT, mesh.PEER_PORT):
            there.net.reset(host.address, port)

    def test_requests_are_served_soon_after_all_nodes_were_killed(self):
        async def scenario(there):
            for host in there.hosts:
                await there.send(host)
            for host in there.hosts:
                self.kill(there, host)
            await asyncio.sleep(1.0)
            for host in there.hosts:
                await host.start_node(first_start=False)
            replies = await asyncio.gather(
                *(there.send(host) for host in there.hosts)
            )
            return [reply.status for reply in replies]

        assert play(scenario, config=_rated()) == [200] * 4

    def test_caller_of_a_node_that_starts_is_told_to_wait_for_it(self):
        """Without a wait, the caller retried at once and was refused again."""

        async def scenario(there):
            host = there.hosts[0]
            self.kill(there, host)
            there.store.status = 503
            await host.start_node(first_start=False)
            reply = await there.send(host, remaining_ms=5000)
            return reply.status, float(reply.header(b"retry-after"))

        status, back_s = play(scenario)
        assert status == 503
        assert 1.0 <= back_s <= 5.0 / 3

    def test_replaced_upstream_is_asked_once_not_by_every_host(self):
        """The old entry remains listed for seconds after a power loss."""

        async def scenario(there):
            drawers = of(there, "drawers")
            for host in drawers:
                host.upstream.instance_id = f"{host.instance_id}-again"
            replies = [
                await there.send(sender, request_id=f"r-{number}")
                for number, sender in enumerate(there.hosts * 5)
            ]
            asked = sum(len(host.upstream.arrived) for host in drawers)
            waits = {
                float(reply.header(b"retry-after")) >= 0.6 for reply in replies
            }
            return {reply.status for reply in replies}, asked, waits

        statuses, asked, waits = play(scenario)
        assert (statuses, waits) == ({503}, {True})
        assert asked == 2


class TestRestartBesideABadStore:
    """A node restarts while the store is down, unresponsive or refuses it."""

    async def restart(self, there, host, store_is):
        TestRecovery().kill(there, host)
        if store_is == "down":
            there.store.status = 503
        await host.start_node(first_start=False)
        if store_is == "turns it away":
            host.calls_store._pool.take = lambda fresh, take: take(None)
        elif store_is == "silent":
            host.calls_store._pool.take = lambda fresh, take: None
        await asyncio.sleep(3.0)

    @pytest.mark.parametrize("store_is", ["down", "turns it away", "silent"])
    def test_withdrawn_key_is_not_in_use_again(self, store_is):
        async def scenario(there):
            host = there.hosts[0]
            withdrawn = mesh.configuration(2)
            withdrawn["tenants"]["growers"]["api_keys"] = ["another"]
            there.store.put("op/config", withdrawn)
            await asyncio.sleep(2.0)
            await self.restart(there, host, store_is)
            return (await there.send(host)).status, host.node.version

        status, version = play(scenario)
        assert (status, version) in ((503, 0), (401, 2))

    @pytest.mark.parametrize("store_is", ["down", "turns it away", "silent"])
    def test_upstream_that_left_is_not_in_use_again(self, store_is):
        async def scenario(there):
            host = there.hosts[0]
            left = of(there, "drawers")[1]
            there.store.delete(f"servers/{left.instance_id}")
            await asyncio.sleep(2.0)
            await self.restart(there, host, store_is)
            before = len(left.upstream.arrived)
            for _ in range(10):
                await there.send(host)
            return len(left.upstream.arrived) - before

        assert play(scenario) == 0

    def test_peer_that_lags_does_not_bring_an_older_version_back(self):
        async def scenario(there):
            host, behind = there.hosts[0], there.hosts[1]
            old = behind.node.packed_configuration()
            there.store.put("op/config", mesh.configuration(2, routes={}))
            await asyncio.sleep(2.0)
            TestRecovery().kill(there, host)
            await host.start_node(first_start=False)
            await asyncio.sleep(0.3)
            host.node.learn_packed(old)
            return host.node.version, (await there.send(host)).status

        assert play(scenario) == (2, 404)


class TestConfiguration:
    def test_newer_version_is_in_force_at_once_and_never_goes_back(self):
        async def scenario(there):
            host = there.hosts[0]
            there.store.put("op/config", mesh.configuration(7, routes={}))
            await asyncio.sleep(0.1)
            gone = (await there.send(host)).status
            there.store.put("op/config", mesh.configuration(3))
            await asyncio.sleep(0.1)
            return gone, (await there.send(host)).status, host.node.version

        assert play(scenario) == (404, 404, 7)

    def test_malformed_version_leaves_the_old_one_in_force(self):
        async def scenario(there):
            broken = mesh.configuration(2)
            del broken["routes"]["r-lookup"]["kind"]
            there.store.put("op/config", broken)
            await asyncio.sleep(0.1)
            host = there.hosts[0]
            return host.node.version, (await there.send(host)).status

        assert play(scenario) == (1, 200)

    def test_peers_tell_a_node_that_the_store_turns_away(self):
        async def scenario(there):
            away = there.hosts[0]
            # Its watch gets no more responses, and new connections hang.
            for transport in there.net.open[mesh.STORE.host, mesh.STORE.port]:
                owner = transport.protocol
                pools = [away.calls_store._pool]
                if any(owner in pool._open for pool in pools):
                    transport.silent = True
            there.store.put("op/config", mesh.configuration(5))
            await asyncio.sleep(1.9)
            return away.node.version

        assert play(scenario) == 5

    def test_large_configuration_is_asked_of_one_peer_at_a_time(self):
        """The store refuses a node; all its peers have a newer version."""
        received = collections.Counter()

        async def scenario(there):
            for host in there.hosts:
                await asyncio.gather(
                    *(there.send(host) for _ in range(len(there.hosts)))
                )
            behind = of(there, "desk")[0]
            behind.calls_store._pool.take = lambda fresh, take: take(None)
            there.net.reset(mesh.STORE.host, mesh.STORE.port)
            await asyncio.sleep(3)
            for host in there.hosts:
                learn = host.node.learn_packed

                def counted(packed, host=host, learn=learn):
                    received[host.address] += 1
                    learn(packed)

                host.node.learn_packed = counted
            there.store.put("op/config", mesh.configuration(2))
            await asyncio.sleep(4)
            return [host.node.version for host in there.hosts]

        services = {"drawers": ["low-a"] * 8, "desk": ["low-a"]}
        assert set(play(scenario, services)) == {2}
        assert max(received.values()) == 1

    def test_withdrawn_key_ends_on_an_open_connection(self):
        async def scenario(there):
            host = there.hosts[0]
            connection = await there.connect(host)
            statuses = []
            for version in (2, 3):
                answered = asyncio.Future()
                connection.request(
                    mesh.request(
                        "/drawers/1", "GET", "k", 900, mesh.KEY, b"", {}
                    ),
                    lambda reply: True,
                    lambda used, result, to=answered: to.set_result(result),
                )
                statuses.append((await answered).status)
                there.store.put(
                    "op/config",
                    mesh.configuration(
                        version,
                        tenants={
                            "growers": {
                                "api_keys": ["another"],
                                "priority": 1,
                            },
                        },
                    ),
                )
                await asyncio.sleep(0.2)
            return statuses

        assert play(scenario) == [200, 401]

    def test_history_that_is_gone_is_read_anew(self):
        async def scenario(there):
            there.store.forget()
            for transport in there.net.open[mesh.STORE.host, mesh.STORE.port]:
                transport.abort()
            there.store.revision += 5
            there.store.forget()
            there.store.items["op/config"]["value"] = _encoded(9)
            await asyncio.sleep(2)
            return [host.node.version for host in there.hosts]

        assert play(scenario) == [9, 9, 9, 9]

    def test_malformed_entry_names_no_upstream(self):
        async def scenario(there):
            there.store.put("servers/i-x", b"\xff\x00")
            there.store.put("servers/i-y", {"service": 3})
            there.store.put(
                "servers/i-z",
                {**there.hosts[0].entry(), "state": "confused"},
            )
            await asyncio.sleep(0.1)
            return (
                len(there.hosts[0].node._upstream_list.instances),
                (await there.send(there.hosts[2])).status,
            )

        assert play(scenario) == (4, 200)


def _encoded(version):
    """Return a configuration as the store encodes it."""
    import base64
    import json

    raw = json.dumps(mesh.configuration(version)).encode()
    return base64.b64encode(raw).decode()


class TestChains:
    def test_call_inherits_the_rank_of_the_request_it_belongs_to(self):
        config = mesh.configuration(1)
        config["routes"]["r-ledger"] = mesh.route(
            "ledger", auth_exempt=True, priority=3
        )
        config["routes"]["r-lookup"]["priority"] = 2
        ranks = []

        async def scenario(there):
            for host in of(there, "desk") + of(there, "drawers"):

                async def calls(given, host=host):
                    left_ms = int(given["x-savorytally-deadline-ms"])
                    reply = await there.send(
                        host,
                        "/ledger/1",
                        key=None,
                        remaining_ms=min(left_ms, 600),
                    )
                    return 200 if reply.status == 200 else 500

                host.upstream.calls = calls
            ledger = of(there, "ledger")[0]
            queue = ledger.node.gate.queue
            offer = queue.offer

            def watched(job, now):
                ranks.append((job.rank, job.child))
                return offer(job, now)

            queue.offer = watched
            await there.send(there.hosts[0], "/desk/1", "POST")
            await there.send(there.hosts[0], "/drawers/1")

        play(
            scenario,
            {"drawers": ["low-a"], "desk": ["low-a"], "ledger": ["low-a"]},
            config=config,
        )
        assert ranks == [(16, True), (18, True)]

    def test_callers_without_reply_are_not_left_waiting(self):
        async def scenario(there):
            for host in there.hosts:
                there.net.reset(host.address, mesh.UPSTREAM_PORT)
                there.net.servers.pop((host.address, mesh.UPSTREAM_PORT), None)
            loop = asyncio.get_running_loop()
            began = loop.time()
            reply = await there.send(there.hosts[0])
            return reply.status, loop.time() - began

        status, took_s = play(scenario)
        assert status == 503
        assert took_s < 0.1


def test_exchange_without_connection_is_reported():
    async def work():
        ended = []
        connection = exchanges.Connection(lambda lost: None)
        connection.request(
            b"", lambda reply: True, lambda used, result: ended.append(result)
        )
        return ended

    assert net.run(work) == [exchanges.Broken.NOT_SENT]


class TestLapsedEntries:
    def test_upstream_cut_off_from_the_list_serves_if_it_is_the_last(self):
        async def scenario(there):
            for host in of(there, "drawers"):
                there.store.delete(f"servers/{host.instance_id}")
            await asyncio.sleep(0.5)
            return [
                (await there.send(there.hosts[2])).status for _ in range(3)
            ]

        assert play(scenario, config=_with_health()) == [200, 200, 200]

    def test_upstream_that_leaves_without_a_word_gets_nothing(self):
        async def scenario(there):
            for host in of(there, "drawers"):
                there.store.delete(f"servers/{host.instance_id}")
                host.upstream.leaving = True
            await asyncio.sleep(0.5)
            reply = await there.send(there.hosts[2])
            return reply.status, runs(there, "drawers")

        assert play(scenario, config=_with_health()) == (503, [])

    def test_listed_upstreams_go_before_lapsed_ones(self):
        async def scenario(there):
            first, second = of(there, "drawers")
            there.store.delete(f"servers/{first.instance_id}")
            await asyncio.sleep(0.5)
            for _ in range(6):
                await there.send(there.hosts[2])
            return len(first.upstream.ran), len(second.upstream.ran)

        assert play(scenario, config=_with_health()) == (0, 6)


class TestStarts:
    """Upstreams restart while earlier instances are still listed."""

    def test_later_start_takes_the_place_of_earlier_ones(self):
        async def scenario(there):
            for host in of(there, "drawers"):
                for number in range(6):
                    name = f"{host.instance_id}-{number}"
                    there.store.put(f"servers/{name}", host.entry())
                host.upstream.instance_id = name
            await asyncio.sleep(0.5)
            statuses = [
                (await there.send(there.hosts[2])).status for _ in range(8)
            ]
            return set(statuses)

        assert play(scenario) == {200}

    def test_start_that_is_not_listed_yet_uses_up_no_attempt(self):
        """Two of three upstreams have restarted, but are not listed yet."""

        async def scenario(there):
            for host in of(there, "drawers")[:2]:
                host.upstream.instance_id = "i-unseen"
            statuses = []
            for sender in of(there, "desk"):
                statuses.append((await there.send(sender)).status)
            return statuses

        services = {
            "drawers": ["low-a"] * 3,
            "desk": ["low-a"] * 12,
        }
        # The retry budget must not limit this test.
        bounds = options.Bounds(retry_slack=500.0)
        assert play(scenario, services, bounds=bounds) == [200] * 12


def _rated():
    config = mesh.configuration(1)
    config["tenants"]["growers"].update(rate_per_s=100, burst=100)
    return config


def _with_health():
    services = {
        name: {"health_path": "/healthz"} for name in ("drawers", "desk")
    }
    return mesh.configuration(1, services=services)


class TestCulprits:
    """A request that crashes each upstream that runs it is sent repeatedly."""

    BACK_S = 0.4

    def crashing(self, there, crashes):
        """Let requests named boom crash the upstream that runs them."""
        for host in of(there, "drawers"):

            async def calls(given, host=host):
                if given["x-savorytally-attempt-id"].startswith("boom"):
                    crashes.append(host.address)
                    self.crash(there, host)
                    await asyncio.sleep(self.BACK_S)
                return 200

            host.upstream.calls = calls

    def crash(self, there, host):
        place = (host.address, mesh.UPSTREAM_PORT)
        server = there.net.servers.pop(place)
        there.net.reset(*place)
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.BACK_S, there.net.servers.setdefault, place, server
        )

    def test_request_that_crashes_upstreams_is_refused_after_the_third(self):
        crashes = []

        async def scenario(there):
            self.crashing(there, crashes)
            statuses = []
            for number in range(8):
                host = there.hosts[number % len(there.hosts)]
                reply = await there.send(
                    host, "/drawers/bad", request_id=f"boom-{number}"
                )
                statuses.append(reply.status)
                await asyncio.sleep(2 * self.BACK_S)
            other = await there.send(there.hosts[2], "/drawers/good")
            return statuses, other.status

        statuses, other = play(scenario)
        assert len(crashes) <= 4
        assert statuses[-4:] == [503] * 4
        assert other == 200

    def test_request_that_is_answered_between_crashes_is_not_refused(self):
        crashes = []

        async def scenario(there):
            self.crashing(there, crashes)
            statuses = []
            for number in range(6):
                await there.send(
                    there.hosts[2], "/drawers/hot", request_id=f"boom-{number}"
                )
                await asyncio.sleep(2 * self.BACK_S)
                reply = await there.send(there.hosts[3], "/drawers/hot")
                statuses.append(reply.status)
            return statuses

        assert play(scenario) == [200] * 6

    def test_lost_answers_are_no_crash(self):
        async def scenario(there):
            for host in of(there, "drawers"):
                host.upstream.fault = lambda connection, name, answer: (
                    connection.transport.abort()
                )
            for _ in range(6):
                await there.send(there.hosts[2], "/drawers/lost")
            for host in of(there, "drawers"):
                host.upstream.fault = None
            await asyncio.sleep(1.0)
            return (await there.send(there.hosts[2], "/drawers/lost")).status

        assert play(scenario) == 200
