"""Withdrawal of a key on open connections, over real streams."""

import asyncio
import json
import time

import aiohttp
from fakes import documents
from fakes import meshes

from savorytally import defaults

SERVICES = ["browse", "checklist"] * 4


async def rejected_at(session: aiohttp.ClientSession, url: str) -> float:
    """Return when a caller on an open connection is rejected."""
    key = documents.key_of("org1")
    headers = {"Authorization": f"Bearer {key}"}
    while True:
        async with session.get(url, headers=headers) as response:
            await response.read()
            if response.status == 401:
                return time.monotonic()
        await asyncio.sleep(0.02)


class TestWithdrawal:
    def test_reaches_every_entry_through_few_readers(self, run, free_port):
        async def work():
            mesh = await meshes.start(free_port, SERVICES)
            urls = [
                f"{url}/checklist/pull" for url in mesh.entry_urls.values()
            ]
            now = time.monotonic
            async with aiohttp.ClientSession() as session:
                waiting = [
                    asyncio.ensure_future(rejected_at(session, url))
                    for url in urls
                ]
                await asyncio.sleep(0.5)
                early = sum(item.done() for item in waiting)
                changed = documents.himali(2)
                changed["organisations"]["org1"]["key_digests"] = []
                body = json.dumps(changed).encode()
                began = now()
                await mesh.platform.publish("configuration", 2, body)
                ended = await asyncio.gather(*waiting)
            reading = [
                host_id
                for host_id, item in mesh.nodes.items()
                if item.node.dissemination.reading(
                    "configuration", item.node.environment.clock.now()
                )
            ]
            await mesh.stop()
            return early, [at - began for at in ended], reading

        early, delays_s, reading = run(work())
        print(f"refused after {max(delays_s):.3f} s at the latest")
        assert early == 0
        assert len(delays_s) == len(SERVICES)
        places = len(documents.PLACES)
        assert len(reading) <= places * defaults.READERS_PER_DATA_CENTRE
