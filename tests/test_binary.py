"""The one-file program: no child process, one directory written."""

import asyncio
import json
import os
import pathlib
import subprocess
import sys
import time

import aiohttp
from fakes import documents
from fakes import platform
from fakes import upstream
import pytest

from savorytally import __version__

ROOT = pathlib.Path(__file__).parent.parent
START_TIMEOUT_S = 30.0


@pytest.fixture(scope="module")
def program(tmp_path_factory):
    """Build the program."""
    path = tmp_path_factory.mktemp("dist") / "savorytally"
    subprocess.run(
        [sys.executable, "-m", "tools.binary", str(path)], cwd=ROOT, check=True
    )
    return path


@pytest.fixture
def places(tmp_path):
    """Make the unpack directory and the others that a program may know."""
    made = {}
    for name in ("unpack", "home", "temporary", "work"):
        made[name] = tmp_path / name
        made[name].mkdir()
    return made


def environment(places):
    """Return the variables with which the program is started.

    The path leads to the interpreter itself; a wrapper in its place, such
    as those of pyenv, starts processes of its own before it.
    """
    return {
        "PATH": str(pathlib.Path(sys.executable).resolve().parent),
        "SHIV_ROOT": str(places["unpack"]),
        "HOME": str(places["home"]),
        "TMPDIR": str(places["temporary"]),
    }


def children_of(parent):
    """Return the processes that have a parent, from the process table."""
    found = []
    for path in pathlib.Path("/proc").glob("[0-9]*/stat"):
        try:
            text = path.read_text()
        except OSError:
            continue
        name, _, rest = text.rpartition(")")
        if int(rest.split()[1]) == parent:
            found.append(name)
    return found


def written_by(process):
    """Return the regular files that a process holds open for writing."""
    found = []
    for entry in pathlib.Path(f"/proc/{process}/fd").iterdir():
        info = pathlib.Path(f"/proc/{process}/fdinfo/{entry.name}")
        try:
            target = pathlib.Path(os.readlink(entry))
            flags = int(info.read_text().split("flags:")[1].split()[0], 8)
        except FileNotFoundError:  # It was closed after it was listed.
            continue
        if target.is_file() and flags & os.O_ACCMODE != os.O_RDONLY:
            found.append(str(target))
    return found


def settings_of(free_port, upstream_port, platform_port):
    """Return a node's settings as a file holds them."""
    region, data_centre = documents.PLACES[0]
    names = ("entry", "peer", "egress", "admin")
    return {
        "host_id": "browse-0",
        "service": "browse",
        "region": region,
        "data_centre": data_centre,
        "address": "127.0.0.1",
        "upstream_url": f"http://127.0.0.1:{upstream_port}",
        "platform_url": f"http://127.0.0.1:{platform_port}",
        "fleet_started_s": time.time(),
        "ports": {name: free_port() for name in names},
    }


async def ask_until_answered(node, url, headers):
    """Ask until the node serves, and return the status and the body."""
    async with asyncio.timeout(START_TIMEOUT_S):
        async with aiohttp.ClientSession(headers=headers) as session:
            while True:
                if node.returncode is not None:
                    pytest.fail((await node.stderr.read()).decode())
                try:
                    async with session.get(url) as response:
                        if response.status == 200:
                            return response.status, await response.text()
                except aiohttp.ClientConnectionError:
                    pass
                await asyncio.sleep(0.05)


async def observe(process, seen):
    """Collect the children of a process until cancelled."""
    while True:
        seen += children_of(process)
        await asyncio.sleep(0.02)


async def serve_one(program, places, free_port):
    """Start the program as a node; return its answer and what it did."""
    ports = free_port(), free_port()
    stand_ins = upstream.Upstream(), platform.Platform()
    value = settings_of(free_port, *ports)
    listed = documents.host("browse", 0, value["ports"]["peer"])
    hosts = json.dumps({"browse-0": listed}).encode()
    document = json.dumps(documents.himali()).encode()
    await stand_ins[1].publish("configuration", 1, document)
    await stand_ins[1].publish("hosts", 1, hosts)
    for item, port in zip(stand_ins, ports, strict=True):
        await item.start("127.0.0.1", port)
    path = places["unpack"].parent / "settings.json"
    path.write_text(json.dumps(value))
    node = await asyncio.create_subprocess_exec(
        str(program),
        "node",
        "--settings",
        str(path),
        cwd=places["work"],
        env=environment(places),
        stderr=asyncio.subprocess.PIPE,
    )
    children = []
    watching = asyncio.ensure_future(observe(node.pid, children))
    try:
        url = f"http://127.0.0.1:{value['ports']['entry']}/browse/species"
        key = documents.key_of("org1")
        headers = {"Authorization": f"Bearer {key}"}
        answer = await ask_until_answered(node, url, headers)
        written = written_by(node.pid)
    finally:
        watching.cancel()
        if node.returncode is None:
            node.terminate()
        _, logged = await node.communicate()
        for item in stand_ins:
            await item.stop()
    return answer, children, written, node.returncode, logged.decode()


@pytest.mark.live
class TestProgram:
    def test_prints_its_version(self, program, places):
        ended = subprocess.run(
            [program, "version"],
            env=environment(places),
            cwd=places["work"],
            capture_output=True,
            text=True,
        )
        assert ended.stdout == f"{__version__}\n"

    def test_children_are_seen_in_the_process_table(self):
        child = subprocess.Popen(["sleep", "60"])
        seen = children_of(os.getpid())
        child.kill()
        child.wait()
        assert any("sleep" in name for name in seen)

    def test_serves_a_request_without_a_child(
        self, program, places, free_port, run
    ):
        served = run(serve_one(program, places, free_port))
        answer, children, written, ended, logged = served
        assert answer == (200, "GET /species 0\n")
        assert children == []
        assert written == []
        assert ended == 0
        assert documents.key_of("org1") not in logged
        assert all(json.loads(line) for line in logged.splitlines())
        assert list(places["unpack"].iterdir())
        for name in ("home", "temporary", "work"):
            assert list(places[name].iterdir()) == []
