"""Owner side of the rate quota: buckets, shard handover and share loans."""

import dataclasses
import math
import typing as t

from ..peer import messages
from ..peer import quota_messages
from ..world import configuration
from ..world import host
from ..world import organisation
from . import bucket
from . import quota
from . import shard_ownership

SHARDS_PER_REGION = 4
CLAIM_PERIOD_S = 0.3
CLAIM_MAX_S = 5.0
SHARE_PERIOD_S = 1.0
SHARE_MIN = 0.001
BUCKET_PERIOD_S = 0.5
NO_CONTRACT = organisation.Contract(frozenset(), 0.0, 0.0)

Key = tuple[str, int]
Send = t.Callable[[str, messages.Message, float], None]


@dataclasses.dataclass(slots=True)
class _Claim:
    """A claim for a shard that the previous owner has not answered yet."""

    nonce: int
    first_at: float
    requested_at: float


@dataclasses.dataclass(slots=True)
class _ShareRequest:
    """The latest request for a share of another region's contract."""

    sequence: int
    region_id: str
    requested_at: float


def region_share(
    version: configuration.Configuration, region_id: str
) -> float:
    """Return the fraction of every contract that is assigned to a region.

    It is proportional to the region's number of data centres.
    """
    regions = version.regions
    total = sum(len(item.data_centres) for item in regions.values())
    own = regions.get(region_id)
    return len(own.data_centres) / total if own and total else 0.0


class Lender:
    """Lends the tokens of the shards that this node owns.

    :param context: what this node provides to the policy.
    :param sequences: sequence numbers for requests, unique in this node.
    :param send: sends a message to a host.
    """

    handles = (
        quota_messages.TokenRequest,
        quota_messages.ShareRequest,
        quota_messages.ShareGrant,
        quota_messages.ShardClaim,
        quota_messages.ShardRelease,
    )

    def __init__(
        self,
        context: quota.QuotaContext,
        sequences: t.Iterator[int],
        send: Send,
    ) -> None:
        self._context = context
        self._sequences = sequences
        self._send = send
        self._ownership = shard_ownership.Ownership(
            context.host_id,
            lambda item: item.place.region_id == context.region_id,
            context.list_age,
            context.list_confirmations,
            context.fresh,
        )
        self._contracts: dict[str, organisation.Contract] = {}
        self._regions: tuple[str, ...] = ()
        self._rankings: dict[str, shard_ownership.Ranking] = {}
        self._share = quota.ShardShare(shard_ownership.TAKEOVER_WAIT_S)
        self._buckets: dict[Key, bucket.Bucket] = {}
        self._claims: dict[Key, _Claim] = {}
        self._sent_releases: dict[Key, quota_messages.ShardRelease] = {}
        self._share_requests: dict[Key, _ShareRequest] = {}
        self._maintained_at = -math.inf
        self._handlers: dict[type, t.Callable[..., None]] = {
            quota_messages.TokenRequest: self._handle_borrow,
            quota_messages.ShareRequest: self._handle_borrow_share,
            quota_messages.ShareGrant: self._handle_lend_share,
            quota_messages.ShardClaim: self._handle_claim,
            quota_messages.ShardRelease: self._handle_release,
        }

    def owner(self, organisation_id: str, index: int) -> str:
        """Return the owner of a shard in this region, empty if unknown."""
        return self._ownership.owner(self._shard(organisation_id, index))

    def stored(self, organisation_id: str, now: float) -> float:
        """Return the number of tokens that this node may lend."""
        return sum(
            item.stored
            for key, item in self._buckets.items()
            if key[0] == organisation_id
            and self._ownership.acts(self._shard(*key), now)
        )

    def learn_configuration(
        self, version: configuration.Configuration, now: float
    ) -> None:
        """Apply the rates and bursts of a new configuration."""
        self._contracts = {
            identifier: item.contract
            for identifier, item in version.organisations.items()
        }
        self._regions = tuple(sorted(version.regions))
        share = region_share(version, self._context.region_id)
        self._share.learn(share / SHARDS_PER_REGION, now)
        self._update_contracts(now)

    def learn_hosts(self, hosts: host.HostList, now: float) -> None:
        """Apply a newer host list."""
        self._ownership.learn_hosts(hosts, now)
        self._claims.clear()
        live: dict[str, set[str]] = {}
        for item in hosts.hosts.values():
            if item.live:
                region_id = item.place.region_id
                live.setdefault(region_id, set()).add(item.host_id)
        none = shard_ownership.Ranking(frozenset())
        self._rankings = {
            region_id: self._rankings.get(region_id, none).derive(
                frozenset(names)
            )
            for region_id, names in live.items()
        }

    def receive(
        self, sender: str, message: messages.Message, now: float
    ) -> None:
        """Process one message."""
        self._handlers[type(message)](sender, message, now)

    def tick(self, now: float) -> None:
        """Run the tasks that are due."""
        self._ownership.tick(now)
        if self._share.tick(now):
            self._update_contracts(now)
        if now - self._maintained_at >= BUCKET_PERIOD_S:
            self._maintained_at = now
            self._maintain_buckets(now)

    def _update_contracts(self, now: float) -> None:
        """Apply the current contracts and share to every bucket."""
        for key, item in self._buckets.items():
            contract = self._contracts.get(key[0], NO_CONTRACT)
            item.learn_contract(contract, self._share.value, now)

    def _shard(self, organisation_id: str, index: int) -> str:
        """Return the name of a shard in this region."""
        region_id = self._context.region_id
        return f"quota/{region_id}/{organisation_id}/{index}"

    def _bucket(self, key: Key, now: float) -> bucket.Bucket | None:
        """Return the bucket of a shard if this node acts as its owner."""
        shard = self._shard(*key)
        contract = self._contracts.get(key[0])
        valid = contract is not None and 0 <= key[1] < SHARDS_PER_REGION
        if not valid or not self._ownership.acts(shard, now):
            return None
        item = self._buckets.get(key)
        if item is None:
            item = bucket.Bucket(now)
            item.learn_contract(contract, self._share.value, now)
            item.fill(self._ownership.acting_since(shard), now)
            self._buckets[key] = item
        return item

    def _handle_borrow(
        self, sender: str, request: quota_messages.TokenRequest, now: float
    ) -> None:
        """Reply to a node's token request."""
        key = (request.organisation_id, request.index)
        item = self._bucket(key, now)
        if item is None:
            self._claim_shard(key, now)
            refusal = quota_messages.NotOwner(*key, request.sequence)
            self._send(sender, refusal, now)
            return
        grant = item.lend(
            (sender, request.incarnation),
            request.sequence,
            (request.held, request.returned),
            request.wanted,
            request.refused,
            now,
        )
        if grant is None:
            return
        reply = quota_messages.TokenGrant(
            *key, request.sequence, grant.kept, grant.tokens, grant.wait_ms
        )
        self._send(sender, reply, now)

    def _claim_shard(self, key: Key, now: float) -> None:
        """Claim a shard from its previous owners."""
        shard = self._shard(*key)
        if self._ownership.owner(shard) != self._context.host_id:
            return
        claim = self._claims.get(key)
        if claim is not None and now - claim.requested_at < CLAIM_PERIOD_S:
            return
        if claim is None or now - claim.first_at > CLAIM_MAX_S:
            nonce = self._context.random.getrandbits(63)
            claim = _Claim(nonce, now, now)
            self._claims[key] = claim
        claim.requested_at = now
        for host_id in self._ownership.predecessors(shard):
            self._send(
                host_id, quota_messages.ShardClaim(*key, claim.nonce), now
            )

    def _handle_claim(
        self, sender: str, claim: quota_messages.ShardClaim, now: float
    ) -> None:
        """Hand a shard over to its new owner.

        The reply is kept, because it is sent again if the claim is repeated.
        """
        key = (claim.organisation_id, claim.index)
        sent = self._sent_releases.get(key)
        if sent is not None and sent.nonce == claim.nonce:
            self._send(sender, sent, now)
            return
        contract = self._contracts.get(key[0])
        if contract is None:
            return
        since = self._ownership.release(self._shard(*key), sender, now)
        if since is None:
            return
        item = self._buckets.pop(key, None)
        if item is None:
            item = bucket.Bucket(now)
            item.learn_contract(contract, self._share.value, now)
            item.fill(since, now)
        item.settle(now)
        reply = quota_messages.ShardRelease(
            *key,
            claim.nonce,
            item.stored,
            item.outstanding,
            item.share_lent(now),
        )
        self._sent_releases[key] = reply
        self._send(sender, reply, now)

    def _handle_release(
        self, sender: str, released: quota_messages.ShardRelease, now: float
    ) -> None:
        """Take a shard over from its previous owner."""
        key = (released.organisation_id, released.index)
        claim = self._claims.get(key)
        contract = self._contracts.get(key[0])
        if claim is None or claim.nonce != released.nonce or not contract:
            return
        if now - claim.first_at > CLAIM_MAX_S:
            return
        if not self._ownership.accept(self._shard(*key), now):
            return
        del self._claims[key]
        item = bucket.Bucket(now)
        item.learn_contract(contract, self._share.value, now)
        item.inherit(released.stored, released.lent, released.share_lent, now)
        self._buckets[key] = item

    def _handle_borrow_share(
        self, sender: str, request: quota_messages.ShareRequest, now: float
    ) -> None:
        """Reply to a share request from another region."""
        if request.region_id != self._context.region_id:
            return
        item = self._bucket((request.organisation_id, request.index), now)
        if item is None:
            return
        share = item.lend_share(
            (sender, request.incarnation), request.sequence, request.share, now
        )
        if share is None:
            return
        reply = quota_messages.ShareGrant(
            request.organisation_id,
            request.index,
            request.region_id,
            request.sequence,
            share,
        )
        self._send(sender, reply, now)

    def _handle_lend_share(
        self, sender: str, lent: quota_messages.ShareGrant, now: float
    ) -> None:
        """Apply the share that another region lent."""
        key = (lent.organisation_id, lent.index)
        request = self._share_requests.get(key)
        if request is None or request.sequence != lent.sequence:
            return
        del self._share_requests[key]
        item = self._bucket(key, now)
        if item is not None:
            until = request.requested_at + bucket.SHARE_USE_S
            item.set_borrowed_share(request.region_id, lent.share, until, now)

    def _maintain_buckets(self, now: float) -> None:
        """Refill buckets, request shares and drop unused state."""
        for key, item in list(self._buckets.items()):
            shard = self._shard(*key)
            if self._ownership.acts(shard, now):
                item.settle(now)
                self._request_share(key, item, now)
                if item.idle:
                    del self._buckets[key]
            elif not self._ownership.holds(shard):
                del self._buckets[key]
        self._sent_releases = {
            key: reply
            for key, reply in self._sent_releases.items()
            if self._ownership.released(self._shard(*key))
        }

    def _request_share(
        self, key: Key, item: bucket.Bucket, now: float
    ) -> None:
        """Request a share from another region if this one runs short."""
        request = self._share_requests.get(key)
        if request and now - request.requested_at < SHARE_PERIOD_S:
            return
        wanted = item.share_wanted(now)
        others = [
            name for name in self._regions if name != self._context.region_id
        ]
        if not others or wanted < SHARE_MIN:
            return
        region_id = item.next_lending_region(others, now)
        missing = wanted - sum(item.share_from(name) for name in others)
        share = max(item.share_from(region_id) + missing, 0.0)
        ranking = self._rankings.get(region_id)
        shard = f"quota/{region_id}/{key[0]}/{key[1]}"
        if ranking is None or share < SHARE_MIN:
            return
        sequence = next(self._sequences)
        self._share_requests[key] = _ShareRequest(sequence, region_id, now)
        message = quota_messages.ShareRequest(
            key[0],
            key[1],
            region_id,
            self._context.incarnation,
            sequence,
            share,
        )
        self._send(ranking.owner(shard), message, now)
