"""The serving end of peer streams, which runs the calls of all senders.

Calls belong to their sender and not to a stream, so that they continue when
their stream is lost and the sender reconnects.
"""

import asyncio
import dataclasses
import ssl
import typing as t

from absl import logging

from .. import defaults
from .. import outcomes
from .. import ports
from .. import results
from ..decisions import call_resolution
from . import identity
from . import links
from . import messages
from . import session
from . import stream

EXPIRY_PERIOD_S = 1.0

_POLL_S = 0.01

_CODE_BY_STATE = {
    call_resolution.State.OUTCOME_DROPPED: results.ANSWER_LOST,
    call_resolution.State.NEVER_RUN: results.RESOLVED_NOT_RUN,
    call_resolution.State.FORGOTTEN: results.OUTCOME_UNKNOWN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Handlers:
    """Callbacks of a peer server.

    :param run: runs a call at the gate.
    :param shed_level: returns the shed level to send with a call's result.
    :param version: returns the configuration version to put into frames.
    :param inbox: receives control messages.
    :param now: returns the time of the node's clock in seconds.
    """

    run: t.Callable[[messages.Call], t.Awaitable[outcomes.Outcome]]
    shed_level: t.Callable[[messages.Call], int]
    version: t.Callable[[], int]
    inbox: links.Inbox
    now: t.Callable[[], float]


class PeerServer:
    """Accepts streams from other nodes and runs the calls on them.

    :param own: identity of this node.
    :param handlers: callbacks that handle the messages.
    :param limits: bounds on the retained state of calls.
    """

    def __init__(
        self,
        own: identity.Identity,
        handlers: Handlers,
        limits: call_resolution.Limits = call_resolution.DEFAULT_LIMITS,
    ) -> None:
        self.identity = own
        self._handlers = handlers
        self._served_calls = call_resolution.ServedCalls(limits)
        self._sessions: set[session.Session] = set()
        self._current_session: dict[
            call_resolution.Sender, session.Session
        ] = {}
        self._running_tasks: dict[
            call_resolution.Sender, dict[int, asyncio.Task[outcomes.Outcome]]
        ] = {}
        self._leaving = False
        self._leave_notice_ends_at = float("inf")
        self._listener: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def inbox(self) -> links.Inbox:
        """The receiver of control messages."""
        return self._handlers.inbox

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._listener.sockets[0].getsockname()[1]

    @property
    def outstanding(self) -> int:
        """Number of calls that are queued or running."""
        return sum(len(tasks) for tasks in self._running_tasks.values())

    @property
    def streams(self) -> int:
        """Number of open incoming streams."""
        return len(self._sessions)

    async def listen(
        self, address: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Listen for streams.

        :param tls: context for mutual TLS, ``None`` for plain TCP.
        :raises OSError: if the port is in use.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._accept, address, port, ssl=tls
        )
        self._expire_periodically()

    @property
    def all_goodbyes_received(self) -> bool:
        """Whether no peer sends further calls to this leaving host.

        True once all peers have replied to the goodbye, or at the latest
        ``DRAIN_NOTICE_S`` after it.
        """
        loop = asyncio.get_running_loop()
        if loop.time() >= self._leave_notice_ends_at:
            return True
        return all(item.goodbye_received for item in self._sessions)

    def leave(self) -> None:
        """Request all peers to send no more calls.

        Each replies with its own goodbye, which no call follows, so that no
        call is in transit once all have replied.
        """
        loop = asyncio.get_running_loop()
        self._leaving = True
        self._leave_notice_ends_at = loop.time() + defaults.DRAIN_NOTICE_S
        for item in self._current_session.values():
            item.send(messages.Goodbye(leaving=True))

    def reply(self, host_id: str, message: messages.Message) -> None:
        """Send a message on the incoming stream of a host, if there is one.

        This reaches hosts that are not yet in the host list.
        """
        for sender, item in self._current_session.items():
            if sender.host_id == host_id:
                item.send(message)

    async def stop(self) -> None:
        """Stop listening and close all streams once their queues are sent.

        Streams that are still open after ``DRAIN_NOTICE_S`` are aborted.
        """
        if self._timer is not None:
            self._timer.cancel()
        if self._listener is not None:
            self._listener.close()
        for item in list(self._sessions):
            item.close()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + defaults.DRAIN_NOTICE_S
        while self._sessions and loop.time() < deadline:
            await asyncio.sleep(_POLL_S)
        for item in list(self._sessions):
            item.abort()

    def opened(self, opened: session.Session) -> None:
        """Register a new stream.

        It is aborted if no hello arrives within ``HELLO_TIMEOUT_S``.
        """
        self._sessions.add(opened)
        loop = asyncio.get_running_loop()
        loop.call_later(
            defaults.HELLO_TIMEOUT_S, self._abort_without_hello, opened
        )

    def identified(self, current: session.Session) -> None:
        """Make a stream the sender's current one; abort the previous one."""
        previous = self._current_session.get(current.sender)
        self._current_session[current.sender] = current
        if previous is not None:
            previous.abort()

    def hello_sent(self, current: session.Session) -> None:
        """Send a goodbye to a peer that connects while the host leaves."""
        if self._leaving:
            current.send(messages.Goodbye(leaving=True))

    def closed(self, closed: session.Session) -> None:
        """Handle the end of a stream.

        The sender's calls are cancelled unless it reconnects within
        ``ORPHANED_CALL_TIMEOUT_S``, or at once if it had sent its goodbye.
        """
        self._sessions.discard(closed)
        sender = closed.sender
        if sender is None or self._current_session.get(sender) is not closed:
            return
        del self._current_session[sender]
        if closed.goodbye_received and not self._leaving:
            self._cancel_orphans(sender)
            return
        asyncio.get_running_loop().call_later(
            defaults.ORPHANED_CALL_TIMEOUT_S, self._cancel_orphans, sender
        )

    def start(self, source: session.Session, call: messages.Call) -> None:
        """Run a call unless it was received before.

        A call that has been settled, or that a query of its state has ruled
        out, fails.
        """
        sender = source.sender
        running = self._running_tasks.get(sender, {})
        if len(running) >= defaults.STREAM_CALLS_MAX:
            source.fail(call.call_id, results.SHED_AT_GATE)
            return
        now = self._handlers.now()
        arrival = self._served_calls.arrive(sender, call.call_id, now)
        if arrival is call_resolution.Arrival.NEVER_RUN:
            source.fail(call.call_id, results.RESOLVED_NOT_RUN)
        elif arrival is call_resolution.Arrival.FORGOTTEN:
            source.fail(call.call_id, results.OUTCOME_UNKNOWN)
        elif arrival is call_resolution.Arrival.RUN:
            task = asyncio.ensure_future(self._run(call))
            self._running_tasks.setdefault(sender, running)[call.call_id] = (
                task
            )
            task.add_done_callback(
                lambda done: self._call_finished(sender, call, done)
            )

    def cancel(self, sender: call_resolution.Sender, call_id: int) -> None:
        """Cancel a call; its failure is sent to the sender as usual."""
        task = self._running_tasks.get(sender, {}).get(call_id)
        if task is not None:
            task.cancel()

    def resolve(
        self, source: session.Session, query: messages.Resolve
    ) -> None:
        """Send the state of a call that was sent on a lost stream."""
        call_id = query.call_id
        if query.incarnation != self.identity.incarnation:
            source.fail(call_id, results.OUTCOME_UNKNOWN)
            return
        now = self._handlers.now()
        resolved = self._served_calls.resolve(source.sender, call_id, now)
        if resolved.state is call_resolution.State.RUNNING:
            source.send(messages.StillRunning(call_id))
        elif resolved.outcome is not None:
            source.answer(call_id, resolved.outcome, -1)
        else:
            source.fail(call_id, _CODE_BY_STATE[resolved.state])

    def settle(
        self, sender: call_resolution.Sender, before_call_id: int
    ) -> None:
        """Forget calls that their sender has settled.

        :param before_call_id: all calls with smaller identifiers are settled.
        """
        self._served_calls.settle(sender, before_call_id, self._handlers.now())

    def _accept(self) -> stream.Stream:
        return stream.Stream(session.Session(self), self._handlers.version)

    def _abort_without_hello(self, opened: session.Session) -> None:
        if opened.sender is None:
            opened.abort()

    async def _run(self, call: messages.Call) -> outcomes.Outcome:
        try:
            return await self._handlers.run(call)
        except ports.CallCancelled as withdrawn:
            return withdrawn.outcome
        except asyncio.CancelledError:
            return outcomes.Failure(results.OUTCOME_UNKNOWN, "cancelled")
        except Exception:
            logging.exception("call of route %s failed", call.route_id)
            return outcomes.Failure(results.OUTCOME_UNKNOWN, "internal")

    def _call_finished(
        self,
        sender: call_resolution.Sender,
        call: messages.Call,
        done: asyncio.Task[outcomes.Outcome],
    ) -> None:
        running = self._running_tasks[sender]
        del running[call.call_id]
        if not running:
            del self._running_tasks[sender]
        if done.cancelled():
            # The task was cancelled before it started to run.
            outcome = outcomes.Failure(
                results.CANCELLED_BEFORE_START, retries_unused=call.retries
            )
        else:
            outcome = done.result()
        now = self._handlers.now()
        self._served_calls.finish(sender, call.call_id, outcome, now)
        newest = self._current_session.get(sender)
        if newest is not None:
            newest.answer(call.call_id, outcome, self._level(call))

    def _level(self, call: messages.Call) -> int:
        try:
            return self._handlers.shed_level(call)
        except Exception:
            logging.exception("shed level of route %s failed", call.route_id)
            return -1

    def _cancel_orphans(self, sender: call_resolution.Sender) -> None:
        if sender in self._current_session:
            return
        for task in list(self._running_tasks.get(sender, {}).values()):
            task.cancel()

    def _expire_periodically(self) -> None:
        self._served_calls.expire(self._handlers.now())
        loop = asyncio.get_running_loop()
        # Callers close idle streams after STREAM_IDLE_S, so that a stream
        # without data for twice that time has lost its other end.
        oldest = loop.time() - 2 * defaults.STREAM_IDLE_S
        for item in list(self._sessions):
            if item.last_received_at < oldest:
                item.abort()
        self._timer = loop.call_later(
            EXPIRY_PERIOD_S, self._expire_periodically
        )
