"""The whole path: caller, two nodes, upstream and back."""

import asyncio
import dataclasses
import json
import typing as t

import aiohttp
from fakes import documents
from fakes import platform
from fakes import upstream

from savorytally import node
from savorytally import settings
from savorytally.world import region


@dataclasses.dataclass
class Mesh:
    """A stand-in platform, upstreams and nodes, all on loopback."""

    platform: platform.Platform
    upstreams: dict[str, upstream.Upstream]
    nodes: dict[str, node.Daemon]
    entry_urls: dict[str, str]

    async def stop(self) -> None:
        for item in self.nodes.values():
            await item.stop()
        for item in self.upstreams.values():
            await item.stop()
        await self.platform.stop()


async def start_mesh(
    free_port: t.Callable[[], int], services: list[str]
) -> Mesh:
    """Start a node and an upstream for each of the services."""
    mesh = Mesh(platform.Platform(), {}, {}, {})
    hosts = {}
    platform_port = free_port()
    for number, service in enumerate(services):
        host_id = f"{service}-{number}"
        opened = settings.Ports(*(free_port() for _ in range(4)))
        hosts[host_id] = documents.host(service, number, opened.peer)
        upstream_port = free_port()
        mesh.upstreams[host_id] = upstream.Upstream()
        await mesh.upstreams[host_id].start("127.0.0.1", upstream_port)
        place = documents.PLACES[number % len(documents.PLACES)]
        mesh.nodes[host_id] = node.Daemon(
            settings.Settings(
                host_id=host_id,
                service_id=service,
                place=region.Place(*place),
                address="127.0.0.1",
                upstream_url=f"http://127.0.0.1:{upstream_port}",
                platform_url=f"http://127.0.0.1:{platform_port}",
                ports=opened,
            )
        )
        mesh.entry_urls[host_id] = f"http://127.0.0.1:{opened.entry}"
    document = json.dumps(documents.himali()).encode()
    await mesh.platform.publish("configuration", 1, document)
    await mesh.platform.publish("hosts", 1, json.dumps(hosts).encode())
    await mesh.platform.start("127.0.0.1", platform_port)
    for item in mesh.nodes.values():
        await item.start()
    for item in mesh.nodes.values():
        await wait_until_configured(item)
    return mesh


async def wait_until_configured(daemon: node.Daemon) -> None:
    view = daemon.node.view
    while view.configuration is None or not view.hosts.hosts:
        await asyncio.sleep(0.01)


class TestWholePath:
    def test_call_crosses_two_nodes(self, run, free_port):
        async def work():
            mesh = await start_mesh(free_port, ["browse", "checklist"])
            url = mesh.entry_urls["browse-0"] + "/checklist/pull/valley"
            key = documents.key_of("org1")
            headers = {"Authorization": f"Bearer {key}"}
            async with aiohttp.ClientSession() as session:
                async with session.get(url, headers=headers) as response:
                    text = await response.text()
            seen = mesh.upstreams["checklist-1"].seen
            sent = [str(item.headers) for item in seen]
            await mesh.stop()
            return response, text, sent

        response, text, sent = run(work())
        assert response.status == 200
        assert text == "GET /pull/valley 0\n"
        assert response.headers["Savorytally-Result-Code"] == "2000"
        assert len(sent) == 1
        assert documents.key_of("org1") not in sent[0]

    def test_refusal_names_its_code(self, run, free_port):
        async def work():
            mesh = await start_mesh(free_port, ["browse"])
            url = mesh.entry_urls["browse-0"] + "/BROWSE/SPECIES"
            headers = {"Authorization": "Bearer wrong"}
            async with aiohttp.ClientSession() as session:
                async with session.get(url, headers=headers) as response:
                    document = await response.json()
            await mesh.stop()
            return response.status, document

        status, document = run(work())
        assert status == 401
        assert document["code"] == 1004
        assert document["ran"] == "not_run"
