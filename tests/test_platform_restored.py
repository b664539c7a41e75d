"""The product's platform is restored from an older copy."""

import asyncio
import json

from fakes import meshes
from fakes import platform as fake_platform
import pytest

from savorytally.http import platform
from savorytally.world import store_position

# Time within which a publication must be in force.
IN_FORCE_S = 3.0


async def read_after(free_port, version, restore, wait_s=0.0):
    """Return what a node that knows a version reads after a restore."""
    port = free_port()
    served = fake_platform.Platform()
    await served.publish("hosts", 4, b"copied")
    copied = served.copy()
    await served.publish("hosts", 7, b"lost")
    await served.start("127.0.0.1", port)
    reader = platform.HttpPlatform(f"http://127.0.0.1:{port}")
    try:
        known = (await reader.read("hosts", 0, 0.0)).version
        served.restore(copied)
        await restore(served, version)
        value = await reader.read("hosts", known, wait_s)
        again = await reader.read("hosts", value.version, 0.0)
        return known, value, again
    finally:
        await reader.close()
        await served.stop()


class TestReads:
    @pytest.mark.parametrize("version", [4, 5, 7, 9])
    def test_reused_version_is_not_read(self, run, free_port, version):
        async def restore(served, version):
            if version > 4:
                await served.publish("hosts", version, b"again")

        known, value, again = run(read_after(free_port, version, restore))
        assert known == 7
        assert value.body == (b"again" if version > 4 else b"copied")
        assert value.version > known
        assert again is None

    def test_era_that_falls_is_followed(self, run, free_port):
        async def restore(served, version):
            await served.publish("hosts", 9, b"outdated")
            served.era = -1

        with pytest.raises(OSError, match="era -1 after era 0"):
            run(read_after(free_port, 9, restore))

    def test_version_before_the_first_restore_differs(self):
        known = store_position.Position(0, 17)
        assert known.to_version() == 17
        assert store_position.from_version(17) == known


def test_host_list_at_a_reused_version_is_ignored(run, free_port):
    async def work():
        mesh = await meshes.start(free_port, ["browse", "checklist"])
        copied = mesh.platform.copy()
        listed = json.loads(copied["hosts"].body)
        for version in (2, 3, 4):
            body = json.dumps(listed).encode()
            await mesh.platform.publish("hosts", version, body)
        await asyncio.sleep(IN_FORCE_S)
        mesh.platform.restore(copied)
        listed["browse-0"]["state"] = "leaving"
        body = json.dumps(listed).encode()
        await mesh.platform.publish("hosts", 2, body)
        await asyncio.sleep(IN_FORCE_S)
        states = [
            item.node.view.hosts.hosts["browse-0"].live
            for item in mesh.nodes.values()
        ]
        await mesh.stop()
        return states

    assert run(work()) == [False, False]
