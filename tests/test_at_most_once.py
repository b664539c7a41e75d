"""Tests of the guarantees for requests that may run at most once."""

import asyncio
import itertools

from fakes import mesh
from fakes import net
import pytest

from savorytally.dataplane import options
from savorytally.dataplane import pool
from savorytally.dataplane import retries

SERVICES = {"drawers": ["low-a"], "desk": ["low-a"]}


def run_on_mesh(scenario, services=SERVICES, **changes):
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


def reserve(cluster, host, request_id="", **changes):
    """Send a request that may run at most once."""
    return cluster.send(
        host, "/desk/1", "POST", body=b"lot", request_id=request_id, **changes
    )


class TestNotRunReasons:
    """Log lines and counters give the reason why a request has not run."""

    def logged_reasons(self, prepare):
        """Return the logged reasons and the metrics of gate and entry.

        :param prepare: called with the mesh and the serving host first.
        """
        lines = []

        async def scenario(cluster):
            (sender,) = hosts_of(cluster, "drawers")
            (serving,) = hosts_of(cluster, "desk")
            for host in cluster.hosts:
                host.node.log.event = lambda name, **fields: lines.append(
                    (name, fields)
                )
            prepare(cluster, serving)
            await reserve(cluster, sender)
            return [host.node.counts.render() for host in (serving, sender)]

        metrics = run_on_mesh(scenario)
        logged = {
            name: (fields["ground"], fields.get("named"))
            for name, fields in lines
            if name in ("gate", "request")
        }
        return logged, metrics

    def test_not_run_mark_in_an_answer_that_names_its_request(self):
        def prepare(cluster, serving):
            serving.upstream.echoes_refused = True
            serving.upstream.rejects = lambda: True

        logged, (gate, sender) = self.logged_reasons(prepare)
        assert logged == {"gate": ("mark", True), "request": ("gate", None)}
        counted = b'savorytally_not_run_total{ground="mark",answer="named"} '
        (line,) = [
            line for line in gate.splitlines() if line.startswith(counted)
        ]
        # Every attempt is counted; retries go to the only upstream, too.
        assert int(line.removeprefix(counted)) == retries.OFFERS_MAX
        assert (
            b'savorytally_not_run_total{ground="gate",answer=""} 1'
        ) in sender

    def test_another_upstream_at_the_address(self):
        def prepare(cluster, serving):
            serving.upstream.instance_id = "i-somebody-else"

        logged, (gate, _) = self.logged_reasons(prepare)
        assert logged["gate"] == ("misdirected", False)
        assert b'{ground="misdirected",answer="unnamed"} 1' in gate

    def test_no_connection_to_the_upstream(self):
        def prepare(cluster, serving):
            del cluster.net.servers[serving.address, mesh.UPSTREAM_PORT]

        logged, (gate, _) = self.logged_reasons(prepare)
        assert logged["gate"] == ("no_connection", None)
        assert b'{ground="no_connection",answer=""}' in gate

    def test_no_stream_to_the_host(self):
        def prepare(cluster, serving):
            del cluster.net.servers[serving.address, mesh.PEER_PORT]
            cluster.net.reset(serving.address, mesh.PEER_PORT)

        logged, (_, sender) = self.logged_reasons(prepare)
        assert logged == {"request": ("unsent", None)}
        assert b'{ground="unsent",answer=""} 1' in sender

    def test_request_that_may_have_run_has_no_not_run_reason(self):
        def prepare(cluster, serving):
            serving.upstream.fault = lambda connection, name, answer: (
                connection.transport.abort()
            )

        logged, (gate, sender) = self.logged_reasons(prepare)
        assert logged == {"gate": ("", None), "request": ("", None)}
        assert b"savorytally_not_run_total{" not in gate + sender


def runs(cluster):
    """Return the requests that ran, in order."""
    return [name for host in cluster.hosts for name in host.upstream.ran]


def duplicate_answers(delay_s, times=1):
    """Return a function that writes the first answers twice.

    :param delay_s: time between an answer and its duplicate; 0 puts both
        into one segment.
    :param times: number of answers to duplicate.
    """
    remaining = [times]

    def write(connection, answer):
        remaining[0] -= 1
        if remaining[0] < 0:
            connection.transport.write(answer)
        elif not delay_s:
            connection.transport.write(answer + answer)
        else:
            connection.transport.write(answer)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, connection.transport.write, answer)

    return write


def answer_with(status):
    """Return a handler that runs a request and answers with a status."""

    async def answer(request):
        return status

    return answer


class TestUnmarkedFailures:
    """Failure answers without a mark that the request has not run."""

    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_status_that_implies_not_run_is_replaced(self, status):
        async def scenario(cluster):
            (serving,) = hosts_of(cluster, "desk")
            serving.upstream.calls = answer_with(status)
            reply = await reserve(
                cluster, hosts_of(cluster, "drawers")[0], "lot"
            )
            return reply.status, runs(cluster), reply.header(b"retry-after")

        assert run_on_mesh(scenario) == (502, ["lot"], b"")

    @pytest.mark.parametrize("status", [500, 504])
    def test_other_failure_statuses_are_forwarded(self, status):
        async def scenario(cluster):
            (serving,) = hosts_of(cluster, "desk")
            serving.upstream.calls = answer_with(status)
            reply = await reserve(
                cluster, hosts_of(cluster, "drawers")[0], "lot"
            )
            return reply.status, reply.header(mesh.SIGNATURE.encode())

        assert run_on_mesh(scenario) == (status, b"sig-lot")

    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_failures_of_idempotent_requests_are_forwarded(self, status):
        async def scenario(cluster):
            for host in hosts_of(cluster, "drawers"):
                host.upstream.calls = answer_with(status)
            reply = await cluster.send(
                hosts_of(cluster, "desk")[0], "/drawers/1", request_id="look"
            )
            signature = reply.header(mesh.SIGNATURE.encode())
            return reply.status, signature, reply.body

        assert run_on_mesh(scenario) == (
            status,
            b"sig-look",
            b"answer to look",
        )

    @pytest.mark.parametrize("refusal", [503, 400])
    def test_run_that_failed_counts_when_its_repeat_is_refused(self, refusal):
        """Callers were told that a request had not run after it had failed."""

        async def scenario(cluster):
            (serving,) = hosts_of(cluster, "drawers")
            upstream = serving.upstream
            upstream.calls = answer_with(500)
            upstream.rejects = lambda: bool(upstream.ran)
            # Each refusal is the first on its connection.
            upstream.advertised_headers = {"connection": "close"}
            upstream.write = lambda connection, answer: (
                connection.transport.write(
                    answer.replace(b"503", b"%d" % refusal, 1)
                )
            )
            reply = await cluster.send(
                hosts_of(cluster, "desk")[0], "/drawers/1", request_id="look"
            )
            mark = reply.header(b"x-savorytally-not-executed")
            return reply.status, mark, runs(cluster)

        expected_status = 502 if refusal == 503 else refusal
        assert run_on_mesh(scenario) == (expected_status, b"", ["look"])


class TestDuplicateAnswers:
    """Duplicates of answers that arrive where the next one is expected."""

    @pytest.mark.parametrize("delay_s", [0.0, 0.002])
    @pytest.mark.parametrize("named", [False, True])
    def test_duplicate_rejection_is_not_used_for_the_next_request(
        self, delay_s, named
    ):
        async def scenario(cluster):
            (serving,) = hosts_of(cluster, "desk")
            refusals = [True]
            serving.upstream.echoes_refused = named
            serving.upstream.work_s = 0.05
            serving.upstream.rejects = lambda: bool(
                refusals and refusals.pop()
            )
            serving.upstream.write = duplicate_answers(delay_s)
            # The gate sends the retry before it reads the duplicate.
            reply = await reserve(cluster, serving, "lot")
            await asyncio.sleep(0.5)
            return reply.status, runs(cluster)

        assert run_on_mesh(scenario) == (200, ["lot"])

    def test_duplicate_before_an_answer_does_not_hide_it(self):
        """The work was lost, although its answer had been received."""

        async def scenario(cluster):
            (serving,) = hosts_of(cluster, "drawers")
            upstream = serving.upstream
            refusals = []
            upstream.rejects = lambda: not refusals

            def write(connection, answer):
                connection.transport.write(b"".join(refusals) + answer)
                refusals[:] = [answer]

            upstream.write = write
            reply = await cluster.send(serving, request_id="look")
            return reply.status, reply.body, runs(cluster)

        assert run_on_mesh(scenario) == (200, b"answer to look", ["look"])

    def test_duplicate_health_answer_is_not_used_for_the_next_request(self):
        services = {"desk": {"health_path": "/healthz"}}
        config = mesh.configuration(1, services=services)

        async def scenario(cluster):
            (serving,) = hosts_of(cluster, "desk")
            (sender,) = hosts_of(cluster, "drawers")
            upstream = serving.upstream
            cluster.store.delete(f"servers/{serving.instance_id}")
            await asyncio.sleep(0.5)
            upstream.leaving = True
            upstream.write = duplicate_answers(0.5)
            await reserve(cluster, sender)
            upstream.leaving = False
            upstream.instance_id = "i-next"
            cluster.store.put("servers/i-next", serving.entry())
            await asyncio.sleep(0.4)
            upstream.work_s = 0.4
            reply = await reserve(cluster, sender, "lot")
            return reply.status, runs(cluster)

        assert run_on_mesh(scenario, config=config) == (200, ["lot"])

    def test_duplicate_health_refusal_is_no_proof_for_a_safe_request(self):
        services = {"drawers": {"health_path": "/healthz"}}
        config = mesh.configuration(1, services=services)

        async def scenario(cluster):
            (serving,) = hosts_of(cluster, "drawers")
            upstream = serving.upstream
            upstream.leaving = True
            upstream.advertised_headers = {"x-savorytally-not-executed": "1"}
            upstream.write = duplicate_answers(0.1)
            serving.node.gate.health.probe()
            await asyncio.sleep(0.05)
            upstream.advertised_headers = {}
            upstream.work_s = 0.2
            reply = await cluster.send(serving, request_id="look")
            return reply.status, runs(cluster)

        # Without a retry budget, the refusal ends the request.
        bounds = options.Bounds(retry_slack=0.0)
        ended = run_on_mesh(scenario, config=config, bounds=bounds)
        assert ended == (502, ["look"])

    def test_duplicate_421_is_not_used_for_the_next_request(self):
        async def scenario(cluster):
            (serving,) = hosts_of(cluster, "desk")
            (sender,) = hosts_of(cluster, "drawers")
            serving.upstream.instance_id = "i-next"
            serving.upstream.write = duplicate_answers(0.5)
            await reserve(cluster, sender)
            cluster.store.delete(f"servers/{serving.instance_id}")
            cluster.store.put("servers/i-next", serving.entry())
            await asyncio.sleep(0.4)
            serving.upstream.work_s = 0.4
            reply = await reserve(cluster, sender, "lot")
            return reply.status, runs(cluster)

        assert run_on_mesh(scenario) == (200, ["lot"])

    def test_bytes_after_an_answer_affect_no_other_request(self):
        """The next request waits for the capacity that the answer frees."""

        async def scenario(cluster):
            (serving,) = hosts_of(cluster, "desk")
            (sender,) = hosts_of(cluster, "drawers")
            serving.upstream.work_s = 0.05
            remaining = [1]

            def write(connection, answer):
                remaining[0] -= 1
                extra_bytes = (
                    b"\x00\x01 no answer" if remaining[0] == 0 else b""
                )
                connection.transport.write(answer + extra_bytes)

            serving.upstream.write = write
            replies = await asyncio.gather(
                reserve(cluster, sender, "a"), reserve(cluster, sender, "b")
            )
            return [reply.status for reply in replies], sorted(runs(cluster))

        assert run_on_mesh(scenario, slots=2) == ([200, 200], ["a", "b"])


class TestConnections:
    """Number of connections that an upstream's rejections cost."""

    def count_connections(self, idempotent):
        """Return the numbers of connections and rejections in 200 requests."""

        async def scenario(cluster):
            name = "drawers" if idempotent else "desk"
            (serving,) = hosts_of(cluster, name)
            arrivals = itertools.count()
            refused = []

            def rejects():
                if next(arrivals) % 2:
                    return False
                refused.append(1)
                return True

            serving.upstream.rejects = rejects
            for _ in range(200):
                if idempotent:
                    await cluster.send(serving)
                else:
                    await reserve(cluster, serving)
            address = (serving.address, mesh.UPSTREAM_PORT)
            return len(cluster.net.open[address]), len(refused)

        bounds = options.Bounds(retry_slack=1000.0)
        return run_on_mesh(scenario, bounds=bounds)

    def test_rejected_idempotent_requests_open_no_connection(self):
        opened, refused = self.count_connections(True)
        assert refused > 100
        assert opened == 1

    def test_rejected_at_most_once_requests_open_one_connection_each(self):
        opened, refused = self.count_connections(False)
        assert refused > 100
        assert opened <= refused + 1


class TestEndingConnections:
    """Calls whose stream or connection ends while it is opened or in use."""

    def test_stream_that_ends_while_opening_fails_its_calls(self):
        """The stream ends before the task that opens it resumes."""

        async def scenario(cluster):
            (serving,) = hosts_of(cluster, "desk")
            (sender,) = hosts_of(cluster, "drawers")
            loop = asyncio.get_running_loop()
            cluster.net.reset(serving.address, mesh.PEER_PORT)
            await asyncio.sleep(0.01)
            connect = loop.create_connection

            async def abort_while_connecting(factory, host, port, **arguments):
                connected = await connect(factory, host, port, **arguments)
                if port == mesh.PEER_PORT:
                    connected[0].abort()
                    await asyncio.sleep(0.001)
                return connected

            loop.create_connection = abort_while_connecting
            started_at = loop.time()
            reply = await reserve(cluster, sender, "lot")
            return reply.status, loop.time() - started_at, runs(cluster)

        status, took_s, ran = run_on_mesh(scenario)
        assert (status, ran) == (503, [])
        assert took_s < 0.1

    def test_calls_that_wait_for_a_stream_fail_when_it_is_closed(self):
        """A node closes all its streams while it opens one."""

        async def scenario(cluster):
            (serving,) = hosts_of(cluster, "desk")
            (sender,) = hosts_of(cluster, "drawers")
            loop = asyncio.get_running_loop()
            cluster.net.reset(serving.address, mesh.PEER_PORT)
            cluster.net.unreachable.add((serving.address, mesh.PEER_PORT))
            await asyncio.sleep(0.01)
            started_at = loop.time()
            task = asyncio.ensure_future(reserve(cluster, sender, "lot"))
            await asyncio.sleep(0.05)
            sender.node.peers.close()
            reply = await task
            return reply.status, loop.time() - started_at

        status, took_s = run_on_mesh(scenario)
        assert status == 503
        assert took_s < 0.1

    def test_connection_that_is_opening_when_the_pool_closes_fails_its_call(
        self,
    ):
        async def work():
            address = options.Address("10.1.0.1", mesh.UPSTREAM_PORT)
            loop = asyncio.get_running_loop()
            loop.net.unreachable.add((address.host, address.port))
            connections = pool.Pool(address)
            opened = []
            connections.acquire(True, opened.append)
            await asyncio.sleep(0.01)
            connections.close()
            await asyncio.sleep(0.01)
            return opened

        assert net.run(work) == [None]

    def test_health_check_ends_no_other_request(self):
        """The event loop is late: a check is due before a timer has fired."""

        async def scenario(cluster):
            (serving,) = hosts_of(cluster, "drawers")
            (sender,) = hosts_of(cluster, "desk")
            loop = asyncio.get_running_loop()
            health = serving.node.gate.health
            health.learn_path("/healthz")
            health.check(serving.instance_id, lambda good: None)
            await asyncio.sleep(0.8)
            serving.upstream.work_s = 0.5
            task = asyncio.ensure_future(
                cluster.send(sender, request_id="look")
            )
            await asyncio.sleep(0.1)
            loop._virtual.advance(0.2)
            health.check(serving.instance_id, lambda good: None)
            reply = await task
            return reply.status, runs(cluster)

        assert run_on_mesh(scenario) == (200, ["look"])

    def test_request_that_waits_for_a_rate_owner_is_rejected_at_its_deadline(
        self,
    ):
        config = mesh.configuration(1)
        config["tenants"]["growers"].update(rate_per_s=100, burst=100)

        async def scenario(cluster):
            statuses = []
            for host in cluster.hosts:
                cluster.net.reset(host.address, mesh.PEER_PORT)
                cluster.net.unreachable.add((host.address, mesh.PEER_PORT))
            await asyncio.sleep(0.01)
            for host in hosts_of(cluster, "drawers"):
                reply = await reserve(cluster, host, remaining_ms=40)
                statuses.append(reply.status)
            return statuses, runs(cluster)

        services = {"drawers": ["low-a"] * 4, "desk": ["low-a"]}
        assert run_on_mesh(scenario, services, config=config) == (
            [503] * 4,
            [],
        )
