"""Streams between this node and the nodes of other hosts."""

import asyncio
import functools
import random
import typing as t

from .. import results
from ..world import catalog
from . import frames
from . import gate
from . import store_sharing
from . import streams

LINK_IDLE_S = 30.0
# If the streams were not checked for this long, this host's event loop was
# blocked and missing frames are not the peers' fault.
LOOP_LATE_S = 0.2
# Number of connected nodes that are told of a newer configuration at once;
# they forward it.
ANNOUNCE_MAX = 4

_UNSENT = frames.Result(number=0, code=results.NOT_DISPATCHED.number)
# Result of a call that may have run.
UNKNOWN = frames.Result(
    number=0, code=results.OUTCOME_UNKNOWN.number, arrived=True
)


class Owner(t.Protocol):
    """Applies what peers send, and holds the configuration."""

    @property
    def version(self) -> int:
        """Version of the configuration in force."""

    @property
    def store_sharing(self) -> store_sharing.StoreSharing:
        """The hosts that this host follows, and the hosts that follow it."""

    def compressed_configuration(self) -> bytes:
        """Return the configuration in force, compressed."""

    def apply_compressed(self, compressed: bytes) -> None:
        """Apply a peer's compressed configuration if it is newer."""

    def newer_at(
        self, stream: t.Any, version: int, at_once: bool = False
    ) -> None:
        """Note that a peer has a newer configuration.

        :param at_once: whether to request it without a delay.
        """

    def version_reported(self, stream: t.Any, version: int) -> None:
        """Note the version of a peer's configuration, 0 for none."""

    def token_requested(
        self, number: int, organisation: str, urgency: int
    ) -> tuple[int, int, bool, int]:
        """Decide on another host's token request for a rate owned here."""

    def token_granted(self, fields: list[t.Any]) -> None:
        """Apply a rate owner's response to a token request."""

    def demand_reported(
        self, region: str, demand_per_s: dict[str, float]
    ) -> None:
        """Apply the demand that another region reports."""

    def host_leaving(self, address: str) -> None:
        """Note that the node of a host accepts no more calls."""

    def host_unresponsive(self, address: str) -> None:
        """Note that a host is unresponsive at present."""

    def upstream_advertised(
        self,
        instance_id: str,
        limit_per_s: float,
        share_per_s: float,
        leaving: bool,
    ) -> None:
        """Apply what another host's upstream advertises.

        :param limit_per_s: its rate limit, in requests per second.
        :param share_per_s: the part of the limit that one host may use.
        :param leaving: whether it is draining.
        """

    def upstream_crashed(self, fingerprints: list[int]) -> list[list[int]]:
        """Count a crash of another host's upstream.

        :param fingerprints: the requests that were running at the time.
        :return: the refused requests with their remaining milliseconds.
        """

    def crash_counted(self, number: int, refused: list[t.Any]) -> None:
        """Note that another host has counted a crash.

        :param number: number of the report.
        :param refused: the requests that it refuses.
        """

    def running_state(self) -> tuple[list[t.Any], list[t.Any]]:
        """Return what a host that has just started can't know.

        :return: the refused requests, and the hosts that may own rates
            although they are not listed.
        """

    def learn_running_state(
        self, refused: list[t.Any], unlisted: list[t.Any]
    ) -> None:
        """Apply another host's :meth:`running_state`."""

    def poison_request_state(self, state: int, fingerprint: int) -> None:
        """Apply the state of a request that may crash upstreams."""


class Peers:
    """Streams between this node and others.

    :param port: the peer port of all nodes.
    :param own_gate: the gate that calls from other nodes go to.
    :param owner: applies control frames.
    :param rand: random source.
    """

    def __init__(
        self, port: int, own_gate: gate.Gate, owner: Owner, rand: random.Random
    ) -> None:
        self._port = port
        self._random = rand
        self._gate = own_gate
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._links: dict[str, streams.Link] = {}
        self._accepted: dict[streams.Stream, dict[int, gate.Run]] = {}
        self._last_tick = self._loop.time()
        self._closed = False

    def call(
        self,
        instance: catalog.Instance,
        call: frames.Call,
        on_result: streams.OnResult,
        on_silent: streams.OnSilent,
    ) -> t.Callable[[], bool]:
        """Send a call to the gate of an upstream's host.

        :param on_result: called once with the result.
        :param on_silent: called if the host is silent and the call may run
            more than once.
        :return: a function that withdraws the call and returns whether it had
            not left this host.
        """
        if self._closed:
            self._loop.call_soon(on_result, _UNSENT)
            return lambda: True
        link = self._link(instance.address)
        if link.unreachable:
            # Reconnect in the background; the call can go to another host.
            link.open_stream()
            self._loop.call_soon(on_result, _UNSENT)
            return lambda: True
        number = link.call(call, on_result, on_silent)
        return functools.partial(link.cancel, number)

    def accept(self) -> streams.Stream:
        """Create the receiving end of a stream from another node."""
        stream = streams.Stream(self._received, self._stream_lost)
        self._accepted[stream] = {}
        return stream

    def announce(self, version: int) -> None:
        """Tell some connected nodes about a newer configuration."""
        streams_up = [*self._accepted, *self._links.values()]
        few = min(ANNOUNCE_MAX, len(streams_up))
        for stream in self._random.sample(streams_up, few):
            stream.send(frames.Kind.VERSION, version)

    def reaches(self, address: str) -> bool:
        """Return whether a stream to a host is up or being opened."""
        link = self._links.get(address)
        return link is not None and not link.unreachable and not link.ended

    def broadcast(self, kind: frames.Kind, *fields: t.Any) -> None:
        """Send a control frame to all connected nodes."""
        for link in self._links.values():
            link.send(kind, *fields)
        for stream in self._accepted:
            stream.send(kind, *fields)

    def send(self, address: str, kind: frames.Kind, *fields: t.Any) -> bool:
        """Send a control frame as soon as the stream is up.

        :return: False if connecting to the host failed a moment ago, or if too
            many frames wait for the stream.
        """
        link = self._link(address)
        link.last_used = self._loop.time()
        return link.send_opening(kind, *fields)

    def announce_leaving(self) -> None:
        """Tell all connected nodes to send their calls to other hosts."""
        for stream in self._accepted:
            stream.send(frames.Kind.LEAVING)

    def withdraw_all(self) -> None:
        """Withdraw all calls; results still state which have not run."""
        for link in self._links.values():
            link.withdraw_all()

    def tick(self, now: float) -> None:
        """Check the streams for silence and close unused ones."""
        late = now - self._last_tick > LOOP_LATE_S
        self._last_tick = now
        for address, link in list(self._links.items()):
            if late:
                link.restart_silence(now)
            elif link.tick(now):
                self._owner.host_unresponsive(address)
            if not link.outstanding and now - link.last_used > LINK_IDLE_S:
                link.close()
                del self._links[address]

    def close(self) -> None:
        """Close all streams; later calls fail as not sent."""
        self._closed = True
        for link in self._links.values():
            link.close()
        for stream in list(self._accepted):
            stream.close()

    def _link(self, address: str) -> streams.Link:
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = streams.Link(
                address, self._port, self._received, _UNSENT, UNKNOWN
            )
        return link

    def _stream_lost(self, stream: streams.Stream) -> None:
        for run in self._accepted.pop(stream, {}).values():
            self._gate.cancel(run)

    def _received(self, stream: streams.Stream, frame: list[t.Any]) -> None:
        handle = _HANDLERS.get(frame[0])
        if handle is None:
            raise frames.MalformedFrame(
                f"frame kind {frame[0]} is not expected here"
            )
        handle(self, stream, frame)

    def _on_call(self, stream: streams.Stream, frame: list[t.Any]) -> None:
        call = frames.Call(*frame[1:])
        runs = self._accepted[stream]

        def reply(result: frames.Result) -> None:
            runs.pop(call.number, None)
            if not stream.send(frames.Kind.RESULT, *result.encoded_fields):
                unknown = UNKNOWN._replace(number=call.number)
                stream.send(frames.Kind.RESULT, *unknown.encoded_fields)

        run = self._gate.run(call, reply, stream)
        if run.state is not gate.State.DONE:
            runs[call.number] = run

    def _on_cancel(self, stream: streams.Stream, frame: list[t.Any]) -> None:
        number = frame[1]
        run = self._accepted[stream].pop(number, None)
        if run is None:
            return
        before = run.state in (gate.State.WAITING, gate.State.CONNECTING)
        self._gate.cancel(run)
        if before:
            code = results.CANCELLED_BEFORE_START.number
            cancelled = frames.Result(number, code)
            stream.send(frames.Kind.RESULT, *cancelled.encoded_fields)

    def _on_ping(self, stream: streams.Stream, frame: list[t.Any]) -> None:
        stream.send(frames.Kind.PONG)

    def _on_pong(self, stream: streams.Stream, frame: list[t.Any]) -> None:
        """Do nothing: the stream has already noted the time of the frame."""

    def _on_version(self, stream: streams.Stream, frame: list[t.Any]) -> None:
        version = int(frame[1])
        if version == frames.ASK_STATE:
            stream.send(frames.Kind.STATE, *self._owner.running_state())
        if version >= 0:
            self._owner.version_reported(stream, version)
        if version > self._owner.version:
            self._owner.newer_at(stream, version)
        elif version < self._owner.version:
            stream.send(frames.Kind.VERSION, self._owner.version)

    def _on_pull(self, stream: streams.Stream, frame: list[t.Any]) -> None:
        compressed = self._owner.compressed_configuration()
        stream.send(frames.Kind.CONFIGURATION, compressed)

    def _on_configuration(
        self, stream: streams.Stream, frame: list[t.Any]
    ) -> None:
        self._owner.apply_compressed(frame[1])

    def _on_follow(self, stream: streams.Stream, frame: list[t.Any]) -> None:
        if not self._gate.leaving:
            self._owner.store_sharing.handle_follow(stream, int(frame[1]))

    def _on_fresh(self, stream: streams.Stream, frame: list[t.Any]) -> None:
        self._owner.store_sharing.handle_fresh(stream, *frame[1:])

    def _on_changes(self, stream: streams.Stream, frame: list[t.Any]) -> None:
        self._owner.store_sharing.handle_changes(stream, *frame[1:])

    def _on_token_request(
        self, stream: streams.Stream, frame: list[t.Any]
    ) -> None:
        number, organisation, urgency = frame[1:4]
        if self._gate.leaving:
            # Streams that were opened after the LEAVING frames were sent.
            stream.send(frames.Kind.LEAVING)
        answer = self._owner.token_requested(number, organisation, urgency)
        stream.send(frames.Kind.TOKEN_GRANT, *answer)

    def _on_token_grant(
        self, stream: streams.Stream, frame: list[t.Any]
    ) -> None:
        self._owner.token_granted(frame[1:])

    def _on_demand_report(
        self, stream: streams.Stream, frame: list[t.Any]
    ) -> None:
        self._owner.demand_reported(frame[1], frame[2])

    def _on_crashed(self, stream: streams.Stream, frame: list[t.Any]) -> None:
        # Reports of older builds have no number and get no reply.
        number, fingerprints = "", frame[1]
        if fingerprints and isinstance(fingerprints[0], str):
            number, *fingerprints = fingerprints
        refused = self._owner.upstream_crashed(fingerprints)
        if number:
            stream.send(frames.Kind.CRASH_COUNTED, int(number), refused)

    def _on_crash_counted(
        self, stream: streams.Stream, frame: list[t.Any]
    ) -> None:
        self._owner.crash_counted(frame[1], frame[2])

    def _on_state(self, stream: streams.Stream, frame: list[t.Any]) -> None:
        self._owner.learn_running_state(frame[1], frame[2])

    def _on_poison_request(
        self, stream: streams.Stream, frame: list[t.Any]
    ) -> None:
        self._owner.poison_request_state(frame[1], frame[2])

    def _on_wait_samples(
        self, stream: streams.Stream, frame: list[t.Any]
    ) -> None:
        self._owner.store_sharing.handle_samples(frame[1])

    def _on_mean_waits(
        self, stream: streams.Stream, frame: list[t.Any]
    ) -> None:
        self._owner.store_sharing.handle_mean_waits(frame[1])

    def _on_advertisement(
        self, stream: streams.Stream, frame: list[t.Any]
    ) -> None:
        self._owner.upstream_advertised(*frame[1:])

    def _on_leaving(self, stream: streams.Stream, frame: list[t.Any]) -> None:
        for address, link in self._links.items():
            if link.carries(stream):
                self._owner.host_leaving(address)
                return


_HANDLERS: dict[
    int, t.Callable[[Peers, streams.Stream, list[t.Any]], None]
] = {
    frames.Kind.CALL: Peers._on_call,
    frames.Kind.CANCEL: Peers._on_cancel,
    frames.Kind.PING: Peers._on_ping,
    frames.Kind.PONG: Peers._on_pong,
    frames.Kind.VERSION: Peers._on_version,
    frames.Kind.PULL: Peers._on_pull,
    frames.Kind.CONFIGURATION: Peers._on_configuration,
    frames.Kind.LEAVING: Peers._on_leaving,
    frames.Kind.FOLLOW: Peers._on_follow,
    frames.Kind.FRESH: Peers._on_fresh,
    frames.Kind.CHANGES: Peers._on_changes,
    frames.Kind.WAIT_SAMPLES: Peers._on_wait_samples,
    frames.Kind.MEAN_WAITS: Peers._on_mean_waits,
    frames.Kind.ADVERTISEMENT: Peers._on_advertisement,
    frames.Kind.TOKEN_REQUEST: Peers._on_token_request,
    frames.Kind.TOKEN_GRANT: Peers._on_token_grant,
    frames.Kind.DEMAND_REPORT: Peers._on_demand_report,
    frames.Kind.CRASHED: Peers._on_crashed,
    frames.Kind.CRASH_COUNTED: Peers._on_crash_counted,
    frames.Kind.STATE: Peers._on_state,
    frames.Kind.POISON_REQUEST: Peers._on_poison_request,
}
