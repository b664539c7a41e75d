"""Tests of the adapter to the platform."""

import asyncio
import json
import pathlib
import re

from fakes import mesh
from fakes import net
import pytest

from savorytally.dataplane import options
from savorytally.dataplane import store_watch
from savorytally.platform import documents
from savorytally.platform import durations
from savorytally.platform import settings
from savorytally.platform import store
from savorytally.world import store_position

SOURCE = pathlib.Path(__file__).parent.parent / "src" / "savorytally"

SETTINGS = """\
local_node.node_name=sidecar-kirtipur-1
local_node.service=huvo11a
local_node.ip=10.1.0.26
local_node.zone=kirtipur
local_node.limits.memory_mb=300
local_node.limits.max_fds=4100
local_node.first_start=true
local_node.app_addr=10.1.0.26:8547
local_node.new_field=is ignored
network.listen.outbound=10.1.0.26:8548
network.listen.ready=10.1.0.26:8546
network.internal_ports=7000,7015
network.zones.kirtipur=bagmati
network.zones.pokhara=gandaki
platform.platform.address=10.200.1.7:8545
terms.bounds.drain=3000ms
terms.bounds.grace=6s
terms.bounds.retry_budget_ratio=0.2
terms.bounds.quota_slack=20
"""


class TestSettings:
    def test_reads_what_a_node_needs(self):
        found = settings.read(SETTINGS)
        assert found.entry == options.Address("10.1.0.26", 8548)
        assert found.region == "bagmati"
        assert (found.peer_port, found.metrics_port) == (7000, 7001)
        assert found.bounds.drain_s == 3.0
        assert found.memory_bytes == 300 << 20
        assert found.first_start

    @pytest.mark.parametrize(
        ("old", "new", "field"),
        [
            ("local_node.service=huvo11a", "", "local_node.service"),
            ("app_addr=10.1.0.26:8547", "app_addr=10", "app_addr"),
            ("ports=7000,7015", "ports=7000,7000", "internal_ports"),
            ("drain=3000ms", "drain=soon", "terms.bounds.drain"),
            ("first_start=true", "first_start=yes", "first_start"),
        ],
    )
    def test_fault_states_the_invalid_field(self, old, new, field):
        refused = settings.read(SETTINGS.replace(old, new))
        assert isinstance(refused, settings.Refused)
        (fault,) = refused.faults
        assert field in fault

    def test_missing_file_is_refused(self, tmp_path):
        refused = settings.load(tmp_path / "none")
        assert isinstance(refused, settings.Refused)


class TestWatchedFile:
    def test_a_change_is_reported_once(self, tmp_path):
        path = tmp_path / "local.conf"
        path.write_text(SETTINGS)
        watched = settings.WatchedFile(path)
        assert not watched.changed()
        path.write_text(SETTINGS + "more=1\n")
        assert watched.changed()
        assert not watched.changed()


class TestDurations:
    @pytest.mark.parametrize(
        ("text", "value"), [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0)]
    )
    def test_reads_number_and_unit(self, text, value):
        assert durations.seconds(text) == pytest.approx(value)

    @pytest.mark.parametrize("text", ["", "5", "ms", "-1s", "nans", 5, None])
    def test_invalid_durations_are_refused(self, text):
        with pytest.raises(ValueError, match=r"."):
            durations.seconds(text)


class TestConfiguration:
    def test_only_safe_requests_are_idempotent(self):
        routes = {
            kind: mesh.route("drawers", kind=kind)
            for kind in ("safe", "unsafe", "keyed", "something new")
        }
        raw = json.dumps(mesh.configuration(4, routes=routes)).encode()
        found = documents.configuration(raw)
        assert found.version == 4
        assert {
            name for name, item in found.routes.items() if item.idempotent
        } == {"safe"}

    @pytest.mark.parametrize(
        ("change", "place"),
        [
            ({"version": "12"}, "version"),
            ({"routes": {"r": {"host": "h"}}}, "routes/r"),
            ({"tenants": {"t": {"api_keys": None}}}, "tenants/t"),
            ({"limits": {"idle_timeout": 3}}, "limits"),
        ],
    )
    def test_fault_states_its_place(self, change, place):
        raw = json.dumps({**mesh.configuration(4), **change}).encode()
        with pytest.raises(documents.Malformed, match=place):
            documents.configuration(raw)

    def test_split_route_keeps_its_weights(self):
        parts = [
            {"service": "a", "weight": 90},
            {"service": "b", "weight": 10},
        ]
        changed = mesh.route("x", weighted_clusters=parts)
        raw = json.dumps(mesh.configuration(1, routes={"r": changed})).encode()
        clusters = documents.configuration(raw).routes["r"].clusters
        assert [(item.service, item.weight) for item in clusters] == [
            ("a", 90.0),
            ("b", 10.0),
        ]


class TestInstances:
    @pytest.mark.parametrize(
        "change",
        [
            {"state": "unknown"},
            {"slots": "many"},
            {"slots": 0},
            {"address": "nowhere"},
            {"service": None},
            {"zone": 3},
            {"cold_remaining": "soon"},
        ],
    )
    def test_malformed_entry_is_refused(self, change):
        entry = {**mesh.Host(1, "drawers", "low-a").entry(), **change}
        with pytest.raises(documents.Malformed, match="servers/i-1"):
            documents.instance("servers/i-1", json.dumps(entry).encode())

    def test_draining_upstream_is_not_ready(self):
        entry = mesh.Host(1, "drawers", "low-a").entry(8, "draining")
        found = documents.instance("servers/i-1", json.dumps(entry).encode())
        assert (found.instance_id, found.ready) == ("i-1", False)


class TestStore:
    def play(self, scenario):
        async def work():
            fake_store = mesh.Store()
            await fake_store.start()
            return await scenario(fake_store, store.Store(mesh.STORE))

        return net.run(work)

    def test_snapshot_reads_all_pages(self):
        async def scenario(fake_store, reader):
            fake_store.page = 3
            for number in range(1, 9):
                host = mesh.Host(number, "drawers", "low-a")
                fake_store.put(f"servers/i-{number}", host.entry())
            fake_store.put("op/config", mesh.configuration(1))
            return await reader.snapshot(0), len(fake_store.calls)

        changes, calls = self.play(scenario)
        assert len(changes.changed) == 8
        assert changes.configuration is not None
        assert calls == 3

    def test_watch_reports_added_and_removed_instances(self):
        async def scenario(fake_store, reader):
            host = mesh.Host(1, "drawers", "low-a")
            fake_store.put("servers/i-1", host.entry())
            first = await reader.snapshot(0)
            fake_store.put("servers/i-2", host.entry())
            fake_store.delete("servers/i-1")
            return await reader.changes(first.position, 5.0)

        changes = self.play(scenario)
        assert list(changes.changed) == ["i-2"]
        assert changes.removed == ("i-1",)

    @pytest.mark.parametrize("status", [429, 503])
    def test_refusal_is_unavailable(self, status):
        async def scenario(fake_store, reader):
            fake_store.status = status
            with pytest.raises(store_watch.Unavailable, match=str(status)):
                await reader.snapshot(0)

        self.play(scenario)

    def test_read_of_an_unresponsive_store_times_out(self):
        async def scenario(fake_store, reader):
            await reader.snapshot(0)
            loop = asyncio.get_running_loop()
            loop.net.drop_data(mesh.STORE.host, mesh.STORE.port)
            started = loop.time()
            with pytest.raises(store_watch.Unavailable):
                await reader.snapshot(0)
            return loop.time() - started

        assert self.play(scenario) <= store.READ_TIMEOUT_S + 0.1

    def test_lost_history_is_reported(self):
        async def scenario(fake_store, reader):
            fake_store.put("op/config", mesh.configuration(1))
            fake_store.put("op/config", mesh.configuration(2))
            fake_store.forget()
            with pytest.raises(store_watch.HistoryLost):
                await reader.changes(store_position.Position(1, 1), 1.0)

        self.play(scenario)

    @pytest.mark.parametrize(
        ("stated", "era"),
        [(4, 4), ("0", 0), (None, 2), ("soon", 2), ("", 2), ("9" * 30, 2)],
    )
    def test_era_is_read_from_the_header(self, stated, era):
        """An invalid header counts as none."""

        async def scenario(fake_store, reader):
            fake_store.era = stated
            fake_store.put("op/config", mesh.configuration(1))
            after = store_position.Position(2, 1)
            changes = await reader.changes(after, 0.0)
            snapshot = await reader.snapshot(2)
            return changes.position.era, snapshot.position.era

        assert self.play(scenario) == (era, era)

    def test_pages_of_two_eras_are_no_snapshot(self):
        async def scenario(fake_store, reader):
            for number in range(4):
                fake_store.put(f"servers/i-{number}", {})
            fake_store.page = 2
            copied = fake_store.copy()
            respond = fake_store._respond

            def restore_after_a_page(connection, *answer):
                respond(connection, *answer)
                fake_store.restore(copied)

            fake_store._respond = restore_after_a_page
            with pytest.raises(store_watch.Unavailable, match="era 2"):
                await reader.snapshot(0)

        self.play(scenario)


def test_platforms_names_stay_in_their_folder():
    names = re.compile(
        r"kv-(key|range|watch)|weighted_clusters|auth_exempt|target_latency"
        r"|api_keys|SAVORYTALLY_SETTINGS|Attempt-Id|attempt-id|readyz"
        r"|x-savorytally|local_node|\btenants?\b|\bsidecar\b",
        re.IGNORECASE,
    )
    found = [
        f"{path.relative_to(SOURCE)}: {match.group()}"
        for path in SOURCE.rglob("*.py")
        if "platform" not in path.relative_to(SOURCE).parts[:1]
        for match in names.finditer(path.read_text())
    ]
    assert found == []


def test_adapter_stays_small():
    lines = sum(
        len(path.read_text().splitlines())
        for path in (SOURCE / "platform").glob("*.py")
    )
    assert lines < 1000
