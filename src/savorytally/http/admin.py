"""The administration API, served on a port of its own.

Paths below ``/v1`` need the token from the settings; without a token in the
settings they are refused. ``/health`` and mounted handlers need no token.
"""

import dataclasses
import heapq
import hmac
import os
import typing as t

from absl import logging
from aiohttp import web

from .. import __version__
from .. import fields
from .. import files
from .. import ports
from .. import results
from .. import settings
from .. import view
from ..decisions import admission
from ..decisions import quota
from ..decisions import usage
from ..parts import published_document
from ..world import patch
from . import admin_views

REQUEST_MAX_BYTES = 1 << 20
DRY_RUN_MAX_BYTES = 128 << 10
PAGE_LENGTH = 100
PAGE_LENGTH_MAX = 1_000
SHUTDOWN_TIMEOUT_S = 2.0

_BEARER = "Bearer "

Handler = t.Callable[[web.Request], t.Awaitable[web.StreamResponse]]


@dataclasses.dataclass(frozen=True, slots=True)
class ManagedNode:
    """The parts of a node that the API reads and controls.

    :param environment: the node's clock and platform client.
    :param current: the current configuration and host list.
    :param quota: the quota policy.
    :param admission: the gate's admission policy.
    :param drain: starts a graceful stop.
    """

    environment: ports.Environment
    current: view.View
    quota: quota.Quota
    admission: admission.Admission
    drain: ports.Drain


class AdminServer:
    """Serves the administration API.

    :param options: the node's settings.
    :param node: the parts of the node that the API reads and controls.
    """

    def __init__(self, options: settings.Settings, node: ManagedNode) -> None:
        self._options = options
        self._node = node
        self._token = read_token(options.admin, os.environ)
        self._runner: web.AppRunner | None = None
        self._app = web.Application(
            middlewares=[_errors_as_json, self._authorise],
            client_max_size=REQUEST_MAX_BYTES,
        )
        router = self._app.router
        router.add_get("/health", self._health)
        router.add_get("/v1/status", self._status)
        router.add_get("/v1/configuration", self._configuration)
        router.add_get("/v1/configuration/{kind}", self._members)
        router.add_get("/v1/configuration/{kind}/{identifier}", self._member)
        router.add_post("/v1/configuration/dry-run", self._dry_run)
        router.add_get("/v1/hosts", self._hosts)
        router.add_get("/v1/limits", self._limits)
        router.add_get("/v1/limits/{organisation}", self._limit)
        router.add_post("/v1/drain", self._drain)

    @property
    def app(self) -> web.Application:
        """The aiohttp application with all routes."""
        return self._app

    def mount(self, path: str, handler: Handler) -> None:
        """Serve ``GET`` of a path beside the API, without authorisation.

        This must be called before :meth:`start`.

        :param path: the absolute path.
        :param handler: handles the requests.
        """
        self._app.router.add_get(path, handler)

    async def start(self) -> None:
        """Listen for operators.

        :raises OSError: if the port is in use.
        """
        self._runner = web.AppRunner(
            self._app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        address = self._options.admin.address
        site = web.TCPSite(self._runner, address, self._options.ports.admin)
        await site.start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _authorise(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if not request.path.startswith("/v1/"):
            return await handler(request)
        if not self._token:
            return _refuse(results.ADMIN_CLOSED)
        given = request.headers.get("Authorization", "")
        wanted = f"{_BEARER}{self._token}"
        if not hmac.compare_digest(_as_bytes(given), _as_bytes(wanted)):
            return _refuse(results.ADMIN_UNAUTHORIZED)
        return await handler(request)

    def _state(self) -> str:
        if self._node.drain.draining:
            return "draining"
        if self._node.current.configuration is None:
            return "starting"
        return "serving"

    async def _health(self, request: web.Request) -> web.Response:
        state = self._state()
        status = 200 if state == "serving" else 503
        return web.json_response({"state": state}, status=status)

    async def _status(self, request: web.Request) -> web.Response:
        current = self._node.current
        policy = self._node.admission
        now = self._node.environment.clock.now()
        return web.json_response(
            {
                "host": self._options.host_id,
                "service": self._options.service_id,
                "region": self._options.place.region_id,
                "data_centre": self._options.place.data_centre_id,
                "program": __version__,
                "state": self._state(),
                "configuration_version": current.version,
                "host_list_version": current.hosts.version,
                "hosts": len(current.hosts.hosts),
                "upstream": {
                    "running": policy.running,
                    "waiting": policy.waiting,
                    "level": policy.level(now),
                },
            }
        )

    async def _configuration(self, request: web.Request) -> web.Response:
        current = self._node.current.configuration
        if current is None:
            return _refuse(results.ADMIN_NOT_FOUND)
        return web.json_response(admin_views.show_configuration(current))

    async def _members(self, request: web.Request) -> web.Response:
        members = self._members_of_kind(request)
        if members is None:
            return _refuse(results.ADMIN_NOT_FOUND)
        return _respond_page(request, members, admin_views.show_member)

    async def _member(self, request: web.Request) -> web.Response:
        members = self._members_of_kind(request) or {}
        found = members.get(request.match_info["identifier"])
        if found is None:
            return _refuse(results.ADMIN_NOT_FOUND)
        return web.json_response(admin_views.show_member(found))

    def _members_of_kind(
        self, request: web.Request
    ) -> t.Mapping[str, t.Any] | None:
        held = self._node.current.configuration
        if held is None:
            return None
        kind = request.match_info["kind"]
        return admin_views.members_of(held).get(kind)

    async def _hosts(self, request: web.Request) -> web.Response:
        hosts = self._node.current.hosts.hosts
        return _respond_page(request, hosts, admin_views.show_host)

    async def _limits(self, request: web.Request) -> web.Response:
        held = self._node.current.configuration
        organisations = held.organisations if held else {}
        used = self._usage()
        return _respond_page(
            request,
            organisations,
            lambda item: admin_views.show_limits(
                item, used.get(item.organisation_id)
            ),
        )

    async def _limit(self, request: web.Request) -> web.Response:
        held = self._node.current.configuration
        wanted = request.match_info["organisation"]
        found = held.organisations.get(wanted) if held else None
        if found is None:
            return _refuse(results.ADMIN_NOT_FOUND)
        shown = admin_views.show_limits(found, self._usage().get(wanted))
        return web.json_response(shown)

    def _usage(self) -> dict[str, usage.Usage]:
        now = self._node.environment.clock.now()
        found = self._node.quota.usage(now)
        return {item.organisation_id: item for item in found}

    async def _dry_run(self, request: web.Request) -> web.Response:
        loaded = files.parse(_as_text(await request.read()))
        if isinstance(loaded, files.Unreadable):
            return _refuse(results.PATCH_FAULT, loaded.fault)
        document = await published_document.read(
            self._node.environment.platform, DRY_RUN_MAX_BYTES
        )
        if isinstance(document, published_document.Unavailable):
            return _refuse(results.PLATFORM_FAULT, document.fault)
        if isinstance(document, published_document.TooLarge):
            text = f"must be at most {document.limit_bytes} bytes"
            return _refuse(results.ADMIN_TOO_LARGE, fields.Fault("", text))
        outcome = patch.apply_value(document.value, loaded.value)
        if isinstance(outcome, patch.Refused):
            return _refuse(outcome.code, *outcome.faults)
        in_force = self._node.current.version
        if outcome.configuration.version <= in_force:
            text = f"the platform is older than version {in_force} in force"
            return _refuse(results.PLATFORM_FAULT, fields.Fault("", text))
        logging.info("dry run of a patch for %s succeeded", request.remote)
        return web.json_response(
            {
                "version": outcome.configuration.version,
                "document": outcome.value,
            }
        )

    async def _drain(self, request: web.Request) -> web.Response:
        logging.warning("drain requested by %s", request.remote)
        self._node.drain.drain()
        return web.json_response({"state": self._state()}, status=202)


def read_token(
    options: settings.Admin, environment: t.Mapping[str, str]
) -> str:
    """Return the API's token, empty if the API is closed.

    :param options: the API's settings.
    :param environment: environment variables by name.
    """
    if options.token_variable:
        return environment.get(options.token_variable, "")
    return options.token


@web.middleware
async def _errors_as_json(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    try:
        return await handler(request)
    except (web.HTTPNotFound, web.HTTPMethodNotAllowed):
        return _refuse(results.ADMIN_NOT_FOUND)
    except web.HTTPRequestEntityTooLarge:
        text = f"must be at most {REQUEST_MAX_BYTES} bytes"
        return _refuse(results.ADMIN_REQUEST_FAULT, fields.Fault("", text))


def _refuse(code: results.ResultCode, *faults: fields.Fault) -> web.Response:
    shown = admin_views.show_faults(code, faults)
    return web.json_response(shown, status=code.http_status)


def _respond_page(
    request: web.Request,
    members: t.Mapping[str, t.Any],
    show: t.Callable[[t.Any], admin_views.Json],
) -> web.Response:
    limit = request.query.get("limit", str(PAGE_LENGTH))
    if not limit.isdecimal() or not 1 <= int(limit[:9]) <= PAGE_LENGTH_MAX:
        text = f"must lie between 1 and {PAGE_LENGTH_MAX}"
        fault = fields.Fault("/limit", text)
        return _refuse(results.ADMIN_REQUEST_FAULT, fault)
    after = request.query.get("after", "")
    wanted = (name for name in members if name > after)
    page = heapq.nsmallest(int(limit) + 1, wanted)
    more = len(page) > int(limit)
    page = page[: int(limit)]
    next_after = page[-1] if more else None
    return web.json_response(
        {
            "members": {name: show(members[name]) for name in page},
            "next": next_after,
        }
    )


def _as_bytes(text: str) -> bytes:
    return text.encode("utf-8", "surrogateescape")


def _as_text(body: bytes) -> str:
    return body.decode("utf-8", "replace")
