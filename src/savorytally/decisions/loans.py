"""Quota by expiring loans on two levels.

The owner of a shard lends tokens to the entries of its place, and owners of
the same shard in different places lend shares of the contract to each other;
see ``docs/design/rates.md``.
"""

import itertools
import typing as t

import xxhash

from ..peer import loans
from ..peer import messages
from ..world import configuration
from ..world import host
from ..world import organisation
from . import account
from . import lender
from . import participant
from . import quota
from . import usage

UNKNOWN_WAIT_MS = 60_000


@quota.policies.register("loans")
class LoanQuota:
    """Admits requests with tokens that owners of shards lend.

    :param site: this node and what it knows of its peers.
    """

    handles = (*lender.Lender.handles, loans.Lend, loans.NotOwner)

    def __init__(self, site: quota.Site) -> None:
        self._site = site
        self._sequences = itertools.count(1)
        self._lender = lender.Lender(site, self._sequences, self._send)
        self._contracts: dict[str, organisation.Contract] = {}
        self._accounts: dict[str, account.Account] = {}
        self._totals: dict[str, tuple[int, int]] = {}
        self._urgent: set[str] = set()
        self._outbox: list[participant.Outgoing] = []

    def usage(self, now: float) -> list[usage.Usage]:
        """Return the use of each organisation that sent requests here."""
        names = sorted(set(self._totals) | set(self._accounts))
        return [self._usage(name) for name in names]

    def unspent(self, organisation_id: str, now: float) -> float:
        """Return the tokens that this node stores and may spend or lend."""
        item = self._accounts.get(organisation_id)
        held = item.unspent(now) if item else 0.0
        return held + self._lender.stored(organisation_id, now)

    def learn_configuration(
        self, version: configuration.Configuration, now: float
    ) -> None:
        """Apply the rates and bursts of a new configuration."""
        self._contracts = {
            identifier: item.contract
            for identifier, item in version.organisations.items()
        }
        for name, item in list(self._accounts.items()):
            if name in self._contracts:
                item.learn_contract(self._contracts[name])
            else:
                self._close(name)
        self._lender.learn_configuration(version, now)

    def learn_hosts(self, hosts: host.HostList, now: float) -> None:
        """Apply a newer host list."""
        self._lender.learn_hosts(hosts, now)

    def take(
        self, organisation_id: str, now: float, final: bool = False
    ) -> quota.Taken | quota.Pending | quota.OverRate:
        """Take one token for a request that arrives now.

        :param final: whether the request can't wait any longer.
        """
        item = self._accounts.get(organisation_id)
        if item is None:
            item = self._open(organisation_id, now)
            if item is None:
                return quota.OverRate(UNKNOWN_WAIT_MS)
        taken = item.take(now)
        if item.low:
            self._urge(organisation_id)
        if taken:
            return quota.TAKEN
        if not final and item.pending(now):
            return quota.Pending(account.PENDING_WAIT_MS)
        return quota.OverRate(item.refuse(now))

    def poll(self, now: float) -> list[participant.Outgoing]:
        """Ask for tokens for the accounts that have run low."""
        urgent, self._urgent = self._urgent, set()
        for name in sorted(urgent & self._accounts.keys()):
            self._request(name, self._accounts[name].poll(now), now)
        return self._flush()

    def receive(
        self, sender: str, message: messages.Message, now: float
    ) -> list[participant.Outgoing]:
        """Take in one message and return what to send."""
        self._take_in(sender, message, now)
        return self._flush()

    def tick(self, now: float) -> list[participant.Outgoing]:
        """Ask for tokens and shares that will be needed."""
        self._lender.tick(now)
        for name, item in list(self._accounts.items()):
            self._request(name, item.tick(now), now)
            if item.idle:
                self._close(name)
        return self._flush()

    def _urge(self, organisation_id: str) -> None:
        if not self._urgent:
            self._site.wake()
        self._urgent.add(organisation_id)

    def _request(
        self,
        organisation_id: str,
        requests: t.Iterable[tuple[int, loans.Borrow]],
        now: float,
    ) -> None:
        for index, request in list(requests):
            owner = self._lender.owner(organisation_id, index)
            self._send(owner, request, now)

    def _open(
        self, organisation_id: str, now: float
    ) -> account.Account | None:
        contract = self._contracts.get(organisation_id)
        if contract is None:
            return None
        name = f"{self._site.host_id}\0{organisation_id}"
        item = account.Account(
            organisation_id,
            lender.SHARDS_PER_PLACE,
            xxhash.xxh3_64_intdigest(name.encode()) % lender.SHARDS_PER_PLACE,
            self._site.incarnation,
            self._sequences,
            now,
        )
        item.learn_contract(contract)
        self._accounts[organisation_id] = item
        return item

    def _close(self, organisation_id: str) -> None:
        used = self._usage(organisation_id)
        del self._accounts[organisation_id]
        self._totals[organisation_id] = (used.admitted, used.refused)

    def _usage(self, organisation_id: str) -> "usage.Usage":
        admitted, refused = self._totals.get(organisation_id, (0, 0))
        item = self._accounts.get(organisation_id)
        return usage.Usage(
            organisation_id=organisation_id,
            admitted=admitted + (item.admitted if item else 0),
            refused=refused + (item.refused if item else 0),
            tokens=item.tokens if item else 0.0,
        )

    def _send(
        self, host_id: str, message: messages.Message, now: float
    ) -> None:
        if host_id == self._site.host_id:
            self._take_in(host_id, message, now)
        elif host_id:
            self._outbox.append(participant.Outgoing(host_id, message))

    def _take_in(
        self, sender: str, message: messages.Message, now: float
    ) -> None:
        if isinstance(message, loans.Lend):
            self._lend(sender, message, now)
        elif isinstance(message, loans.NotOwner):
            self._not_owner(sender, message, now)
        else:
            self._lender.receive(sender, message, now)

    def _flush(self) -> list[participant.Outgoing]:
        outgoing, self._outbox = self._outbox, []
        return outgoing

    def _lend(self, sender: str, lent: loans.Lend, now: float) -> None:
        item = self._accounts.get(lent.organisation_id)
        if item is not None:
            item.lent(lent, now)

    def _not_owner(
        self, sender: str, refusal: loans.NotOwner, now: float
    ) -> None:
        item = self._accounts.get(refusal.organisation_id)
        if item is not None:
            item.not_owner(refusal, now)
