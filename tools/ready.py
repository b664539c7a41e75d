"""Waits until the nodes of a mesh serve requests."""

import argparse
import asyncio
import json
import pathlib
import time

import aiohttp

POLL_S = 0.1


async def ready(directory: pathlib.Path, seconds: float) -> bool:
    """Return whether every entry is configured within the time."""
    ports = json.loads((directory / "mesh.json").read_text("utf-8"))["ports"]
    end = time.monotonic() + seconds
    async with aiohttp.ClientSession() as session:
        for item in ports.values():
            url = f"http://127.0.0.1:{item['entry']}/browse/species"
            while not await _configured(session, url):
                if time.monotonic() > end:
                    return False
                await asyncio.sleep(POLL_S)
    return True


async def _configured(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 401
    except aiohttp.ClientError:
        return False


def main() -> int:
    """Run the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("directory", type=pathlib.Path)
    parser.add_argument("--seconds", type=float, default=20.0)
    given = parser.parse_args()
    return 0 if asyncio.run(ready(given.directory, given.seconds)) else 1


if __name__ == "__main__":
    raise SystemExit(main())
