"""Tests of a whole call: a caller, two nodes and an upstream."""

import aiohttp
from fakes import documents
from fakes import meshes


class TestEndToEnd:
    def test_call_crosses_two_nodes(self, run, free_port):
        async def work():
            mesh = await meshes.start(free_port, ["browse", "checklist"])
            url = mesh.entry_urls["browse-0"] + "/checklist/pull/valley"
            key = documents.key_of("org1")
            headers = {"Authorization": f"Bearer {key}"}
            async with aiohttp.ClientSession() as session:
                async with session.get(url, headers=headers) as response:
                    text = await response.text()
            requests = mesh.upstreams["checklist-1"].seen
            upstream_headers = [str(item.headers) for item in requests]
            await mesh.stop()
            return response, text, upstream_headers

        response, text, upstream_headers = run(work())
        assert response.status == 200
        assert text == "GET /pull/valley 0\n"
        assert response.headers["Savorytally-Result-Code"] == "2000"
        assert len(upstream_headers) == 1
        assert documents.key_of("org1") not in upstream_headers[0]

    def test_rejection_contains_its_result_code(self, run, free_port):
        async def work():
            mesh = await meshes.start(free_port, ["browse"])
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
