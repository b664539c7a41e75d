"""``savorytally where``: ask a node where it would send a request."""

import argparse
import json
import sys
import typing as t

from .. import results
from . import base

TIMEOUT_S = 2.0
# A reply describes at most some hundred upstreams of each service.
REPLY_MAX_BYTES = 1 << 22


class _ReplyFault(Exception):
    """The reply is not one that a node gives."""


@base.commands.register("where")
class WhereCommand:
    """Explain where a node would send a request now, without sending it."""

    def arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments for the node and the request."""
        parser.add_argument(
            "--node",
            required=True,
            metavar="ADDRESS:PORT",
            help="address and metrics port of the node",
        )
        parser.add_argument("host", help="the request's host name")
        parser.add_argument("path", help="the request's path")
        parser.add_argument(
            "--method",
            default="GET",
            help="the request's method (%(default)s)",
        )
        parser.add_argument(
            "--organisation",
            default="",
            metavar="NAME",
            help="name of the caller's organisation, not its key",
        )
        parser.add_argument(
            "--upstreams",
            type=int,
            default=20,
            metavar="N",
            help="upstreams of each service to describe (%(default)s)",
        )
        parser.add_argument(
            "--timeout-s",
            type=_positive,
            default=TIMEOUT_S,
            metavar="S",
            help="how long to wait for the answer (%(default)s)",
        )
        parser.add_argument(
            "--json", action="store_true", help="print the answer as JSON"
        )

    def run(self, parsed: argparse.Namespace) -> int:
        """Print the node's answer."""
        import asyncio

        query = {
            "host": parsed.host,
            "path": parsed.path,
            "method": parsed.method,
            "organisation": parsed.organisation,
            "upstreams": str(parsed.upstreams),
        }
        try:
            status, body = asyncio.run(
                _get(f"http://{parsed.node}/where", query, parsed.timeout_s)
            )
            value = _parse(status, body)
        except TimeoutError:
            detail = f"no answer within {parsed.timeout_s:g} s"
            _print_error(results.NODE_SILENT, f"{parsed.node}: {detail}")
            return base.EXIT_UNREACHABLE
        except OSError as error:
            _print_error(results.NODE_SILENT, f"{parsed.node}: {error}")
            return base.EXIT_UNREACHABLE
        except _ReplyFault as error:
            _print_error(results.NODE_REPLY_FAULT, f"{parsed.node}: {error}")
            return base.EXIT_REPLY
        if status != 200:
            code = results.by_number(value["code"])
            _print_error(code, str(value.get("detail", "")))
            refused = code is results.NOT_CONFIGURED
            return base.EXIT_REFUSED if refused else base.EXIT_FAULT
        if parsed.json:
            return base.print_json(value)
        try:
            text = "\n".join(_lines(value))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            detail = f"unexpected field: {error!r}"
            _print_error(results.NODE_REPLY_FAULT, f"{parsed.node}: {detail}")
            return base.EXIT_REPLY
        print(text)
        return base.EXIT_OK


def _positive(text: str) -> float:
    """Return a number above 0; 0 would switch the time-out off.

    :raises ValueError: if the text is none.
    """
    value = float(text)
    if not 0.0 < value < float("inf"):
        raise ValueError(text)
    return value


async def _get(
    url: str, query: dict[str, str], timeout_s: float
) -> tuple[int, bytes]:
    """Return status and body of a response.

    :raises TimeoutError: if it does not arrive in time.
    :raises OSError: if the node can't be reached.
    """
    import aiohttp

    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.get(url, params=query) as response:
                body = bytearray()
                async for part in response.content.iter_any():
                    body += part
                    if len(body) > REPLY_MAX_BYTES:
                        raise _ReplyFault("the reply is too large")
                return response.status, bytes(body)
    except aiohttp.ClientResponseError as error:
        raise _ReplyFault(error.message) from error
    except (aiohttp.ClientError, ValueError) as error:
        if isinstance(error, TimeoutError):
            raise
        raise OSError(str(error) or type(error).__name__) from error


def _parse(status: int, body: bytes) -> dict[str, t.Any]:
    """Return the JSON object of a reply.

    :raises _ReplyFault: if it is not one that a node gives.
    """
    try:
        value = json.loads(body)
    except ValueError:
        raise _ReplyFault(f"status {status}, no JSON") from None
    if not isinstance(value, dict):
        raise _ReplyFault(f"status {status}, not an object")
    try:
        results.by_number(value.get("code"))
    except (KeyError, TypeError):
        raise _ReplyFault(f"status {status}, unknown result code") from None
    if status == 200 and not isinstance(value.get("services"), list):
        raise _ReplyFault("no list of services")
    return value


def _print_error(code: results.ResultCode, detail: str) -> None:
    print(f"{code.number} {code.name}: {detail}", file=sys.stderr)


def _lines(value: dict[str, t.Any]) -> t.Iterator[str]:
    """Yield the lines of the text output."""
    route = value["route"]
    yield f"result        {value['code']} {value['name']}"
    yield (
        f"route         {route['name']}, priority {route['priority']}, "
        f"objective {route['objective_ms']:g} ms, "
        f"time-out {route['timeout_ms']:g} ms, "
        f"{route['attempts']} attempts, "
        f"{'repeatable' if route['repeatable'] else 'runs once'}"
    )
    regions = value["regions"]
    permitted = "all" if regions is None else ", ".join(regions) or "none"
    yield f"regions       {permitted}"
    if value["organisation"] is not None:
        yield from _organisation_lines(value["organisation"])
    for refusal in value["refusals"]:
        yield f"refuses       {_refusal(refusal)}"
    for service in value["services"]:
        yield from _service_lines(service)


def _organisation_lines(value: dict[str, t.Any]) -> t.Iterator[str]:
    limit = "no rate limit"
    if value["rate_per_s"]:
        limit = f"{value['rate_per_s']:g}/s, burst {value['burst']:g}"
    yield f"organisation  {value['name']}, {limit}"
    share = value["share"]
    if share is None:
        return
    where = "here" if share["decided_here"] else f"by {share['decided_by']}"
    tokens = ""
    if share["tokens"] is not None:
        tokens = f", {share['tokens']:g} tokens of "
        tokens += f"{share['tokens_needed']:g} needed"
    yield (
        f"rate          decided {where}, "
        f"this region's part {share['region_fraction']:.1%}{tokens}"
    )


def _service_lines(service: dict[str, t.Any]) -> t.Iterator[str]:
    counts = ", ".join(
        f"{count} {reason}" for reason, count in service["counts"].items()
    )
    yield (
        f"service       {service['service']}, weight {service['weight']:g} "
        f"({service['share']:.1%}); {counts or 'no upstreams'}"
    )
    if service["refusal"] is not None:
        yield f"  refuses     {_refusal(service['refusal'])}"
    for item in service["upstreams"]:
        yield f"  {item['instance']}  {item['reason']}  {_upstream(item)}"


def _upstream(item: dict[str, t.Any]) -> str:
    """Return a description of an upstream."""
    parts = item.get("parts") or {}
    named = " + ".join(
        f"{name.removesuffix('_ms')} {value:g}"
        for name, value in parts.items()
        if value and name != "spread_ms"
    )
    text = f"{item['data_centre']}/{item['region']}"
    if not item["listed"]:
        text += ", unlisted"
    text += f", expected {item['expected_ms']:g} ms"
    if named:
        text += f" ({named})"
    text += f", {item['in_flight']} in flight"
    if item["report_age_ms"] is None:
        text += ", no report"
    else:
        text += (
            f", load {item['load']}/{item['limit']} "
            f"{item['report_age_ms']:g} ms ago"
        )
    for name in ("cold_for_ms", "avoided_for_ms", "rate_limit_wait_ms"):
        if item[name]:
            label = name.removesuffix("_ms").replace("_", " ")
            text += f", {label} {item[name]:g} ms"
    return text


def _refusal(value: dict[str, t.Any]) -> str:
    shortest, longest = value["retry_after_ms"]
    return (
        f"{value['code']} {value['name']}, {value['share']:.1%} of requests, "
        f"Retry-After {shortest:g}-{longest:g} ms"
    )
