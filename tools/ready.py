"""Waits until the nodes of a mesh serve requests."""

import argparse
import asyncio
import json
import pathlib
import time

import aiohttp

POLL_S = 0.1


async def ready(
    directory: pathlib.Path, hosts: list[str], seconds: float
) -> bool:
    """Wait until the entries of all hosts have a configuration.

    :param directory: directory of the mesh's files.
    :param hosts: identifiers of the hosts, all hosts if empty.
    :param seconds: timeout.
    :returns: whether all were ready in time.
    """
    ports = json.loads((directory / "mesh.json").read_text("utf-8"))["ports"]
    end = time.monotonic() + seconds
    async with aiohttp.ClientSession() as session:
        for item in (ports[name] for name in hosts or ports):
            url = f"http://127.0.0.1:{item['entry']}/browse/species"
            while not await _configured(session, url):
                if time.monotonic() > end:
                    return False
                await asyncio.sleep(POLL_S)
    return True


async def _configured(session: aiohttp.ClientSession, url: str) -> bool:
    """Return whether a request without a key is rejected as such."""
    try:
        async with session.get(url) as response:
            return response.status == 401
    except aiohttp.ClientError:
        return False


def main() -> int:
    """Run the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("directory", type=pathlib.Path)
    parser.add_argument("--host", action="append", default=[])
    parser.add_argument("--seconds", type=float, default=20.0)
    given = parser.parse_args()
    work = ready(given.directory, given.host, given.seconds)
    return 0 if asyncio.run(work) else 1


if __name__ == "__main__":
    raise SystemExit(main())
