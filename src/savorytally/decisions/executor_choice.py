"""Selects the host of a service that may run an at-most-once request."""

import typing as t

import xxhash

from ..world import host
from . import shard_ownership

RECORD_SHARDS = 64


class RecordKey(t.Protocol):
    """The values from which a record's shard is computed."""

    @property
    def organisation_id(self) -> str:
        """The caller's organisation."""

    @property
    def idempotency_key(self) -> str:
        """The idempotency key sent by the caller."""


def record_shard(service_id: str, key: RecordKey) -> str:
    """Return the shard of a service's execution records for a key."""
    text = f"{key.organisation_id}\0{key.idempotency_key}"
    number = xxhash.xxh3_64_intdigest(text.encode()) % RECORD_SHARDS
    return f"record/{service_id}/{number}"


class ExecutorChoice:
    """Owners of record shards according to the newest host list."""

    def __init__(self) -> None:
        self._hosts: t.Mapping[str, host.Host] = {}
        self._rankings: dict[str, shard_ownership.Ranking] = {}

    def learn_hosts(self, hosts: t.Mapping[str, host.Host]) -> None:
        """Apply a newer host list."""
        live: dict[str, set[str]] = {}
        for item in hosts.values():
            if item.live:
                live.setdefault(item.service_id, set()).add(item.host_id)
        none = shard_ownership.Ranking(frozenset())
        self._rankings = {
            service_id: self._rankings.get(service_id, none).derive(
                frozenset(names)
            )
            for service_id, names in live.items()
        }
        self._hosts = hosts

    def owner_of(self, service_id: str, key: RecordKey) -> host.Host | None:
        """Return the only host that may execute the request, if any."""
        ranking = self._rankings.get(service_id)
        if ranking is None:
            return None
        owner = ranking.owner(record_shard(service_id, key))
        return self._hosts.get(owner)
