"""What one node spends in each of its roles."""

from . import costs
from . import deployments

PROCESSOR = costs.Resource.PROCESSOR
MEMORY = costs.Resource.MEMORY
TRAFFIC = costs.Resource.TRAFFIC
MESSAGES = costs.Resource.MESSAGES

HEARTBEATS_PER_S = 2.0
BUSY_STREAM_PART = 1.0


@costs.roles.register("1 entry, gate and egress")
def calls(size: deployments.Deployment) -> costs.RoleCost:
    """Return the cost of running calls, which is not control."""
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
                MEMORY, "outstanding call memory", size.running, "calls"
            ),
            costs.Term(MESSAGES, "", 2 * rate, "calls and answers/s"),
        ),
    )


@costs.roles.register("2 peer")
def peer(size: deployments.Deployment) -> costs.RoleCost:
    """Return the cost of peer streams and their heartbeats."""
    beats = size.streams * HEARTBEATS_PER_S * BUSY_STREAM_PART
    return costs.RoleCost(
        role="peer",
        control=True,
        state="a stream for each pair of nodes in use",
        mechanism="heartbeats while calls are outstanding",
        breaks="streams, when every host of many services is called",
        terms=(
            costs.Term(MESSAGES, "", 2 * beats, "heartbeats, replies/s"),
            costs.Term(TRAFFIC, "heartbeat size", beats, "heartbeats/s"),
            costs.Term(PROCESSOR, "heartbeat coding", beats, "heartbeats/s"),
            costs.Term(
                MEMORY, "peer stream memory", size.streams / 2, "streams"
            ),
        ),
    )
