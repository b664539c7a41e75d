"""Complete nodes on a simulated network with a virtual clock."""

import asyncio
import collections

from fakes import mesh
from fakes import net
import pytest

from savorytally.dataplane import exchanges
from savorytally.dataplane import options

SERVICES = {"drawers": ["low-a", "low-b"], "desk": ["low-a", "low-b"]}


def run_scenario(scenario, services=SERVICES, **changes):
    """Run a scenario on a started mesh."""

    async def work():
        cluster = mesh.Mesh()
        await cluster.start(services, **changes)
        return await scenario(cluster)

    return net.run(work)


def hosts_of(cluster, service_name):
    """Return the hosts of a service."""
    return [
        host for host in cluster.hosts if host.service_name == service_name
    ]


def requests_run(cluster, service_name):
    """Return the requests that ran at a service, in order."""
    return [
        name
        for host in hosts_of(cluster, service_name)
        for name in host.upstream.ran
    ]


def record_log(host):
    """Return a list that receives a node's log lines from now on."""
    lines = []
    host.node.log.event = lambda name, **fields: lines.append((name, fields))
    return lines


class TestForwarding:
    def test_upstream_response_is_passed_on(self):
        async def scenario(cluster):
            return await cluster.send(cluster.hosts[2], request_id="a1")

        reply = run_scenario(scenario)
        assert (reply.status, reply.body) == (200, b"answer to a1")
        assert reply.header(mesh.SIGNATURE.encode()) == b"sig-a1"

    def test_upstream_gets_caller_and_organisation_but_no_key(self):
        async def scenario(cluster):
            forged = {
                "x-savorytally-tenant": "others",
                "x-savorytally-caller-service": "others",
            }
            await cluster.send(cluster.hosts[2], extra_headers=forged)
            return [
                seen
                for host in hosts_of(cluster, "drawers")
                for seen in host.upstream.seen
            ]

        (seen,) = run_scenario(scenario)
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
    def test_requests_outside_the_configuration_are_refused(
        self, target, key, status
    ):
        async def scenario(cluster):
            reply = await cluster.send(cluster.hosts[0], target, key=key)
            return reply.status, requests_run(cluster, "drawers")

        assert run_scenario(scenario) == (status, [])

    def test_longest_prefix_wins(self):
        config = mesh.configuration(1)
        config["routes"]["r-deep"] = mesh.route(
            "desk", prefix="/drawers/rare/"
        )

        async def scenario(cluster):
            await cluster.send(cluster.hosts[0], "/drawers/rare/1")
            return requests_run(cluster, "drawers"), len(
                requests_run(cluster, "desk")
            )

        assert run_scenario(scenario, config=config) == ([], 1)

    def test_pipelined_requests_run_concurrently_and_stay_in_order(self):
        async def scenario(cluster):
            loop = asyncio.get_running_loop()
            for host in cluster.hosts:
                host.upstream.work_s = 0.2
            connection = await cluster.connect(cluster.hosts[0])
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

        bodies, took_s = run_scenario(scenario)
        assert bodies == [b"answer to p1", b"answer to p2", b"answer to p3"]
        assert took_s < 0.4

    def test_malformed_request_does_not_affect_other_connections(self):
        async def scenario(cluster):
            connection = await cluster.connect(cluster.hosts[0])
            answered = asyncio.Future()
            connection.request(
                b"GET /drawers/1 HTTP/1.1\r\ncontent-length: 3\r\n"
                b"transfer-encoding: chunked\r\n\r\n",
                lambda reply: True,
                lambda used, result: answered.set_result(result),
            )
            bad = await answered
            good = await cluster.send(cluster.hosts[0])
            return bad.status, good.status

        assert run_scenario(scenario) == (400, 200)

    def test_unconfigured_node_is_not_ready_and_responds_503(self):
        async def scenario(cluster):
            host = mesh.Host(9, "desk", "low-a")
            cluster.store.status = 503
            await host.start_node()
            reply = await cluster.send(host)
            return reply.status, host.node.ready

        assert run_scenario(scenario) == (503, False)

    def test_early_request_waits_for_the_first_configuration(self):
        async def scenario(cluster):
            host = mesh.Host(9, "desk", "low-a")
            started = asyncio.ensure_future(host.start_node())
            await asyncio.sleep(0)
            await started
            return (await cluster.send(host)).status

        assert run_scenario(scenario) == 200

    def test_waiting_request_is_refused_without_configuration(self):
        async def scenario(cluster):
            loop = asyncio.get_running_loop()
            host = mesh.Host(9, "desk", "low-a")
            cluster.store.status = 503
            await host.start_node()
            began = loop.time()
            reply = await cluster.send(host)
            return reply.status, loop.time() - began

        status, took_s = run_scenario(scenario)
        assert status == 503
        assert took_s < 0.4


class TestBrokenResponses:
    @pytest.mark.parametrize("part", [0.3, 0.9])
    def test_truncated_response_is_never_delivered(self, part):
        def truncate(connection, name, answer):
            connection.transport.write(answer[: int(len(answer) * part)])
            connection.transport.close()

        async def scenario(cluster):
            for host in hosts_of(cluster, "desk"):
                host.upstream.fault = truncate
            reply = await cluster.send(
                cluster.hosts[0], "/desk/1", "POST", body=b"lot"
            )
            return reply.status, len(requests_run(cluster, "desk"))

        assert run_scenario(scenario) == (502, 1)

    def test_duplicate_response_is_dropped(self):
        def twice(connection, name, answer):
            connection.transport.write(answer)
            loop = asyncio.get_running_loop()
            loop.call_later(0.005, connection.transport.write, answer)

        async def scenario(cluster):
            for host in hosts_of(cluster, "drawers"):
                host.upstream.fault = twice
            bodies = []
            for number in range(6):
                reply = await cluster.send(
                    cluster.hosts[2], request_id=f"n{number}"
                )
                bodies.append(reply.body)
                await asyncio.sleep(0.004)
            return bodies

        assert run_scenario(scenario) == [
            f"answer to n{number}".encode() for number in range(6)
        ]

    def test_unframed_response_is_complete_only_after_a_close(self):
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

        async def scenario(cluster):
            for host in hosts_of(cluster, "desk"):
                host.upstream.fault = unframed
            first = await cluster.send(
                cluster.hosts[0], "/desk/1", "POST", request_id="whole"
            )
            second = await cluster.send(
                cluster.hosts[0], "/desk/1", "POST", request_id="reset"
            )
            return first.status, first.body, second.status

        assert run_scenario(scenario) == (200, b"answer to whole", 502)

    def test_success_without_signature_is_not_passed_on(self):
        def unsigned(connection, name, answer):
            lines = answer.split(b"\r\n")
            kept = [
                line
                for line in lines
                if not line.startswith(mesh.SIGNATURE.encode())
            ]
            connection.transport.write(b"\r\n".join(kept))

        async def scenario(cluster):
            for host in hosts_of(cluster, "desk"):
                host.upstream.fault = unsigned
            return (
                await cluster.send(cluster.hosts[0], "/desk/1", "POST")
            ).status

        assert run_scenario(scenario) == 502


class TestAtMostOnce:
    def test_request_with_lost_response_is_not_retried(self):
        def reset(connection, name, answer):
            connection.transport.abort()

        async def scenario(cluster):
            for host in hosts_of(cluster, "desk"):
                host.upstream.fault = reset
            reply = await cluster.send(cluster.hosts[0], "/desk/1", "POST")
            return reply.status, len(requests_run(cluster, "desk"))

        assert run_scenario(scenario) == (502, 1)

    def test_idempotent_request_is_retried_at_another_upstream(self):
        async def scenario(cluster):
            first, second = hosts_of(cluster, "drawers")
            first.upstream.fault = lambda connection, name, answer: (
                connection.transport.abort()
            )
            statuses = [
                (await cluster.send(cluster.hosts[2])).status
                for _ in range(12)
            ]
            return statuses, len(first.upstream.ran) > 0

        statuses, reached = run_scenario(scenario)
        assert reached
        assert statuses.count(200) >= 10

    def test_unsafe_request_is_not_retried_after_a_lost_stream(self):
        async def scenario(cluster):
            for host in hosts_of(cluster, "desk"):
                host.upstream.work_s = 0.3
            sender = hosts_of(cluster, "drawers")[0]
            task = asyncio.ensure_future(
                cluster.send(sender, "/desk/1", "POST", request_id="lot")
            )
            await asyncio.sleep(0.1)
            for host in hosts_of(cluster, "desk"):
                cluster.net.reset(host.address, mesh.PEER_PORT)
            reply = await task
            await asyncio.sleep(1)
            return reply.status, requests_run(cluster, "desk")

        status, ran = run_scenario(scenario)
        assert status == 502
        assert ran == ["lot"]

    def test_refused_request_has_not_run(self):
        async def scenario(cluster):
            for host in hosts_of(cluster, "desk"):
                host.upstream.rejects = lambda: True
            reply = await cluster.send(cluster.hosts[0], "/desk/1", "POST")
            return reply, requests_run(cluster, "desk")

        reply, ran = run_scenario(scenario)
        assert reply.status == 503
        assert float(reply.header(b"retry-after")) > 0
        assert ran == []

    def test_other_instance_at_the_address_does_not_run_it(self):
        async def scenario(cluster):
            for host in hosts_of(cluster, "desk"):
                host.upstream.instance_id = "i-somebody-else"
            reply = await cluster.send(cluster.hosts[0], "/desk/1", "POST")
            return reply.status, requests_run(cluster, "desk")

        assert run_scenario(scenario) == (503, [])


class TestTimeouts:
    def test_unresponsive_upstream_hits_the_route_timeout(self):
        async def scenario(cluster):
            loop = asyncio.get_running_loop()
            for host in hosts_of(cluster, "drawers"):
                host.upstream.work_s = 60.0
            began = loop.time()
            reply = await cluster.send(cluster.hosts[2], remaining_ms=5000)
            return reply.status, loop.time() - began

        status, took_s = run_scenario(scenario)
        assert status == 504
        assert 1.0 <= took_s < 1.25

    def test_request_is_aborted_after_its_caller_disconnects(self):
        async def scenario(cluster):
            for host in hosts_of(cluster, "drawers"):
                host.upstream.work_s = 0.8
            await cluster.send(cluster.hosts[2], leave_after_s=0.2)
            await asyncio.sleep(0.2)
            busy = [
                host.node.gate.active for host in hosts_of(cluster, "drawers")
            ]
            await asyncio.sleep(1)
            cut = [
                host.upstream.disconnected
                for host in hosts_of(cluster, "drawers")
            ]
            return busy, sum(cut, [])

        busy, cut = run_scenario(scenario)
        assert busy == [0, 0]
        assert len(cut) == 1

    def test_silent_stream_is_detected_while_a_call_waits(self):
        async def scenario(cluster):
            loop = asyncio.get_running_loop()
            sender = hosts_of(cluster, "desk")[0]
            await cluster.send(sender)
            for host in hosts_of(cluster, "drawers"):
                host.upstream.work_s = 0.9
                cluster.net.drop_data(host.address, mesh.PEER_PORT)
            began = loop.time()
            reply = await cluster.send(sender, remaining_ms=None)
            return reply.status, loop.time() - began

        config = mesh.configuration(1)
        config["routes"]["r-lookup"]["timeout"] = "9s"
        status, took_s = run_scenario(scenario, config=config)
        assert status == 200
        assert took_s < 3.0

    def test_calls_avoid_a_frozen_host(self):
        """One of two hosts freezes; requests sent meanwhile are served."""

        async def scenario(cluster):
            loop = asyncio.get_running_loop()
            sender = hosts_of(cluster, "desk")[0]
            for _ in range(4):
                await cluster.send(sender)
            frozen = hosts_of(cluster, "drawers")[0]
            cluster.net.drop_data(frozen.address, mesh.PEER_PORT)
            cluster.net.unreachable.add((frozen.address, mesh.PEER_PORT))
            took = []
            for _ in range(40):
                began = loop.time()
                reply = await cluster.send(sender, remaining_ms=None)
                took.append((reply.status, round(loop.time() - began, 3)))
                await asyncio.sleep(0.05)
            return took

        took = run_scenario(scenario)
        assert {status for status, _ in took} == {200}
        assert max(seconds for _, seconds in took) < 0.7
        # New calls avoid the host while it is unresponsive and unreachable.
        assert sum(seconds > 0.1 for _, seconds in took) <= 2

    @pytest.mark.parametrize("silent_s", [0.7, 1.4, 2.4])
    def test_call_survives_a_temporary_silence_of_its_host(self, silent_s):
        """The call used to fail after 1.2 s although it ran to completion."""

        async def scenario(cluster):
            sender = hosts_of(cluster, "drawers")[0]
            desks = hosts_of(cluster, "desk")
            for host in desks:
                host.upstream.work_s = 0.5
            waiting = asyncio.ensure_future(
                cluster.send(sender, "/desk/1", "POST", remaining_ms=None)
            )
            await asyncio.sleep(0.1)
            held = []
            for host in desks:
                for transport in cluster.net.open[
                    host.address, mesh.PEER_PORT
                ]:
                    transport.other.paused = transport.paused = True
                    held += [transport.other, transport]
            await asyncio.sleep(silent_s)
            for transport in held:
                transport.resume_reading()
            return (await waiting).status, len(requests_run(cluster, "desk"))

        config = mesh.configuration(1)
        config["routes"]["r-reserve"]["timeout"] = "9s"
        assert run_scenario(scenario, config=config) == (200, 1)

    def test_call_on_a_silent_stream_ends_at_its_deadline(self):
        async def scenario(cluster):
            loop = asyncio.get_running_loop()
            sender = hosts_of(cluster, "drawers")[0]
            for host in hosts_of(cluster, "desk"):
                host.upstream.work_s = 0.5
            waiting = asyncio.ensure_future(
                cluster.send(sender, "/desk/1", "POST", remaining_ms=None)
            )
            await asyncio.sleep(0.1)
            for host in hosts_of(cluster, "desk"):
                cluster.net.drop_data(host.address, mesh.PEER_PORT)
            began = loop.time()
            status = (await waiting).status
            took_s = loop.time() - began
            later = await cluster.send(sender, "/desk/1", "POST")
            links = sender.node.peers._links.values()
            await asyncio.sleep(0.1)
            silent = sum(len(link._silent_streams) for link in links)
            return status, round(took_s), later.status, silent

        config = mesh.configuration(1)
        config["routes"]["r-reserve"]["timeout"] = "3s"
        assert run_scenario(scenario, config=config) == (504, 3, 200, 0)

    def test_own_event_loop_pause_does_not_count_as_silence(self):
        async def scenario(cluster):
            sender = hosts_of(cluster, "desk")[0]
            for host in hosts_of(cluster, "drawers"):
                host.upstream.work_s = 0.4
            waiting = asyncio.ensure_future(cluster.send(sender))
            await asyncio.sleep(0.1)
            peers = sender.node.peers
            # The streams were not checked for two seconds.
            peers._last_tick -= 2.0
            peers.tick(asyncio.get_running_loop().time() + 2.0)
            reply = await waiting
            return reply.status, len(requests_run(cluster, "drawers"))

        assert run_scenario(scenario) == (200, 1)

    def test_idle_stream_does_not_count_as_silent(self):
        async def scenario(cluster):
            sender = hosts_of(cluster, "desk")[0]
            for host in hosts_of(cluster, "drawers"):
                host.upstream.work_s = 0.3
            statuses = []
            for _ in range(3):
                statuses.append((await cluster.send(sender)).status)
                await asyncio.sleep(5)
            return statuses

        assert run_scenario(scenario) == [200, 200, 200]


class TestLeaving:
    def test_draining_upstream_gets_no_new_requests(self):
        async def scenario(cluster):
            first, second = hosts_of(cluster, "drawers")
            cluster.store.put(
                f"servers/{first.instance_id}", first.entry(8, "draining")
            )
            await asyncio.sleep(0.1)
            for _ in range(8):
                await cluster.send(cluster.hosts[2])
            return len(first.upstream.ran), len(second.upstream.ran)

        assert run_scenario(scenario) == (0, 8)

    def test_stopping_node_serves_current_and_late_requests(self):
        async def scenario(cluster):
            host = hosts_of(cluster, "drawers")[0]
            for other in hosts_of(cluster, "drawers"):
                other.upstream.work_s = 0.3
            running = [
                asyncio.ensure_future(cluster.send(host)) for _ in range(4)
            ]
            kept = await cluster.connect(host)
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
            statuses = [(await task).status for task in running]
            ready = host.node.ready
            reply = await late
            await drained
            return statuses, ready, reply.status, reply.header(b"connection")

        statuses, ready, late, connection = run_scenario(scenario)
        assert statuses == [200] * 4
        assert not ready
        assert (late, connection) == (200, b"close")

    def test_stopping_node_notifies_its_peers(self):
        async def scenario(cluster):
            first, second = hosts_of(cluster, "drawers")
            sender = hosts_of(cluster, "desk")[0]
            for _ in range(6):
                await cluster.send(sender)
            first.node.stop()
            await asyncio.sleep(1.5)
            before = len(first.upstream.ran)
            statuses = [(await cluster.send(sender)).status for _ in range(6)]
            return statuses, len(first.upstream.ran) - before

        assert run_scenario(scenario) == ([200] * 6, 0)

    def test_upstream_still_serves_shortly_after_the_stop_signal(self):
        async def scenario(cluster):
            (host,) = hosts_of(cluster, "drawers")
            host.node.stop()
            await asyncio.sleep(1.0)
            return (await cluster.send(hosts_of(cluster, "desk")[0])).status

        services = {"drawers": ["low-a"], "desk": ["low-a"]}
        assert run_scenario(scenario, services) == 200


class TestCutRequests:
    """Requests whose connection the node closes are logged and counted."""

    def test_log_and_counter_contain_the_stage_of_cut_requests(self):
        async def scenario(cluster):
            host = hosts_of(cluster, "desk")[0]
            for other in cluster.hosts:
                other.upstream.work_s = 0.5
            lines = record_log(host)
            sending = [
                asyncio.ensure_future(
                    cluster.send(host, f"/{name}/1", method, request_id=name)
                )
                for name, method in (("drawers", "GET"), ("desk", "POST"))
            ]
            await asyncio.sleep(0.1)
            host.node.stop()
            for connection in list(host.node._connections):
                connection.close()
            await asyncio.gather(*sending)
            return lines, host.node.counts.render().decode()

        lines, metrics = run_scenario(scenario)
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
    def test_changed_service_is_sent_after_a_reload(self):
        async def scenario(cluster):
            host = hosts_of(cluster, "desk")[0]
            host.node._reload_options = lambda: host.options(service="moved")
            host.node.reload()
            await cluster.send(host)
            return [
                seen["x-savorytally-caller-service"]
                for other in hosts_of(cluster, "drawers")
                for seen in other.upstream.seen
            ]

        assert run_scenario(scenario) == ["moved"]


class TestRates:
    def test_first_requests_of_hosts_reach_the_rate_owner(self):
        """All hosts have just been started and no stream is open."""

        async def scenario(cluster):
            replies = await asyncio.gather(
                *(cluster.send(host) for host in cluster.hosts)
            )
            return [reply.status for reply in replies]

        assert (
            run_scenario(scenario, config=_rated_configuration()) == [200] * 4
        )


class TestRecovery:
    def kill(self, cluster, host):
        """Kill a node, without a graceful stop."""
        for task in host.node._tasks:
            task.cancel()
        host.node._store_watch.stop()
        for server in host.node._servers:
            server.close()
        for port in (mesh.ENTRY_PORT, mesh.READY_PORT, mesh.PEER_PORT):
            cluster.net.reset(host.address, port)

    def test_requests_are_served_soon_after_all_nodes_were_killed(self):
        async def scenario(cluster):
            for host in cluster.hosts:
                await cluster.send(host)
            for host in cluster.hosts:
                self.kill(cluster, host)
            await asyncio.sleep(1.0)
            for host in cluster.hosts:
                await host.start_node(first_start=False)
            replies = await asyncio.gather(
                *(cluster.send(host) for host in cluster.hosts)
            )
            return [reply.status for reply in replies]

        assert (
            run_scenario(scenario, config=_rated_configuration()) == [200] * 4
        )

    def test_starting_node_sends_a_retry_after_time(self):
        """Without a wait, the caller retried at once and was refused again."""

        async def scenario(cluster):
            host = cluster.hosts[0]
            self.kill(cluster, host)
            cluster.store.status = 503
            await host.start_node(first_start=False)
            reply = await cluster.send(host, remaining_ms=5000)
            return reply.status, float(reply.header(b"retry-after"))

        status, retry_after_s = run_scenario(scenario)
        assert status == 503
        assert 1.0 <= retry_after_s <= 5.0 / 3

    def test_replaced_upstream_gets_one_request_not_one_per_host(self):
        """The old entry remains listed for seconds after a power loss."""

        async def scenario(cluster):
            drawers = hosts_of(cluster, "drawers")
            for host in drawers:
                host.upstream.instance_id = f"{host.instance_id}-again"
            replies = [
                await cluster.send(sender, request_id=f"r-{number}")
                for number, sender in enumerate(cluster.hosts * 5)
            ]
            arrived = sum(len(host.upstream.arrived) for host in drawers)
            waits = {
                float(reply.header(b"retry-after")) >= 0.6 for reply in replies
            }
            return {reply.status for reply in replies}, arrived, waits

        statuses, arrived, waits = run_scenario(scenario)
        assert (statuses, waits) == ({503}, {True})
        assert arrived == 2


class TestRestartWithFailingStore:
    """A node restarts while the store is down, unresponsive or refuses it."""

    async def restart(self, cluster, host, store_state):
        TestRecovery().kill(cluster, host)
        if store_state == "down":
            cluster.store.status = 503
        await host.start_node(first_start=False)
        if store_state == "turns it away":
            host.store_client._pool.acquire = lambda fresh, take: take(None)
        elif store_state == "silent":
            host.store_client._pool.acquire = lambda fresh, take: None
        await asyncio.sleep(3.0)

    @pytest.mark.parametrize(
        "store_state", ["down", "turns it away", "silent"]
    )
    def test_withdrawn_key_stays_rejected(self, store_state):
        async def scenario(cluster):
            host = cluster.hosts[0]
            withdrawn = mesh.configuration(2)
            withdrawn["tenants"]["growers"]["api_keys"] = ["another"]
            cluster.store.put("op/config", withdrawn)
            await asyncio.sleep(2.0)
            await self.restart(cluster, host, store_state)
            return (await cluster.send(host)).status, host.node.version

        # The node can't know whether a newer version has the key again.
        status, version = run_scenario(scenario)
        assert (status, version) in ((503, 0), (503, 2))

    @pytest.mark.parametrize(
        "store_state", ["down", "turns it away", "silent"]
    )
    def test_removed_upstream_gets_no_requests(self, store_state):
        async def scenario(cluster):
            host = cluster.hosts[0]
            left = hosts_of(cluster, "drawers")[1]
            cluster.store.delete(f"servers/{left.instance_id}")
            await asyncio.sleep(2.0)
            await self.restart(cluster, host, store_state)
            before = len(left.upstream.arrived)
            for _ in range(10):
                await cluster.send(host)
            return len(left.upstream.arrived) - before

        assert run_scenario(scenario) == 0

    def test_outdated_peer_does_not_restore_an_older_version(self):
        async def scenario(cluster):
            host, behind = cluster.hosts[0], cluster.hosts[1]
            old = behind.node.compressed_configuration()
            cluster.store.put("op/config", mesh.configuration(2, routes={}))
            await asyncio.sleep(2.0)
            TestRecovery().kill(cluster, host)
            await host.start_node(first_start=False)
            await asyncio.sleep(0.3)
            host.node.apply_compressed(old)
            return host.node.version, (await cluster.send(host)).status

        assert run_scenario(scenario) == (2, 404)


class TestConfiguration:
    def test_newer_version_takes_effect_and_is_not_reverted(self):
        async def scenario(cluster):
            host = cluster.hosts[0]
            cluster.store.put("op/config", mesh.configuration(7, routes={}))
            await asyncio.sleep(0.1)
            gone = (await cluster.send(host)).status
            cluster.store.put("op/config", mesh.configuration(3))
            await asyncio.sleep(0.1)
            return gone, (await cluster.send(host)).status, host.node.version

        assert run_scenario(scenario) == (404, 404, 7)

    def test_malformed_version_does_not_replace_the_old_one(self):
        async def scenario(cluster):
            broken = mesh.configuration(2)
            del broken["routes"]["r-lookup"]["kind"]
            cluster.store.put("op/config", broken)
            await asyncio.sleep(0.1)
            host = cluster.hosts[0]
            return host.node.version, (await cluster.send(host)).status

        assert run_scenario(scenario) == (1, 200)

    def test_node_without_store_gets_configuration_from_peers(self):
        async def scenario(cluster):
            away = cluster.hosts[0]
            # Its watch gets no more responses, and new connections hang.
            for transport in cluster.net.open[
                mesh.STORE.host, mesh.STORE.port
            ]:
                owner = transport.protocol
                pools = [away.store_client._pool]
                if any(owner in pool._open for pool in pools):
                    transport.drops_data = True
            cluster.store.put("op/config", mesh.configuration(5))
            await asyncio.sleep(1.9)
            return away.node.version

        assert run_scenario(scenario) == 5

    def test_configuration_is_pulled_from_one_peer_at_a_time(self):
        """The store refuses a node; all its peers have a newer version."""
        received = collections.Counter()

        async def scenario(cluster):
            for host in cluster.hosts:
                await asyncio.gather(
                    *(cluster.send(host) for _ in range(len(cluster.hosts)))
                )
            behind = hosts_of(cluster, "desk")[0]
            behind.store_client._pool.acquire = lambda fresh, take: take(None)
            cluster.net.reset(mesh.STORE.host, mesh.STORE.port)
            await asyncio.sleep(3)
            for host in cluster.hosts:
                learn = host.node.apply_compressed

                def counted(packed, host=host, learn=learn):
                    received[host.address] += 1
                    learn(packed)

                host.node.apply_compressed = counted
            cluster.store.put("op/config", mesh.configuration(2))
            await asyncio.sleep(4)
            return [host.node.version for host in cluster.hosts]

        services = {"drawers": ["low-a"] * 8, "desk": ["low-a"]}
        assert set(run_scenario(scenario, services)) == {2}
        assert max(received.values()) == 1

    def test_withdrawn_key_is_rejected_on_an_open_connection(self):
        async def scenario(cluster):
            host = cluster.hosts[0]
            connection = await cluster.connect(host)
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
                cluster.store.put(
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

        assert run_scenario(scenario) == [200, 401]

    def test_lost_store_history_leads_to_a_new_snapshot(self):
        async def scenario(cluster):
            cluster.store.forget()
            for transport in cluster.net.open[
                mesh.STORE.host, mesh.STORE.port
            ]:
                transport.abort()
            cluster.store.revision += 5
            cluster.store.forget()
            cluster.store.items["op/config"]["value"] = _encoded(9)
            await asyncio.sleep(2)
            return [host.node.version for host in cluster.hosts]

        assert run_scenario(scenario) == [9, 9, 9, 9]

    def test_malformed_entry_is_ignored(self):
        async def scenario(cluster):
            cluster.store.put("servers/i-x", b"\xff\x00")
            cluster.store.put("servers/i-y", {"service": 3})
            cluster.store.put(
                "servers/i-z",
                {**cluster.hosts[0].entry(), "state": "confused"},
            )
            await asyncio.sleep(0.1)
            return (
                len(cluster.hosts[0].node._upstream_list.instances),
                (await cluster.send(cluster.hosts[2])).status,
            )

        assert run_scenario(scenario) == (4, 200)


def _encoded(version):
    """Return a configuration as the store encodes it."""
    import base64
    import json

    raw = json.dumps(mesh.configuration(version)).encode()
    return base64.b64encode(raw).decode()


class TestCallChains:
    def test_call_inherits_the_rank_of_its_parent(self):
        config = mesh.configuration(1)
        config["routes"]["r-ledger"] = mesh.route(
            "ledger", auth_exempt=True, priority=3
        )
        config["routes"]["r-lookup"]["priority"] = 2
        ranks = []

        async def scenario(cluster):
            for host in hosts_of(cluster, "desk") + hosts_of(
                cluster, "drawers"
            ):

                async def calls(headers, host=host):
                    left_ms = int(headers["x-savorytally-deadline-ms"])
                    reply = await cluster.send(
                        host,
                        "/ledger/1",
                        key=None,
                        remaining_ms=min(left_ms, 600),
                    )
                    return 200 if reply.status == 200 else 500

                host.upstream.calls = calls
            ledger = hosts_of(cluster, "ledger")[0]
            queue = ledger.node.gate.queue
            offer = queue.offer

            def watched(job, now):
                ranks.append((job.rank, job.child))
                return offer(job, now)

            queue.offer = watched
            await cluster.send(cluster.hosts[0], "/desk/1", "POST")
            await cluster.send(cluster.hosts[0], "/drawers/1")

        run_scenario(
            scenario,
            {"drawers": ["low-a"], "desk": ["low-a"], "ledger": ["low-a"]},
            config=config,
        )
        assert ranks == [(16, True), (18, True)]

    def test_unreachable_upstream_fails_fast(self):
        async def scenario(cluster):
            for host in cluster.hosts:
                cluster.net.reset(host.address, mesh.UPSTREAM_PORT)
                cluster.net.servers.pop(
                    (host.address, mesh.UPSTREAM_PORT), None
                )
            loop = asyncio.get_running_loop()
            began = loop.time()
            reply = await cluster.send(cluster.hosts[0])
            return reply.status, loop.time() - began

        status, took_s = run_scenario(scenario)
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


class TestUnlistedUpstreams:
    def test_last_upstream_serves_even_if_unlisted(self):
        async def scenario(cluster):
            for host in hosts_of(cluster, "drawers"):
                cluster.store.delete(f"servers/{host.instance_id}")
            await asyncio.sleep(0.5)
            return [
                (await cluster.send(cluster.hosts[2])).status for _ in range(3)
            ]

        assert run_scenario(scenario, config=_health_configuration()) == [
            200,
            200,
            200,
        ]

    def test_unlisted_draining_upstream_gets_no_requests(self):
        async def scenario(cluster):
            for host in hosts_of(cluster, "drawers"):
                cluster.store.delete(f"servers/{host.instance_id}")
                host.upstream.leaving = True
            await asyncio.sleep(0.5)
            reply = await cluster.send(cluster.hosts[2])
            return reply.status, requests_run(cluster, "drawers")

        assert run_scenario(scenario, config=_health_configuration()) == (
            503,
            [],
        )

    def test_listed_upstreams_are_preferred_to_unlisted_ones(self):
        async def scenario(cluster):
            first, second = hosts_of(cluster, "drawers")
            cluster.store.delete(f"servers/{first.instance_id}")
            await asyncio.sleep(0.5)
            for _ in range(6):
                await cluster.send(cluster.hosts[2])
            return len(first.upstream.ran), len(second.upstream.ran)

        assert run_scenario(scenario, config=_health_configuration()) == (0, 6)


class TestRestartedUpstreams:
    """Upstreams restart while earlier instances are still listed."""

    def test_later_instance_replaces_earlier_ones(self):
        async def scenario(cluster):
            for host in hosts_of(cluster, "drawers"):
                for number in range(6):
                    name = f"{host.instance_id}-{number}"
                    cluster.store.put(f"servers/{name}", host.entry())
                host.upstream.instance_id = name
            await asyncio.sleep(0.5)
            statuses = [
                (await cluster.send(cluster.hosts[2])).status for _ in range(8)
            ]
            return set(statuses)

        assert run_scenario(scenario) == {200}

    def test_unlisted_instance_does_not_consume_attempts(self):
        """Two of three upstreams have restarted, but are not listed yet."""

        async def scenario(cluster):
            for host in hosts_of(cluster, "drawers")[:2]:
                host.upstream.instance_id = "i-unseen"
            statuses = []
            for sender in hosts_of(cluster, "desk"):
                statuses.append((await cluster.send(sender)).status)
            return statuses

        services = {
            "drawers": ["low-a"] * 3,
            "desk": ["low-a"] * 12,
        }
        # The retry budget must not limit this test.
        bounds = options.Bounds(retry_slack=500.0)
        assert run_scenario(scenario, services, bounds=bounds) == [200] * 12


def _rated_configuration():
    config = mesh.configuration(1)
    config["tenants"]["growers"].update(rate_per_s=100, burst=100)
    return config


def _health_configuration():
    services = {
        name: {"health_path": "/healthz"} for name in ("drawers", "desk")
    }
    return mesh.configuration(1, services=services)


class TestPoisonRequests:
    """A request that crashes each upstream that runs it is sent repeatedly."""

    RESTART_S = 0.4

    def arm_crashes(self, cluster, crashes):
        """Let requests named boom crash the upstream that runs them."""
        for host in hosts_of(cluster, "drawers"):

            async def calls(headers, host=host):
                if headers["x-savorytally-attempt-id"].startswith("boom"):
                    crashes.append(host.address)
                    self.crash(cluster, host)
                    await asyncio.sleep(self.RESTART_S)
                return 200

            host.upstream.calls = calls

    def crash(self, cluster, host):
        place = (host.address, mesh.UPSTREAM_PORT)
        server = cluster.net.servers.pop(place)
        cluster.net.reset(*place)
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.RESTART_S, cluster.net.servers.setdefault, place, server
        )

    def test_poison_request_is_refused_after_three_crashes(self):
        crashes = []

        async def scenario(cluster):
            self.arm_crashes(cluster, crashes)
            statuses = []
            for number in range(8):
                host = cluster.hosts[number % len(cluster.hosts)]
                reply = await cluster.send(
                    host, "/drawers/bad", request_id=f"boom-{number}"
                )
                statuses.append(reply.status)
                await asyncio.sleep(2 * self.RESTART_S)
            other = await cluster.send(cluster.hosts[2], "/drawers/good")
            return statuses, other.status

        statuses, other = run_scenario(scenario)
        assert len(crashes) <= 4
        assert statuses[-4:] == [503] * 4
        assert other == 200

    def test_request_served_between_crashes_is_not_refused(self):
        crashes = []

        async def scenario(cluster):
            self.arm_crashes(cluster, crashes)
            statuses = []
            for number in range(6):
                await cluster.send(
                    cluster.hosts[2],
                    "/drawers/hot",
                    request_id=f"boom-{number}",
                )
                await asyncio.sleep(2 * self.RESTART_S)
                reply = await cluster.send(cluster.hosts[3], "/drawers/hot")
                statuses.append(reply.status)
            return statuses

        assert run_scenario(scenario) == [200] * 6

    def test_lost_responses_do_not_count_as_crashes(self):
        async def scenario(cluster):
            for host in hosts_of(cluster, "drawers"):
                host.upstream.fault = lambda connection, name, answer: (
                    connection.transport.abort()
                )
            for _ in range(6):
                await cluster.send(cluster.hosts[2], "/drawers/lost")
            for host in hosts_of(cluster, "drawers"):
                host.upstream.fault = None
            await asyncio.sleep(1.0)
            return (
                await cluster.send(cluster.hosts[2], "/drawers/lost")
            ).status

        assert run_scenario(scenario) == 200
