"""The one-file program starts no child process and writes one directory."""

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
    """Build the one-file program and return its path."""
    path = tmp_path_factory.mktemp("dist") / "savorytally"
    subprocess.run(
        [sys.executable, "-m", "tools.binary", str(path)], cwd=ROOT, check=True
    )
    return path


@pytest.fixture
def directories(tmp_path):
    """Create the unpack directory and others that must stay empty."""
    created = {}
    for name in ("unpack", "home", "temporary", "work"):
        created[name] = tmp_path / name
        created[name].mkdir()
    return created


def environment(directories):
    """Return the environment variables of the program.

    PATH holds the directory of the interpreter itself, because a wrapper,
    such as pyenv's, would start child processes first.
    """
    return {
        "PATH": str(pathlib.Path(sys.executable).resolve().parent),
        "SHIV_ROOT": str(directories["unpack"]),
        "HOME": str(directories["home"]),
        "TMPDIR": str(directories["temporary"]),
    }


def children_of(parent):
    """Return the entries of a process's children in the process table."""
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
    """Return the regular files that a process has open for writing."""
    found = []
    for entry in pathlib.Path(f"/proc/{process}/fd").iterdir():
        info = pathlib.Path(f"/proc/{process}/fdinfo/{entry.name}")
        try:
            target = pathlib.Path(os.readlink(entry))
            flags = int(info.read_text().split("flags:")[1].split()[0], 8)
        except FileNotFoundError:  # Closed since the directory was read.
            continue
        if target.is_file() and flags & os.O_ACCMODE != os.O_RDONLY:
            found.append(str(target))
    return found


def settings_of(free_port, upstream_port, platform_port):
    """Return the settings of a node."""
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


async def request_until_served(node, url, headers):
    """Repeat a request until it succeeds, return its status and body."""
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


async def collect_children(process, seen):
    """Add the children of a process to ``seen`` until cancelled."""
    while True:
        seen += children_of(process)
        await asyncio.sleep(0.02)


async def serve_one(program, directories, free_port):
    """Start the program as a node and send it a request.

    Returns the response, the children seen, the files open for writing, the
    exit code and the log.
    """
    ports = free_port(), free_port()
    simulated = upstream.Upstream(), platform.Platform()
    value = settings_of(free_port, *ports)
    listed = documents.host("browse", 0, value["ports"]["peer"])
    hosts = json.dumps({"browse-0": listed}).encode()
    document = json.dumps(documents.himali()).encode()
    await simulated[1].publish("configuration", 1, document)
    await simulated[1].publish("hosts", 1, hosts)
    for item, port in zip(simulated, ports, strict=True):
        await item.start("127.0.0.1", port)
    path = directories["unpack"].parent / "settings.json"
    path.write_text(json.dumps(value))
    node = await asyncio.create_subprocess_exec(
        str(program),
        "node",
        "--settings",
        str(path),
        cwd=directories["work"],
        env=environment(directories),
        stderr=asyncio.subprocess.PIPE,
    )
    children = []
    watching = asyncio.ensure_future(collect_children(node.pid, children))
    try:
        url = f"http://127.0.0.1:{value['ports']['entry']}/browse/species"
        key = documents.key_of("org1")
        headers = {"Authorization": f"Bearer {key}"}
        response = await request_until_served(node, url, headers)
        written = written_by(node.pid)
    finally:
        watching.cancel()
        if node.returncode is None:
            node.terminate()
        _, logged = await node.communicate()
        for item in simulated:
            await item.stop()
    return response, children, written, node.returncode, logged.decode()


@pytest.mark.live
class TestProgram:
    def test_prints_its_version(self, program, directories):
        ended = subprocess.run(
            [program, "version"],
            env=environment(directories),
            cwd=directories["work"],
            capture_output=True,
            text=True,
        )
        assert ended.stdout == f"{__version__}\n"

    def test_child_processes_are_detected(self):
        child = subprocess.Popen(["sleep", "60"])
        seen = children_of(os.getpid())
        child.kill()
        child.wait()
        assert any("sleep" in name for name in seen)

    def test_serves_a_request_without_child_processes(
        self, program, directories, free_port, run
    ):
        served = run(serve_one(program, directories, free_port))
        response, children, written, ended, logged = served
        assert response == (200, "GET /species 0\n")
        assert children == []
        assert written == []
        assert ended == 0
        assert documents.key_of("org1") not in logged
        assert all(json.loads(line) for line in logged.splitlines())
        assert list(directories["unpack"].iterdir())
        for name in ("home", "temporary", "work"):
            assert list(directories[name].iterdir()) == []
