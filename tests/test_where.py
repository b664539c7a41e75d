"""A node explains where a request would be sent, and changes nothing."""

import asyncio
import copy
import json
import pickle
import random
import socket
import threading
import urllib.parse

from fakes import advertised
from fakes import mesh
from fakes import net
import pytest

from savorytally import cli
from savorytally import results
from savorytally.commands import base
from savorytally.dataplane import exchanges
from savorytally.dataplane import options
from savorytally.dataplane import pool
from savorytally.decisions import advertised_state
from savorytally.decisions import backpressure
from savorytally.decisions import placement
from savorytally.decisions import placement_report
from savorytally.world import catalog

SERVICES = {"drawers": ["low-a", "low-b", "up-a"], "desk": ["low-a"]}
QUESTION = {"host": "seeds.example", "path": "/drawers/1"}
REGIONS = {"low-a": "low", "low-b": "low", "up-a": "up"}


async def ask(node_host, **changes):
    """Return status and JSON of a question to a host's metrics port."""
    query = urllib.parse.urlencode(QUESTION | changes)
    opened = asyncio.Future()
    address = options.Address(node_host.address, mesh.PEER_PORT + 1)
    pool.Pool(address).acquire(False, opened.set_result)
    connection = await opened
    answered = asyncio.Future()
    connection.request(
        f"GET /where?{query} HTTP/1.1\r\nhost: node\r\n\r\n".encode(),
        lambda reply: True,
        lambda used, result: answered.set_result(result),
    )
    reply = await answered
    connection.close()
    assert isinstance(reply, exchanges.Response)
    assert mesh.KEY.encode() not in reply.body
    return reply.status, json.loads(reply.body)


def run(scenario, **changes):
    """Run a scenario on a started mesh."""

    async def work():
        cluster = mesh.Mesh()
        await cluster.start(SERVICES, **changes)
        return await scenario(cluster)

    return net.run(work)


def answer(**changes):
    """Return status and JSON of a question on a new mesh."""
    config = changes.pop("config", None)
    return run(lambda there: ask(there.hosts[0], **changes), config=config)


def config(**tables):
    """Return a configuration with changes in some members."""
    value = mesh.configuration(1)
    for table, members in tables.items():
        for name, changes in members.items():
            value[table][name] |= changes
    return value


def reasons(value):
    """Return the reason of each upstream of the first service."""
    return {
        item["instance"]: item["reason"]
        for item in value["services"][0]["upstreams"]
    }


def state_of(node):
    """Return the state that decisions on requests are made from."""
    entry = node.entry
    placed = entry.placement
    parts = (
        placed._upstreams,
        placed._advertisements,
        placed._evacuated,
        entry.splits._credits,
        entry.backpressure.waits._means,
        entry.backpressure.waits._unreported,
        node.rates.pool._buckets,
        node.rates._local_share._used_turns,
        node.rates._refused_until,
        node.rates._pending,
        node.rates._owners,
        entry.active,
    )
    return (
        copy.deepcopy(parts),
        node.counts.render(),
        (placed._random.getstate()),
    )


class TestAnswer:
    def test_names_route_service_and_the_upstream_with_the_least_time(self):
        status, value = answer(organisation="growers")
        assert status == 200
        assert (value["code"], value["name"]) == (2000, "answered")
        assert value["route"]["name"] == "r-lookup"
        assert value["organisation"]["name"] == "growers"
        found = reasons(value)
        chosen = value["services"][0]["chosen"]
        assert found[chosen] == "chosen"
        assert sorted(found.values()) == ["chosen", "slower", "slower"]
        best = value["services"][0]["upstreams"][0]
        parts = best["parts"]
        parts.pop("spread_ms")
        assert sum(parts.values()) == pytest.approx(best["expected_ms"])

    def test_upstreams_of_evacuated_data_centres_are_named(self):
        async def scenario(cluster):
            cluster.store.put("op/evacuate/low-a", {})
            await asyncio.sleep(1)
            found = await ask(cluster.hosts[1], organisation="growers")
            desk = await ask(
                cluster.hosts[1], path="/desk/1", organisation="growers"
            )
            return found[1], desk[1]

        found, desk = run(scenario)
        assert reasons(found)["i-1"] == "evacuated"
        assert desk["name"] == "data_centre_evacuated"
        shortest, longest = desk["services"][0]["refusal"]["retry_after_ms"]
        # Callers honour a third of their second at most.
        assert 0 < shortest <= longest <= 1000 / 3

    def test_upstreams_outside_the_permitted_regions_are_named(self):
        homes = config(routes={"r-lookup": {"allowed_regions": ["up"]}})
        _, value = answer(config=homes, organisation="growers")
        assert value["regions"] == ["up"]
        assert reasons(value) == {
            "i-1": "region_not_permitted",
            "i-2": "region_not_permitted",
            "i-3": "chosen",
        }

    def test_request_without_an_organisation_would_lack_a_key(self):
        assert answer()[1]["name"] == "key_missing"

    def test_split_states_the_parts_and_their_weights(self):
        async def scenario(cluster):
            node = cluster.hosts[0].node
            route = node._catalog.routes["r-lookup"]
            clusters = (
                catalog.Cluster("drawers", 3.0),
                catalog.Cluster("desk", 1.0),
            )
            object.__setattr__(route, "clusters", clusters)
            return await ask(cluster.hosts[0], organisation="growers")

        _, value = run(scenario)
        parts = [(i["service"], i["share"]) for i in value["services"]]
        assert parts == [("drawers", 0.75), ("desk", 0.25)]

    def test_used_up_rate_is_refused_with_the_time_to_retry(self):
        limited = config(tenants={"growers": {"rate_per_s": 1, "burst": 1}})

        async def scenario(cluster):
            load = advertised.Load(cluster)
            await load.run(60, 2)
            return [
                (await ask(host, organisation="growers"))[1]
                for host in cluster.hosts
            ]

        found = run(scenario, config=limited)
        owned = [
            v for v in found if v["organisation"]["share"]["decided_here"]
        ]
        assert owned
        assert all(value["name"] == "over_rate" for value in owned)
        refusal = owned[0]["refusals"][0]
        assert refusal["share"] == 1.0
        shortest, longest = refusal["retry_after_ms"]
        # Callers honour a third of their second at most.
        assert 0 < shortest <= longest <= 1000 / 3

    def test_overloaded_chain_is_refused_in_part(self):
        async def scenario(cluster):
            entry = cluster.hosts[0].node.entry
            kind = ("r-lookup", 1 + 16)
            now = asyncio.get_running_loop().time()
            for _ in range(30):
                entry.backpressure.note(kind, 0.2, now)
            return await ask(cluster.hosts[0], organisation="growers")

        _, value = run(scenario)
        refusal = value["refusals"][0]
        assert refusal["name"] == "shed_for_chain"
        assert 0 < refusal["share_of_retries"] < refusal["share"] <= 0.92

    @pytest.mark.parametrize(
        ("changes", "status", "name"),
        [
            ({"path": "/nothing/1"}, 404, "unknown_route"),
            ({"organisation": "nobody"}, 404, "organisation_unknown"),
            ({"organisation": mesh.KEY}, 404, "organisation_unknown"),
            ({"host": ""}, 400, "question_fault"),
            ({"path": "drawers"}, 400, "question_fault"),
            ({"upstreams": "1000"}, 400, "question_fault"),
        ],
    )
    def test_faults_have_codes_and_repeat_nothing(self, changes, status, name):
        found = answer(**changes)
        assert (found[0], found[1]["name"]) == (status, name)

    def test_only_so_many_upstreams_are_described(self):
        # A service may have thousands; the answer must not hold up the node.
        _, value = answer(upstreams="1", organisation="growers")
        assert len(value["services"][0]["upstreams"]) == 1
        assert sum(value["services"][0]["counts"].values()) == 3


class TestReadsOnly:
    def test_question_changes_no_state_under_load(self):
        limited = config(tenants={"growers": {"rate_per_s": 20, "burst": 5}})

        async def scenario(cluster):
            await advertised.Load(cluster).run(60, 2)
            found = []
            for host in cluster.hosts:
                handler = host.node._where.answer
                now = asyncio.get_running_loop().time()
                before = state_of(host.node)
                for name in ("growers", "nobody", ""):
                    for path in ("/drawers/1", "/desk/1", "/none/1"):
                        query = {**QUESTION, "path": path}
                        query["organisation"] = name
                        handler(host.node._catalog, query, now)
                after = state_of(host.node)
                found.append(
                    (pickle.dumps(before) == pickle.dumps(after), before[1])
                )
            return found

        for unchanged, _ in run(scenario, config=limited):
            assert unchanged

    def test_thousand_questions_leave_the_next_choices_unchanged(self):
        def choices(questions):
            placed = placement.Placement(
                "low-a", REGIONS, random.Random(5), 2.0
            )
            instances = {
                f"i-{n}": catalog.Instance(
                    f"i-{n}", "drawers", f"10.1.0.{n}", 1, "low-a", 8, True, 0
                )
                for n in range(6)
            }
            placed.learn_instances(instances, 0.0)
            placed.learn_advertised("i-2", 5.0, 1.0, False, 0.0)
            found = []
            for step in range(200):
                now = step * 0.01
                for _ in range(questions // 200):
                    for item in placed.candidates("drawers", "r", 0.5, now):
                        placed.estimate_parts(item.instance_id, "r", 0.5, now)
                chosen = placed.choose("drawers", "r", (), 0.5, now)
                placed.sent(chosen.instance_id, now)
                found.append(chosen.instance_id)
            return found

        assert choices(1000) == choices(0)

    def test_refused_fraction_is_the_share_that_is_refused(self):
        known = backpressure.Backpressure()
        for _ in range(30):
            known.note(("r", 1), 0.14, 0.0)
        share = known.refused_fraction(("r", 1), 0.5, False, 0.0)
        assert 0 < share < 0.92
        assert known.refuses(("r", 1), 0.5, False, share - 1e-9, 0.0)
        assert not known.refuses(("r", 1), 0.5, False, share, 0.0)


class TestReasons:
    @pytest.mark.parametrize(
        ("prepare", "reason"),
        [
            (lambda p: p.host_leaving("b", 0.0), "leaving"),
            (
                lambda p: p.learn_advertised(
                    "b", advertised_state.NO_LIMIT, 0, True, 0.0
                ),
                "draining",
            ),
            (lambda p: p.avoid("b", 5.0), "avoided"),
            (
                lambda p: p.learn_instances({"a": instance("a")}, 0.01),
                "unlisted",
            ),
            (
                lambda p: p.learn_instances(
                    {"a": instance("a"), "b": instance("b", ready=False)}, 0
                ),
                "not_ready",
            ),
            (lambda p: limit(p), "rate_limit"),
            (lambda p: p.record_load("b", "r", 0.3, 9, 1, 0.0), "slower"),
        ],
    )
    def test_reason_names_the_cause(self, prepare, reason):
        placed = placement.Placement("low-a", REGIONS, random.Random(5))
        both = {"a": instance("a"), "b": instance("b")}
        placed.learn_instances(both, 0.0)
        placed.record_load("a", "r", 0.01, 0, 8, 0.0)
        prepare(placed)
        verdicts = placement_report.judge(
            placed.candidates("drawers", "r", 0.5, 0.01), None
        )
        found = {v.candidate.instance_id: v.reason.value for v in verdicts}
        assert found == {"a": "chosen", "b": reason}

    def test_verdict_agrees_with_the_choice(self):
        # An explanation that follows other rules than the choice misleads.
        draws = random.Random(3)
        for _ in range(200):
            placed = placement.Placement("low-a", REGIONS, Mean())
            names = {
                f"i-{n}": instance(f"i-{n}", draws.choice(list(REGIONS)))
                for n in range(5)
            }
            placed.learn_instances(names, 0.0)
            for name in names:
                load = draws.randrange(20)
                placed.record_load(name, "r", draws.random(), load, 8, 0.0)
                placed.record_outcome(name, draws.random() < 0.5, 0.0)
            placed.host_leaving("i-0", 0.0)
            placed.avoid("i-1", draws.random())
            placed.learn_evacuated(frozenset({"low-b"}))
            only = draws.choice([None, frozenset({"low"})])
            chosen = placed.choose("drawers", "r", (), 0.5, 0.1, None, only)
            verdict = placement_report.judge(
                placed.candidates("drawers", "r", 0.5, 0.1, only), only
            )[0]
            if chosen is None:
                assert verdict.reason is not placement_report.Reason.CHOSEN
            else:
                assert verdict.candidate.instance_id == chosen.instance_id


class Mean(random.Random):
    """Draws the mean of each random number."""

    def random(self):
        return 0.5


def instance(name, place="low-a", ready=True):
    return catalog.Instance(
        name, "drawers", "10.1.0.9", 1, place, 8, ready, 0.0
    )


def limit(placed):
    placed.learn_advertised("b", 1.0, 1.0, False, 0.0)
    placed.sent("b", 0.0)
    placed.ended("b")


class Replies:
    """A server on loopback that sends a fixed reply to each connection."""

    def __init__(self, reply):
        self._reply = reply
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.node = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self._held = []
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            self._held.append(connection)
            if self._reply is None:
                continue
            connection.recv(65536)
            connection.sendall(self._reply)
            connection.close()

    def close(self):
        self._socket.close()


@pytest.fixture
def reply():
    """Return a function that starts a server with a fixed reply."""
    started = []

    def start(body, status=200):
        text = None
        if body is not None:
            raw = (
                body if isinstance(body, bytes) else json.dumps(body).encode()
            )
            text = mesh.response(status, raw)
        started.append(Replies(text))
        return started[-1].node

    yield start
    for item in started:
        item.close()


def command(node, *arguments):
    return cli.main(
        ["where", "--node", node, "seeds.example", "/drawers/1", *arguments]
    )


@pytest.mark.live
class TestCommand:
    def test_prints_the_explanation(self, reply, capsys):
        status, value = answer(organisation="growers")
        assert command(reply(value, status)) == base.EXIT_OK
        text = capsys.readouterr().out
        for part in ("2000 answered", "r-lookup", "growers", "i-1", "chosen"):
            assert part in text

    def test_prints_the_answer_as_json(self, reply, capsys):
        status, value = answer(organisation="growers")
        assert command(reply(value, status), "--json") == base.EXIT_OK
        assert json.loads(capsys.readouterr().out) == value

    @pytest.mark.parametrize(
        ("changes", "code"),
        [
            ({"path": "/none/1"}, results.UNKNOWN_ROUTE),
            ({"organisation": "nobody"}, results.ORGANISATION_UNKNOWN),
        ],
    )
    def test_unknown_route_and_organisation_are_faults(
        self, changes, code, reply, capsys
    ):
        status, value = answer(**changes)
        assert command(reply(value, status)) == base.EXIT_FAULT
        start = f"{code.number} {code.name}: "
        assert capsys.readouterr().err.startswith(start)

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"hello",
            [],
            {},
            {"code": 7},
            {"code": []},
            {"code": 2000},
            {"code": 2000, "services": [], "route": 3},
        ],
    )
    def test_malformed_reply_has_its_own_code(self, body, reply, capsys):
        assert command(reply(body)) == base.EXIT_REPLY
        assert capsys.readouterr().err.startswith("9016 node_reply_fault: ")

    def test_reply_without_http_is_malformed(self, reply, capsys):
        node = Replies(b"SSH-2.0 none\r\n\r\n")
        assert command(node.node) == base.EXIT_REPLY
        node.close()
        assert capsys.readouterr().err.startswith("9016 ")

    def test_node_that_does_not_answer_in_time_is_reported(
        self, reply, capsys
    ):
        silent = command(reply(None), "--timeout-s", "0.2")
        assert silent == base.EXIT_UNREACHABLE
        assert capsys.readouterr().err.startswith("9015 node_silent: ")

    @pytest.mark.parametrize("text", ["0", "-1", "nan", "inf", "soon"])
    def test_time_out_must_be_positive(self, text):
        # The HTTP client takes 0 for no time-out.
        with pytest.raises(SystemExit) as stopped:
            command("127.0.0.1:1", "--timeout-s", text)
        assert stopped.value.code == base.EXIT_USAGE

    def test_node_that_is_down_is_reported(self, capsys):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            node = f"127.0.0.1:{unused.getsockname()[1]}"
        assert command(node) == base.EXIT_UNREACHABLE
        assert capsys.readouterr().err.startswith("9015 node_silent: ")
