"""Tests that the administration API matches its OpenAPI description."""

import asyncio
import dataclasses
import json
import pathlib
import random
import re

import aiohttp
from aiohttp import web
from fakes import documents
import pytest

from savorytally import clock
from savorytally import ports
from savorytally import settings
from savorytally import view
from savorytally.decisions import admission
from savorytally.decisions import fifo
from savorytally.decisions import usage
from savorytally.http import admin
from savorytally.world import hosts
from savorytally.world import region
from savorytally.world import sections

TOKEN = "sesame-open-0123"
DESCRIPTION = pathlib.Path(__file__).parent.parent / "docs/openapi.json"
RATE = "/organisations/org1/rate_per_s"


OPTIONS = settings.Settings(
    host_id="browse-0",
    service_id="browse",
    place=region.Place("bagmati", "kirtipur"),
    address="127.0.0.1",
    upstream_url="",
    platform_url="",
)


class Platform:
    """A platform whose values are set by the tests."""

    def __init__(self):
        self.values = {}

    async def read(self, name, after, wait_s):
        body = self.values.get(name)
        if isinstance(body, OSError):
            raise body
        return None if body is None else ports.Value(name, 1, body)


class Quota:
    """A quota policy that reports the usage of one organisation."""

    def usage(self, now):
        return [usage.Usage("org1", admitted=7, refused=2, tokens=3.5)]


class Drain:
    """Records that a drain was requested."""

    draining = False

    def drain(self):
        self.draining = True


def managed_node(current, platform=None, drain=None):
    """Return the parts of a node that a server reads and controls."""
    return admin.ManagedNode(
        environment=ports.Environment(
            clock.VirtualClock(), random.Random(1), None, None, platform
        ),
        current=current,
        quota=Quota(),
        admission=fifo.FifoAdmission(admission.Capacity(1, 1)),
        drain=drain,
    )


async def answer_nothing(request):
    """Return an empty response, as a mounted handler."""
    return web.Response()


@dataclasses.dataclass
class Served:
    """A running server and the fakes behind it."""

    server: admin.AdminServer
    url: str
    platform: Platform
    drain: Drain
    loop: asyncio.Runner

    def request(self, method, path, token=TOKEN, body=None):
        """Send a request and return the response's status and JSON value."""
        return self.loop.run(self._request(method, path, token, body))

    async def _request(self, method, path, token, body):
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        async with aiohttp.ClientSession(headers=headers) as session:
            async with session.request(
                method, self.url + path, data=body
            ) as response:
                text = await response.text()
        return response.status, json.loads(text)


@pytest.fixture
def serve(himali, free_port):
    """Return a function that starts a server of the Himali deployment."""
    loop = asyncio.Runner()
    started = []

    def server(token=TOKEN, configured=True):
        port = free_port()
        current = view.View()
        if configured:
            current.offer_configuration(himali, 0.0)
        listed = {
            f"browse-{n}": documents.host("browse", n, 7000) for n in range(3)
        }
        current.offer_hosts(hosts.read(1, listed), 0.0)
        platform, drain = Platform(), Drain()
        body = json.dumps(documents.himali()).encode()
        platform.values["configuration"] = body
        node = managed_node(current, platform, drain)
        options = dataclasses.replace(
            OPTIONS,
            ports=settings.Ports(admin=port),
            admin=settings.Admin(token=token),
        )
        made = admin.AdminServer(options, node)
        loop.run(made.start())
        started.append(made)
        url = f"http://127.0.0.1:{port}"
        return Served(made, url, platform, drain, loop)

    yield server
    for made in started:
        loop.run(made.stop())
    loop.close()


def patch_of(against, value):
    """Return the JSON text of a patch that changes a rate."""
    operation = {"op": "replace", "path": RATE, "value": value}
    return json.dumps({"against": against, "operations": [operation]})


class TestDescription:
    def test_describes_all_routes_and_no_others(self):
        server = admin.AdminServer(OPTIONS, managed_node(None))
        server.mount("/metrics", answer_nothing)
        served = {
            (resource.canonical, route.method.lower())
            for resource in server.app.router.resources()
            for route in resource
            if route.method != "HEAD"
        }
        paths = json.loads(DESCRIPTION.read_text())["paths"]
        described = {
            (path, method) for path, item in paths.items() for method in item
        }
        assert described == served

    def test_parameters_in_paths_are_declared(self):
        paths = json.loads(DESCRIPTION.read_text())["paths"]
        for path, item in paths.items():
            for operation in item.values():
                declared = {
                    given["name"]
                    for given in operation.get("parameters", ())
                    if given["in"] == "path"
                }
                assert declared == set(re.findall(r"{(\w+)}", path))


class TestToken:
    @pytest.mark.parametrize("token", ["", "wrong", TOKEN + "x", "\u00e9"])
    def test_a_wrong_token_is_refused(self, serve, token):
        status, value = serve().request("GET", "/v1/status", token)
        assert (status, value["code"]) == (401, 9008)

    def test_without_a_token_in_the_settings_the_api_is_closed(self, serve):
        served = serve(token="")
        for token in ("", TOKEN):
            status, value = served.request("POST", "/v1/drain", token)
            assert (status, value["code"]) == (403, 9009)
        assert not served.drain.draining

    def test_health_needs_none(self, serve):
        assert serve().request("GET", "/health", "") == (
            200,
            {"state": "serving"},
        )
        status, value = serve(configured=False).request("GET", "/health", "")
        assert (status, value) == (503, {"state": "starting"})


class TestViews:
    def test_status(self, serve):
        status, value = serve().request("GET", "/v1/status")
        assert status == 200
        assert value["configuration_version"] == 1
        assert value["hosts"] == 3
        assert value["upstream"] == {"running": 0, "waiting": 0, "level": 0}

    def test_key_digests_are_shortened(self, serve):
        digest = documents.digest_of("org1")
        for path in ("", "/organisations", "/organisations/org1"):
            _, value = serve().request("GET", f"/v1/configuration{path}")
            assert digest not in json.dumps(value)
        assert value["key_digests"] == [digest[:8]]

    @pytest.mark.parametrize(
        "kind", ["organisations", "services", "routes", "regions", "links"]
    )
    def test_every_kind_of_member_is_shown(self, serve, kind):
        status, value = serve().request("GET", f"/v1/configuration/{kind}")
        assert status == 200
        assert len(value["members"]) == len(documents.himali()[kind])

    def test_pages_follow_each_other(self, serve):
        found, after = [], ""
        while after is not None:
            path = f"/v1/limits?limit=3&after={after}"
            _, value = serve().request("GET", path)
            found += value["members"]
            after = value["next"]
        assert found == sorted(documents.himali()["organisations"])

    @pytest.mark.parametrize("limit", ["0", "1001", "x", "9" * 5000])
    def test_a_malformed_page_is_refused(self, serve, limit):
        status, value = serve().request("GET", f"/v1/hosts?limit={limit}")
        assert (status, value["code"]) == (400, 9011)
        assert value["faults"][0]["place"] == "/limit"

    def test_usage_comes_from_the_quota_policy(self, serve):
        _, value = serve().request("GET", "/v1/limits/org1")
        assert value["rate_per_s"] == 400
        assert value["usage"] == {"tokens": 3.5, "admitted": 7, "refused": 2}
        _, value = serve().request("GET", "/v1/limits/org2")
        assert value["usage"] is None

    @pytest.mark.parametrize(
        "path",
        [
            "/v1/configuration/colours",
            "/v1/configuration/routes/absent",
            "/v1/limits/absent",
            "/v1/drain",
            "/absent",
        ],
    )
    def test_absent_resources_are_not_found(self, serve, path):
        status, value = serve().request("GET", path)
        assert (status, value["code"]) == (404, 9010)


class TestDryRun:
    def test_returns_the_next_document(self, serve):
        served = serve()
        path = "/v1/configuration/dry-run"
        status, value = served.request("POST", path, body=patch_of(1, 5))
        assert status == 200
        assert value["version"] == value["document"]["version"] == 2
        assert value["document"]["organisations"]["org1"]["rate_per_s"] == 5

    def test_reads_a_divided_document(self, serve):
        served = serve()
        split = sections.split(documents.himali())
        body = sections.write_head(split.head)
        served.platform.values["configuration"] = body
        path = "/v1/configuration/dry-run"
        status, value = served.request("POST", path, body=patch_of(1, 5))
        assert (status, value["code"]) == (503, 9006)
        for name, body in split.bodies.items():
            served.platform.values[f"configuration/{name}"] = body
        status, value = served.request("POST", path, body=patch_of(1, 5))
        assert (status, value["version"]) == (200, 2)

    @pytest.mark.parametrize(
        ("body", "status", "code", "place"),
        [
            (patch_of(2, 5), 409, 9003, "/against"),
            (patch_of(1, "x"), 422, 9002, RATE),
            ('{"against": 1}', 422, 9004, "/operations"),
            ("{", 422, 9004, ""),
            (b"\xff", 422, 9004, ""),
            (b" " * (2 << 20), 400, 9011, ""),
        ],
    )
    def test_refusals(self, serve, body, status, code, place):
        answer = serve().request(
            "POST", "/v1/configuration/dry-run", body=body
        )
        assert (answer[0], answer[1]["code"]) == (status, code)
        assert answer[1]["faults"][0]["place"] == place

    def test_a_large_document_is_left_to_the_command_line(self, serve):
        value = documents.himali()
        for number in range(1_000):
            name = f"route{number}"
            value["routes"][name] = documents.route(name, "maps", "normal")
        served = serve()
        split = sections.split(value)
        whole = {"configuration": json.dumps(value).encode()}
        divided = {"configuration": sections.write_head(split.head)} | {
            f"configuration/{name}": body
            for name, body in split.bodies.items()
        }
        for values in (whole, divided):
            served.platform.values = values
            path = "/v1/configuration/dry-run"
            status, answer = served.request("POST", path, body=patch_of(1, 5))
            assert (status, answer["code"]) == (413, 9012)

    @pytest.mark.parametrize("body", [None, OSError("down"), b"{", b"[1]"])
    def test_an_unreadable_platform_is_reported(self, serve, body):
        served = serve()
        served.platform.values["configuration"] = body
        path = "/v1/configuration/dry-run"
        status, value = served.request("POST", path, body=patch_of(1, 5))
        assert (status, value["code"]) == (503, 9006)


class TestDrain:
    def test_starts_a_graceful_stop(self, serve):
        served = serve()
        answer = served.request("POST", "/v1/drain")
        assert answer == (202, {"state": "draining"})
        assert served.drain.draining
        assert served.request("GET", "/health", "")[0] == 503
