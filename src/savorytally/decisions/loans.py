"""Fleet-wide rate limits by token loans on two levels.

The owner of a shard lends batches of rate tokens, which expire, to the nodes
of its region. Owners of the same shard in different regions lend each other
shares of the organisation's contract. See ``docs/design/rates.md``.
"""

import itertools
import typing as t

import xxhash

from ..peer import messages
from ..peer import quota_messages
from ..world import configuration
from ..world import host
from ..world import organisation
from . import lender
from . import participant
from . import quota
from . import token_balance
from . import usage

UNKNOWN_WAIT_MS = 60_000


@quota.policies.register("loans")
class LoanQuota:
    """Admits requests with tokens borrowed from the owners of shards.

    :param context: what this node provides to the policy.
    """

    handles = (
        *lender.Lender.handles,
        quota_messages.TokenGrant,
        quota_messages.NotOwner,
    )

    def __init__(self, context: quota.QuotaContext) -> None:
        self._context = context
        self._sequences = itertools.count(1)
        self._lender = lender.Lender(context, self._sequences, self._send)
        self._contracts: dict[str, organisation.Contract] = {}
        self._accounts: dict[str, token_balance.TokenBalance] = {}
        self._totals: dict[str, tuple[int, int]] = {}
        self._to_poll: set[str] = set()
        self._outbox: list[participant.Outgoing] = []

    def usage(self, now: float) -> list[usage.Usage]:
        """Return the usage of each organisation with requests to this node."""
        names = sorted(set(self._totals) | set(self._accounts))
        return [self._usage(name) for name in names]

    def unspent(self, organisation_id: str, now: float) -> float:
        """Return the number of tokens that this node may spend or lend."""
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

        :param final: whether the request cannot wait for a token any longer.
        """
        item = self._accounts.get(organisation_id)
        if item is None:
            item = self._open(organisation_id, now)
            if item is None:
                return quota.OverRate(UNKNOWN_WAIT_MS)
        taken = item.take(now)
        if item.low:
            self._schedule_poll(organisation_id)
        if taken:
            return quota.TAKEN
        if not final and item.pending(now):
            return quota.Pending(token_balance.PENDING_WAIT_MS)
        return quota.OverRate(item.refuse(now))

    def poll(self, now: float) -> list[participant.Outgoing]:
        """Request tokens for the organisations that are running low."""
        names, self._to_poll = self._to_poll, set()
        for name in sorted(names & self._accounts.keys()):
            self._send_requests(name, self._accounts[name].poll(now), now)
        return self._flush()

    def receive(
        self, sender: str, message: messages.Message, now: float
    ) -> list[participant.Outgoing]:
        """Process one message and return the messages to send."""
        self._handle(sender, message, now)
        return self._flush()

    def tick(self, now: float) -> list[participant.Outgoing]:
        """Return requests for tokens and shares that are due."""
        self._lender.tick(now)
        for name, item in list(self._accounts.items()):
            self._send_requests(name, item.tick(now), now)
            if item.idle:
                self._close(name)
        return self._flush()

    def _schedule_poll(self, organisation_id: str) -> None:
        """Schedule a :meth:`poll` for an organisation that is running low."""
        if not self._to_poll:
            self._context.wake()
        self._to_poll.add(organisation_id)

    def _send_requests(
        self,
        organisation_id: str,
        requests: t.Iterable[tuple[int, quota_messages.TokenRequest]],
        now: float,
    ) -> None:
        """Send token requests to the owners of their shards."""
        for index, request in list(requests):
            owner = self._lender.owner(organisation_id, index)
            self._send(owner, request, now)

    def _open(
        self, organisation_id: str, now: float
    ) -> token_balance.TokenBalance | None:
        """Start to borrow for an organisation, ``None`` if it is unknown."""
        contract = self._contracts.get(organisation_id)
        if contract is None:
            return None
        name = f"{self._context.host_id}\0{organisation_id}"
        item = token_balance.TokenBalance(
            organisation_id,
            lender.SHARDS_PER_REGION,
            xxhash.xxh3_64_intdigest(name.encode()) % lender.SHARDS_PER_REGION,
            self._context.incarnation,
            self._sequences,
            now,
        )
        item.learn_contract(contract)
        self._accounts[organisation_id] = item
        return item

    def _close(self, organisation_id: str) -> None:
        """Stop borrowing for an organisation and keep its totals."""
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
        """Queue a message; one to this host is handled at once."""
        if host_id == self._context.host_id:
            self._handle(host_id, message, now)
        elif host_id:
            self._outbox.append(participant.Outgoing(host_id, message))

    def _handle(
        self, sender: str, message: messages.Message, now: float
    ) -> None:
        """Dispatch a message to its handler."""
        if isinstance(message, quota_messages.TokenGrant):
            self._handle_lend(sender, message, now)
        elif isinstance(message, quota_messages.NotOwner):
            self._handle_not_owner(sender, message, now)
        else:
            self._lender.receive(sender, message, now)

    def _flush(self) -> list[participant.Outgoing]:
        """Return and clear the queued messages."""
        outgoing, self._outbox = self._outbox, []
        return outgoing

    def _handle_lend(
        self, sender: str, lent: quota_messages.TokenGrant, now: float
    ) -> None:
        item = self._accounts.get(lent.organisation_id)
        if item is not None:
            item.granted(lent, now)

    def _handle_not_owner(
        self, sender: str, refusal: quota_messages.NotOwner, now: float
    ) -> None:
        item = self._accounts.get(refusal.organisation_id)
        if item is not None:
            item.not_owner(refusal, now)
