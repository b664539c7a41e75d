"""The cost of each role of a node."""

from savorytally import defaults

from . import costs
from . import deployments

PROCESSOR = costs.Resource.PROCESSOR
MEMORY = costs.Resource.MEMORY
TRAFFIC = costs.Resource.TRAFFIC
MESSAGES = costs.Resource.MESSAGES

HEARTBEATS_PER_S = 1 / defaults.HEARTBEAT_PERIOD_S
HEARTBEAT_STREAM_FRACTION = 0.02
NON_IDEMPOTENT_FRACTION = 0.01
BASE_ORGANISATIONS = 8


@costs.roles.register("1 entry, gate and egress")
def calls(size: deployments.Deployment) -> costs.RoleCost:
    """Return the cost of running calls, which is not control work."""
    rate = size.calls_per_node
    return costs.RoleCost(
        role="entry, gate, egress",
        control=False,
        state="calls in progress",
        mechanism="decisions without I/O around one stream a pair",
        breaks="one core, when calls cost more than the rate allows",
        terms=(
            costs.Term(PROCESSOR, "call decisions", rate, "calls/s"),
            costs.Term(PROCESSOR, "peer hop base", rate, "calls/s"),
            costs.Term(
                MEMORY,
                "outstanding call memory",
                size.calls_in_progress,
                "calls",
            ),
            costs.Term(MESSAGES, "", 2 * rate, "calls and answers/s"),
        ),
    )


@costs.roles.register("2 peer")
def peer(size: deployments.Deployment) -> costs.RoleCost:
    """Return the cost of peer streams and their heartbeats."""
    quiet = size.streams * HEARTBEATS_PER_S * HEARTBEAT_STREAM_FRACTION
    return costs.RoleCost(
        role="peer",
        control=True,
        state="a stream for each pair of nodes in use",
        mechanism="heartbeats only while an answer is due and none arrives",
        breaks="traffic, when calls are few and slow on many streams",
        terms=(
            costs.Term(MESSAGES, "", 2 * quiet, "heartbeats, replies/s"),
            costs.Term(TRAFFIC, "heartbeat size", quiet, "heartbeats/s"),
            costs.Term(PROCESSOR, "heartbeat coding", quiet, "heartbeats/s"),
            costs.Term(
                MEMORY, "peer stream memory", size.streams / 2, "streams"
            ),
        ),
    )


@costs.roles.register("3 configuration holder")
def holder(size: deployments.Deployment) -> costs.RoleCost:
    """Return the cost of holding and updating publications."""
    changes = size.changes_per_s
    organisations = size.organisations
    return costs.RoleCost(
        role="configuration holder",
        control=True,
        state="the whole configuration and host list",
        mechanism="members that did not change are taken over",
        breaks="memory: each node holds all members and hosts",
        terms=(
            costs.Term(
                PROCESSOR,
                "configuration change",
                changes * size.members,
                "changes/s x members",
            ),
            costs.Term(
                PROCESSOR,
                "host change",
                size.host_changes_per_s * size.hosts,
                "moves/s x hosts",
            ),
            costs.Term(
                PROCESSOR,
                "routing update",
                size.host_changes_per_s * size.hosts,
                "moves/s x hosts",
            ),
            costs.Term(
                MEMORY,
                "organisation memory",
                organisations,
                "organisations",
            ),
            costs.Term(MEMORY, "service memory", size.services, "services"),
            costs.Term(MEMORY, "host list memory", size.hosts, "hosts"),
            costs.Term(MEMORY, "routing memory", size.hosts, "hosts"),
        ),
    )


@costs.roles.register("4 reader and relay")
def relay(size: deployments.Deployment) -> costs.RoleCost:
    """Return the mean cost of dissemination in a data centre."""
    nodes = size.hosts_per_data_centre
    return costs.RoleCost(
        role="reader, relay",
        control=True,
        state="numbered sections; neighbours in the trees",
        mechanism="three readers a place, a tree each, digests as repair",
        breaks="the busiest node, at about twice the mean",
        terms=(
            costs.Term(MESSAGES, "spread messages", 0, "does not grow", True),
            costs.Term(
                TRAFFIC, "spread traffic", nodes, "nodes of a place", True
            ),
            costs.Term(
                PROCESSOR, "spread processor", nodes, "nodes of a place", True
            ),
            costs.Term(MEMORY, "host section memory", size.hosts, "hosts"),
            costs.Term(
                MEMORY, "member section memory", size.members, "members"
            ),
        ),
    )


@costs.roles.register("5 borrower, shard owner and lender")
def quota(size: deployments.Deployment) -> costs.RoleCost:
    """Return the mean cost of fleet-wide rates in a data centre."""
    return costs.RoleCost(
        role="borrower, shard owner, lender",
        control=True,
        state="an account for each active organisation, owned buckets",
        mechanism="expiring loans from owners; places lend to each other",
        breaks="traffic, with many active organisations a node",
        terms=(
            *_quota_terms(MESSAGES, "quota messages", size),
            *_quota_terms(TRAFFIC, "quota traffic", size),
            *_quota_terms(PROCESSOR, "quota processor", size),
        ),
    )


def _quota_terms(
    resource: costs.Resource, name: str, size: deployments.Deployment
) -> tuple[costs.Term, costs.Term]:
    """Return the terms for requests and for additional organisations."""
    further = size.organisations_active - BASE_ORGANISATIONS
    return (
        costs.Term(
            resource,
            f"{name} by requests",
            size.roots_per_node,
            "root requests/s",
            True,
        ),
        costs.Term(
            resource,
            f"{name} by organisations",
            max(further, 0),
            "active organisations above 8",
        ),
    )


@costs.roles.register("6 execution record")
def records(size: deployments.Deployment) -> costs.RoleCost:
    """Return the cost of retained execution records."""
    kept = (
        size.calls_per_node
        * NON_IDEMPOTENT_FRACTION
        * defaults.RECORD_RETENTION_S
    )
    return costs.RoleCost(
        role="execution record",
        control=False,
        state="a record for each non-idempotent call of ten minutes",
        mechanism="shards of keys, owned like those of rates",
        breaks="memory, with many non-idempotent calls",
        terms=(
            costs.Term(MEMORY, "execution record memory", kept, "records"),
        ),
    )


@costs.roles.register("7 admin")
def admin(size: deployments.Deployment) -> costs.RoleCost:
    """Return the cost of the administration API, which is none at rest."""
    return costs.RoleCost(
        role="admin",
        control=True,
        state="counters by code, organisation and class",
        mechanism="answers requests on loopback, sends nothing by itself",
        breaks="nothing; a dry run of a large document is refused",
        terms=(),
    )
