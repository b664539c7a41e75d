"""Nodes with fake platform and upstreams on loopback ports."""

import asyncio
import dataclasses
import json
import time
import typing as t

from savorytally import daemon
from savorytally import settings
from savorytally.world import region

from . import documents
from . import platform
from . import upstream


@dataclasses.dataclass
class Mesh:
    """A fake platform, upstreams and nodes on loopback ports."""

    platform: platform.Platform
    platform_url: str
    upstreams: dict[str, upstream.Upstream]
    nodes: dict[str, daemon.Daemon]
    entry_urls: dict[str, str]

    async def stop(self) -> None:
        """Stop nodes, upstreams and platform."""
        for item in self.nodes.values():
            await item.stop()
        for item in self.upstreams.values():
            await item.stop()
        await self.platform.stop()


async def start(
    free_port: t.Callable[[], int],
    services: list[str],
    children: dict[str, str] | None = None,
    upstream_slots: int = 8,
    **fields: t.Any,
) -> Mesh:
    """Start a node and an upstream for each of the services.

    :param free_port: returns an unused port.
    :param services: the service of each host.
    :param children: paths that the upstreams of a service call first.
    :param upstream_slots: requests that each upstream runs at once.
    :param fields: further settings of all nodes.
    """
    child_paths = children or {}
    platform_port = free_port()
    platform_url = f"http://127.0.0.1:{platform_port}"
    mesh = Mesh(platform.Platform(), platform_url, {}, {}, {})
    hosts = {}
    for number, service in enumerate(services):
        host_id = f"{service}-{number}"
        opened = settings.Ports(*(free_port() for _ in range(4)))
        hosts[host_id] = documents.host(service, number, opened.peer)
        upstream_port = free_port()
        child = child_paths.get(service, "")
        if child:
            child = f"http://127.0.0.1:{opened.egress}{child}"
        mesh.upstreams[host_id] = upstream.Upstream(
            slots=upstream_slots, child=child
        )
        await mesh.upstreams[host_id].start("127.0.0.1", upstream_port)
        place = documents.PLACES[number % len(documents.PLACES)]
        mesh.nodes[host_id] = daemon.Daemon(
            settings.Settings(
                host_id=host_id,
                service_id=service,
                place=region.Place(*place),
                address="127.0.0.1",
                upstream_url=f"http://127.0.0.1:{upstream_port}",
                fleet_started_s=time.time(),
                platform_url=platform_url,
                ports=opened,
                **fields,
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


async def wait_until_configured(started: daemon.Daemon) -> None:
    """Wait until a node has a configuration and a host list."""
    view = started.node.view
    while view.configuration is None or not view.hosts.hosts:
        await asyncio.sleep(0.01)
