"""Tests that nodes apply a divided document from the platform."""

import asyncio

from fakes import documents
from fakes import meshes

from savorytally.world import sections


def divided(version, timeout_ms):
    """Return the platform values of a divided document, the head last."""
    value = documents.himali(version)
    value["routes"]["pull"]["timeout_ms"] = timeout_ms
    split = sections.split(value)
    values = {
        item.value_name: split.bodies[item.name]
        for item in split.head.sections.values()
    }
    return values | {sections.HEAD: sections.write_head(split.head)}


async def until_applied(mesh, version):
    """Wait until all nodes have applied a version; return the nodes."""
    nodes = [item.node for item in mesh.nodes.values()]
    async with asyncio.timeout(20):
        while any(item.view.version < version for item in nodes):
            await asyncio.sleep(0.01)
    return nodes


class TestDividedDocument:
    def test_is_applied_by_every_node(self, run, free_port):
        async def work():
            mesh = await meshes.start(free_port, ["browse", "checklist"])
            for name, body in divided(2, 900).items():
                await mesh.platform.publish(name, 2, body)
            nodes = await until_applied(mesh, 2)
            await mesh.stop()
            return [item.view.configuration for item in nodes]

        for applied in run(work()):
            assert applied.routes["pull"].timeout_ms == 900

    def test_waits_for_a_section_published_late(self, run, free_port):
        async def work():
            mesh = await meshes.start(free_port, ["browse", "checklist"])
            values = divided(2, 900)
            late = values.pop("configuration/routes/0")
            for name, body in values.items():
                await mesh.platform.publish(name, 2, body)
            await asyncio.sleep(0.3)
            before = [item.node.view.version for item in mesh.nodes.values()]
            await mesh.platform.publish("configuration/routes/0", 2, late)
            nodes = await until_applied(mesh, 2)
            await mesh.stop()
            return before, [item.view.configuration for item in nodes]

        before, after = run(work())
        assert before == [1, 1]
        for applied in after:
            assert applied.routes["pull"].timeout_ms == 900
