"""``savorytally status``: query a node's administration API."""

import argparse
import json
import os
import sys
import typing as t

from .. import defaults
from . import base

TOKEN_VARIABLE = "SAVORYTALLY_ADMIN_TOKEN"
TIMEOUT_S = 5.0


@base.commands.register("status")
class StatusCommand:
    """Query a node's administration API and print the response as JSON."""

    def arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments for the node's URL, the token and the subject."""
        parser.add_argument(
            "--url",
            default=f"http://127.0.0.1:{defaults.ADMIN_PORT}",
            help="URL of the node's administration API (%(default)s)",
        )
        parser.add_argument(
            "--token-variable",
            default=TOKEN_VARIABLE,
            metavar="NAME",
            help="environment variable that holds the token (%(default)s)",
        )
        parser.add_argument(
            "subject",
            nargs="?",
            default="status",
            choices=("status", "configuration", "hosts", "limits"),
            help="what to show (%(default)s)",
        )

    def run(self, parsed: argparse.Namespace) -> int:
        """Print the node's response."""
        import asyncio

        token = os.environ.get(parsed.token_variable, "")
        url = f"{parsed.url.rstrip('/')}/v1/{parsed.subject}"
        try:
            status, value = asyncio.run(_get(url, token))
        except (OSError, ValueError) as error:
            reason = str(error) or type(error).__name__
            print(f"savorytally: {url}: {reason}", file=sys.stderr)
            return base.EXIT_UNREACHABLE
        base.print_json(value)
        return base.EXIT_OK if status == 200 else base.EXIT_REFUSED


async def _get(url: str, token: str) -> tuple[int, t.Any]:
    import aiohttp

    headers = {"Authorization": f"Bearer {token}"} if token else {}
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.get(url, headers=headers) as response:
                return response.status, json.loads(await response.read())
    except aiohttp.ClientError as error:
        raise OSError(str(error)) from error
