"""Reads of the platform's store."""

import asyncio
import json
import logging
import typing as t
import urllib.parse

from ..dataplane import exchanges
from ..dataplane import feed
from ..dataplane import options
from ..dataplane import pool
from . import documents

# A read that was not answered in this time is given up.
ANSWER_TIMEOUT_S = 2.0
# Pages of a snapshot at most, of about 500 items each.
PAGES_MAX = 400
# Time beyond the asked one that a watch may take to answer.
WATCH_MARGIN_S = 2.0
_EVERYTHING = ""
_OK = 200
_HISTORY_GONE = 410


class Store:
    """The platform's store as a source of publications.

    :param address: where it listens.
    """

    def __init__(self, address: options.Address) -> None:
        self._pool = pool.Pool(address)
        self._host = f"{address.host}:{address.port}".encode()
        self._malformed: dict[str, int] = {}
        self.calls = 0

    async def snapshot(self) -> feed.Changes:
        """Return everything in the store; pages are read one by one.

        :raises feed.Unavailable: if a page can't be read.
        """
        after = ""
        revision: int | None = None
        items: list[dict[str, t.Any]] = []
        for _ in range(PAGES_MAX):
            query = {"prefix": _EVERYTHING, "after": after}
            page = await self._get(
                "/-/kv-range", "items", query, ANSWER_TIMEOUT_S
            )
            if revision is None:
                # Pages are no snapshot: what changes while they are read
                # comes again with the watch from the first one's revision.
                revision = int(page["current_rev"])
            items += page["items"]
            if not page.get("has_more") or not page["items"]:
                return self._changes(items, None, revision)
            if page["items"][-1]["key"] <= after:
                raise feed.Unavailable(f"a page does not go on after {after}")
            after = page["items"][-1]["key"]
        raise feed.Unavailable(f"more than {PAGES_MAX} pages")

    async def changes(self, after: int, wait_s: float) -> feed.Changes:
        """Return what changed after a revision.

        :raises feed.Unavailable: if the watch fails.
        :raises feed.HistoryLost: if the store no longer knows.
        """
        query = {
            "prefix": _EVERYTHING,
            "after": str(after),
            "wait_ms": str(int(wait_s * 1000)),
        }
        answer = await self._get(
            "/-/kv-watch", "events", query, wait_s + WATCH_MARGIN_S
        )
        revision = int(answer["current_rev"])
        return self._changes(answer["events"], after, revision)

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    async def _get(
        self, path: str, table: str, query: dict[str, str], timeout_s: float
    ) -> dict[str, t.Any]:
        """Read a page of a table.

        :param table: the field that holds the items.
        :raises feed.Unavailable: if there is no such answer.
        """
        query = {name: value for name, value in query.items() if value}
        text = urllib.parse.urlencode(query, safe="/")
        loop = asyncio.get_running_loop()
        opened: asyncio.Future[exchanges.Connection | None]
        opened = loop.create_future()
        self.calls += 1

        def take(connection: exchanges.Connection | None) -> None:
            if opened.cancelled():
                if connection is not None:
                    self._pool.give(connection)
                return
            opened.set_result(connection)

        self._pool.take(False, take)
        connection = await opened
        if connection is None:
            raise feed.Unavailable("no connection to the store")
        answered: asyncio.Future[exchanges.Reply | exchanges.Broken]
        answered = loop.create_future()

        def done(
            used: exchanges.Connection,
            result: exchanges.Reply | exchanges.Broken,
        ) -> None:
            self._pool.give(used)
            if not answered.done():
                answered.set_result(result)

        connection.request(
            b"GET %s?%s HTTP/1.1\r\nhost: %s\r\n\r\n"
            % (path.encode(), text.encode(), self._host),
            lambda reply: True,
            done,
        )
        try:
            async with asyncio.timeout(timeout_s):
                result = await answered
        except TimeoutError as error:
            connection.abort()
            raise feed.Unavailable(f"{path}: no answer in time") from error
        except asyncio.CancelledError:
            connection.abort()
            raise
        return _body(path, table, result)

    def _changes(
        self, items: list[dict[str, t.Any]], after: int | None, revision: int
    ) -> feed.Changes:
        configuration: bytes | None = None
        changed = {}
        removed = []
        prefix = documents.INSTANCE_PREFIX
        for item in items:
            key = item.get("key", "")
            if key == documents.CONFIGURATION_KEY:
                if not item.get("deleted"):
                    configuration = self._value(key, item) or configuration
                continue
            if not key.startswith(prefix):
                continue
            name = key[len(prefix) :]
            found = None
            if not item.get("deleted"):
                found = self._instance(key, item)
            if found is not None:
                changed[name] = found
                if name in removed:
                    removed.remove(name)
            else:
                # Gone, or written by something that names no upstream.
                changed.pop(name, None)
                removed.append(name)
        return feed.Changes(
            after, revision, configuration, changed, tuple(removed)
        )

    def _value(self, key: str, item: dict[str, t.Any]) -> bytes | None:
        try:
            return documents.value_of(item)
        except documents.Malformed as error:
            self._note_malformed(key, item, error)
            return None

    def _instance(self, key: str, item: dict[str, t.Any]) -> t.Any:
        try:
            body = documents.value_of(item)
            return documents.instance(key, body, item.get("created", 0))
        except documents.Malformed as error:
            self._note_malformed(key, item, error)
            return None

    def _note_malformed(
        self, key: str, item: dict[str, t.Any], error: documents.Malformed
    ) -> None:
        revision = item.get("revision", 0)
        if self._malformed.get(key) != revision:
            self._malformed[key] = revision
            logging.warning("store entry can't be used: %s", error)


def _body(
    path: str, table: str, result: exchanges.Reply | exchanges.Broken
) -> dict[str, t.Any]:
    if isinstance(result, exchanges.Broken):
        raise feed.Unavailable(f"{path}: {result.value}")
    if result.status == _HISTORY_GONE:
        raise feed.HistoryLost(path)
    if result.status != _OK:
        raise feed.Unavailable(f"{path}: status {result.status}")
    try:
        value = json.loads(result.body)
        int(value["current_rev"])
        if not all(isinstance(item["key"], str) for item in value[table]):
            raise ValueError("a key is no text")
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise feed.Unavailable(f"{path}: malformed answer") from error
    return value
