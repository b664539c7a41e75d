"""A divided document on its way from the platform into force."""

import asyncio

from fakes import documents
from fakes import meshes

from savorytally.world import sections


def divided(version, timeout_ms):
    """Return the values of a divided document, the head last."""
    value = documents.himali(version)
    value["routes"]["pull"]["timeout_ms"] = timeout_ms
    split = sections.split(value)
    values = {
        item.value_name: split.bodies[item.name]
        for item in split.head.sections.values()
    }
    return values | {sections.HEAD: sections.write_head(split.head)}


async def until_in_force(mesh, version):
    """Wait until all nodes have a version in force; return the nodes."""
    nodes = [item.node for item in mesh.nodes.values()]
    async with asyncio.timeout(20):
        while any(item.view.version < version for item in nodes):
            await asyncio.sleep(0.01)
    return nodes


class TestDividedDocument:
    def test_comes_into_force_on_every_node(self, run, free_port):
        async def work():
            mesh = await meshes.start(free_port, ["browse", "checklist"])
            for name, body in divided(2, 900).items():
                await mesh.platform.publish(name, 2, body)
            nodes = await until_in_force(mesh, 2)
            await mesh.stop()
            return [item.view.configuration for item in nodes]

        for held in run(work()):
            assert held.routes["pull"].timeout_ms == 900

    def test_waits_for_a_section_that_comes_late(self, run, free_port):
        async def work():
            mesh = await meshes.start(free_port, ["browse", "checklist"])
            values = divided(2, 900)
            late = values.pop("configuration/routes/0")
            for name, body in values.items():
                await mesh.platform.publish(name, 2, body)
            await asyncio.sleep(0.3)
            before = [item.node.view.version for item in mesh.nodes.values()]
            await mesh.platform.publish("configuration/routes/0", 2, late)
            nodes = await until_in_force(mesh, 2)
            await mesh.stop()
            return before, [item.view.configuration for item in nodes]

        before, after = run(work())
        assert before == [1, 1]
        for held in after:
            assert held.routes["pull"].timeout_ms == 900
