"""HTTP endpoint that exports a node's metrics to Prometheus."""

import typing as t

from aiohttp import web

from .. import metrics

Handler = t.Callable[[web.Request], t.Awaitable[web.StreamResponse]]


def handler(node_metrics: metrics.Metrics) -> Handler:
    """Return a handler of ``GET /metrics``.

    :param node_metrics: the node's metrics, rendered for each request.
    """

    async def serve(request: web.Request) -> web.Response:
        accept = request.headers.getall("Accept", [])
        body, content_type = node_metrics.render(accept)
        return web.Response(body=body, headers={"Content-Type": content_type})

    return serve
