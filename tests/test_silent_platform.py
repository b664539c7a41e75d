"""The platform takes reads that it never answers, and works again later."""

import asyncio
import json

from fakes import documents
from fakes import fleet
from fakes import meshes
import pytest

from savorytally import defaults
from savorytally.decisions import dissemination
from savorytally.http import platform
from savorytally.world import document_parts

# Time within which a publication must be in force.
IN_FORCE_S = 3.0
SERVICES = ["browse", "checklist"] * 3


async def publish(mesh, version):
    """Publish a version of the configuration."""
    body = json.dumps(documents.himali(version)).encode()
    await mesh.platform.publish("configuration", version, body)


def shown(node):
    """Return the gauges without labels of a node."""
    lines = node.metrics.render()[0].decode().splitlines()
    parts = [line.split() for line in lines if not line.startswith("#")]
    return {item[0]: float(item[1]) for item in parts if len(item) == 2}


async def versions_in_time(mesh, version):
    """Return the versions in force ``IN_FORCE_S`` from now, or when met."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    held = set()
    while loop.time() - began < IN_FORCE_S and held != {version}:
        await asyncio.sleep(0.02)
        held = {item.node.view.version for item in mesh.nodes.values()}
    print(f"{held} after {loop.time() - began:.2f} s")
    return held


@pytest.fixture
def play(run, free_port):
    """Run a scenario on nodes that follow the platform at version 2."""

    async def work(scenario):
        mesh = await meshes.start(free_port, SERVICES)
        await publish(mesh, 2)
        assert await versions_in_time(mesh, 2) == {2}
        try:
            return await scenario(mesh)
        finally:
            await mesh.stop()

    return lambda scenario: run(work(scenario))


class TestInForce:
    @pytest.mark.parametrize("silent_s", [0.5, 2.0, 6.0])
    def test_read_lost_by_the_platform_hides_later_versions(
        self, play, silent_s
    ):
        """The platform falls silent before the next long poll is sent."""

        async def scenario(mesh):
            mesh.platform.silent = True
            await publish(mesh, 3)
            await asyncio.sleep(silent_s)
            mesh.platform.silent = False
            return await versions_in_time(mesh, 3)

        assert play(scenario) == {3}

    @pytest.mark.parametrize("value", ["", "configuration"])
    def test_open_connections_fall_silent(self, play, value):
        """New connections work, as after a failover of the network."""

        async def scenario(mesh):
            mesh.platform.silence_connections(value)
            await publish(mesh, 3)
            return await versions_in_time(mesh, 3)

        assert play(scenario) == {3}


class TestHttpPlatform:
    def test_read_after_an_unanswered_one_uses_a_new_connection(
        self, run, free_port
    ):
        async def work():
            mesh = await meshes.start(free_port, [])
            reader = platform.HttpPlatform(mesh.platform_url)
            # Two connections, of which one is idle when the read times out.
            await asyncio.gather(
                *(reader.read("hosts", 0, 0.0) for _ in range(2))
            )
            mesh.platform.silence_connections()
            with pytest.raises(OSError, match="no response"):
                await reader.read("hosts", 0, 0.0)
            value = await reader.read("hosts", 0, 0.0)
            await reader.close()
            await mesh.stop()
            return value

        assert run(work()).version == 1


@pytest.fixture
def silent_fleet():
    """Twelve nodes of a data centre that all serve version 1."""
    made = fleet.Fleet({("bagmati", "kirtipur"): 12})
    made.publish()
    made.start_all()
    return made


class TestUnforeseenError:
    def test_watch_goes_on_after_a_failed_publication(
        self, play, monkeypatch, caplog
    ):
        """Nothing else tells that a node has stopped to read the platform."""

        async def scenario(mesh):
            fails = [True] * len(mesh.nodes)
            divide = document_parts.divide

            def divide_later(document):
                if fails:
                    fails.pop()
                    raise OverflowError("too large")
                return divide(document)

            monkeypatch.setattr(document_parts, "divide", divide_later)
            await publish(mesh, 3)
            return await versions_in_time(mesh, 3)

        assert play(scenario) == {3}
        assert "platform read failed" in caplog.text


class TestFigures:
    def test_unanswered_reads_show_in_metrics_and_logs(self, play, caplog):
        async def scenario(mesh):
            node = mesh.nodes["browse-0"].node
            working = shown(node)
            mesh.platform.silent = True
            await asyncio.sleep(IN_FORCE_S)
            return working, shown(node)

        with caplog.at_level("WARNING"):
            working, silent = play(scenario)
        assert working["savorytally_reads_platform"] == 1
        name = "savorytally_platform_answer_age_seconds"
        assert working[name] < defaults.PLATFORM_WATCH_S < silent[name]
        assert "no response in time" in caplog.text


class TestAnnouncement:
    def test_reader_whose_reads_are_unanswered_is_replaced(self, silent_fleet):
        readers = silent_fleet.readers()
        silent_fleet.store.silent = set(readers)
        silent_fleet.transport.run(IN_FORCE_S)
        assert len(silent_fleet.readers()) == 2 * len(readers)

    def test_later_version_arrives_by_other_readers(self, silent_fleet):
        silent_fleet.store.silent = set(silent_fleet.readers())
        version = silent_fleet.publish()
        silent_fleet.transport.run(IN_FORCE_S)
        assert set(silent_fleet.versions().values()) == {version}

    def test_other_value_does_not_hide_an_unanswered_read(self, silent_fleet):
        """The host list was answered, the configuration was not."""
        readers = silent_fleet.readers()
        silent_fleet.store.silent = set(readers)
        silent_fleet.store.silent_values = {dissemination.CONFIGURATION}
        silent_fleet.transport.run(IN_FORCE_S)
        assert len(silent_fleet.readers()) == 2 * len(readers)

    def test_working_readers_are_not_replaced(self, silent_fleet):
        silent_fleet.transport.run(30.0)
        expected = defaults.READERS_PER_DATA_CENTRE
        assert len(silent_fleet.readers()) == expected
