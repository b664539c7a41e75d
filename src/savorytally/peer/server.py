"""The listening end of peer streams and the calls of all senders."""

import asyncio
import dataclasses
import ssl
import typing as t

from absl import logging

from .. import defaults
from .. import outcomes
from .. import ports
from .. import results
from ..decisions import resolution
from . import identity
from . import links
from . import messages
from . import session
from . import stream

EXPIRY_PERIOD_S = 1.0

_POLL_S = 0.01

_UNKNOWN = {
    resolution.State.OUTCOME_DROPPED: results.ANSWER_LOST,
    resolution.State.NEVER_RUN: results.RESOLVED_NOT_RUN,
    resolution.State.FORGOTTEN: results.OUTCOME_UNKNOWN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Handlers:
    """What a peer server hands its messages to.

    :param run: runs a call at the gate.
    :param level: returns the shed level to send with a call's result.
    :param version: returns the configuration version to stamp on frames.
    :param inbox: takes control messages.
    :param now: returns the time of the node's clock.
    """

    run: t.Callable[[messages.Call], t.Awaitable[outcomes.Outcome]]
    level: t.Callable[[messages.Call], int]
    version: t.Callable[[], int]
    inbox: links.Inbox
    now: t.Callable[[], float]


class PeerServer:
    """Accepts streams from other nodes and runs the calls on them.

    :param own: this node.
    :param handlers: what messages are handed to.
    :param limits: bounds on what is remembered of calls.
    """

    def __init__(
        self,
        own: identity.Identity,
        handlers: Handlers,
        limits: resolution.Limits = resolution.DEFAULT_LIMITS,
    ) -> None:
        self.identity = own
        self._handlers = handlers
        self._served = resolution.ServedCalls(limits)
        self._sessions: set[session.Session] = set()
        self._newest: dict[resolution.Sender, session.Session] = {}
        self._tasks: dict[
            resolution.Sender, dict[int, asyncio.Task[outcomes.Outcome]]
        ] = {}
        self._leaving = False
        self._notice_ends_at = float("inf")
        self._listener: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def inbox(self) -> links.Inbox:
        """Takes control messages."""
        return self._handlers.inbox

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._listener.sockets[0].getsockname()[1]

    @property
    def outstanding(self) -> int:
        """Calls that wait or run."""
        return sum(len(tasks) for tasks in self._tasks.values())

    @property
    def streams(self) -> int:
        """Open incoming streams."""
        return len(self._sessions)

    async def listen(
        self, address: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Listen for streams.

        :raises OSError: if the port is taken.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._accept, address, port, ssl=tls
        )
        self._expire()

    @property
    def dismissed(self) -> bool:
        """Whether no peer will send another call."""
        loop = asyncio.get_running_loop()
        if loop.time() >= self._notice_ends_at:
            return True
        return all(item.dismissed for item in self._sessions)

    def leave(self) -> None:
        """Ask all peers to send no more calls.

        Each answers with its own goodbye, after which no call of it can be
        on the way any more.
        """
        loop = asyncio.get_running_loop()
        self._leaving = True
        self._notice_ends_at = loop.time() + defaults.LEAVE_NOTICE_S
        for item in self._newest.values():
            item.send(messages.Goodbye(leaving=True))

    def reply(self, host_id: str, message: messages.Message) -> None:
        """Send a message on the incoming stream of a host, if there is one.

        It reaches hosts that the host list does not hold yet.
        """
        for sender, item in self._newest.items():
            if sender.host_id == host_id:
                item.send(message)

    async def stop(self) -> None:
        """Stop listening and close all streams after their last answers."""
        if self._timer is not None:
            self._timer.cancel()
        if self._listener is not None:
            self._listener.close()
        for item in list(self._sessions):
            item.close()
        loop = asyncio.get_running_loop()
        end = loop.time() + defaults.LEAVE_NOTICE_S
        while self._sessions and loop.time() < end:
            await asyncio.sleep(_POLL_S)
        for item in list(self._sessions):
            item.abort()

    def opened(self, opened: session.Session) -> None:
        """Note a stream; it is closed if no introduction follows."""
        self._sessions.add(opened)
        loop = asyncio.get_running_loop()
        loop.call_later(defaults.HELLO_TIMEOUT_S, self._close_unknown, opened)

    def greeted(self, greeted: session.Session) -> None:
        """Note who is at the other end; its earlier stream ends."""
        former = self._newest.get(greeted.sender)
        self._newest[greeted.sender] = greeted
        if former is not None:
            former.abort()

    def introduced(self, greeted: session.Session) -> None:
        """Dismiss a peer that comes while the host is leaving."""
        if self._leaving:
            greeted.send(messages.Goodbye(leaving=True))

    def closed(self, closed: session.Session) -> None:
        """Forget a stream; its sender may come back on another one."""
        self._sessions.discard(closed)
        sender = closed.sender
        if sender is None or self._newest.get(sender) is not closed:
            return
        del self._newest[sender]
        if closed.dismissed and not self._leaving:
            self._cancel_orphans(sender)
            return
        asyncio.get_running_loop().call_later(
            defaults.ORPHAN_TIMEOUT_S, self._cancel_orphans, sender
        )

    def start(self, source: session.Session, call: messages.Call) -> None:
        """Run a call unless it is known already."""
        sender = source.sender
        running = self._tasks.get(sender, {})
        if len(running) >= defaults.STREAM_CALLS_MAX:
            source.fail(call.call_id, results.SHED_AT_GATE)
            return
        now = self._handlers.now()
        arrival = self._served.arrive(sender, call.call_id, now)
        if arrival is resolution.Arrival.WITHDRAWN:
            source.fail(call.call_id, results.RESOLVED_NOT_RUN)
        elif arrival is resolution.Arrival.FORGOTTEN:
            source.fail(call.call_id, results.OUTCOME_UNKNOWN)
        elif arrival is resolution.Arrival.RUN:
            task = asyncio.ensure_future(self._run(call))
            self._tasks.setdefault(sender, running)[call.call_id] = task
            task.add_done_callback(
                lambda done: self._finished(sender, call, done)
            )

    def cancel(self, sender: resolution.Sender, call_id: int) -> None:
        """Withdraw a call; its failure is sent as any other."""
        task = self._tasks.get(sender, {}).get(call_id)
        if task is not None:
            task.cancel()

    def resolve(
        self, source: session.Session, question: messages.Resolve
    ) -> None:
        """Tell what became of a call that was sent on a lost stream."""
        call_id = question.call_id
        if question.incarnation != self.identity.incarnation:
            source.fail(call_id, results.OUTCOME_UNKNOWN)
            return
        now = self._handlers.now()
        found = self._served.resolve(source.sender, call_id, now)
        if found.state is resolution.State.RUNNING:
            source.send(messages.StillRunning(call_id))
        elif found.outcome is not None:
            source.answer(call_id, found.outcome, -1)
        else:
            source.fail(call_id, _UNKNOWN[found.state])

    def settle(self, sender: resolution.Sender, below: int) -> None:
        """Forget calls that their caller will not ask about any more."""
        self._served.settle(sender, below, self._handlers.now())

    def _accept(self) -> stream.Stream:
        return stream.Stream(session.Session(self), self._handlers.version)

    def _close_unknown(self, opened: session.Session) -> None:
        if opened.sender is None:
            opened.abort()

    async def _run(self, call: messages.Call) -> outcomes.Outcome:
        try:
            return await self._handlers.run(call)
        except ports.Withdrawn as withdrawn:
            return withdrawn.outcome
        except asyncio.CancelledError:
            return outcomes.Failure(results.OUTCOME_UNKNOWN, "cancelled")
        except Exception:
            logging.exception("call of route %s failed", call.route_id)
            return outcomes.Failure(results.OUTCOME_UNKNOWN, "internal")

    def _finished(
        self,
        sender: resolution.Sender,
        call: messages.Call,
        done: asyncio.Task[outcomes.Outcome],
    ) -> None:
        running = self._tasks[sender]
        del running[call.call_id]
        if not running:
            del self._tasks[sender]
        if done.cancelled():
            # Cancelled before its first step, so it did nothing.
            outcome = outcomes.Failure(
                results.CANCELLED_BEFORE_START, retries_unused=call.retries
            )
        else:
            outcome = done.result()
        now = self._handlers.now()
        self._served.finish(sender, call.call_id, outcome, now)
        newest = self._newest.get(sender)
        if newest is not None:
            newest.answer(call.call_id, outcome, self._level(call))

    def _level(self, call: messages.Call) -> int:
        try:
            return self._handlers.level(call)
        except Exception:
            logging.exception("shed level of route %s", call.route_id)
            return -1

    def _cancel_orphans(self, sender: resolution.Sender) -> None:
        if sender in self._newest:
            return
        for task in list(self._tasks.get(sender, {}).values()):
            task.cancel()

    def _expire(self) -> None:
        self._served.expire(self._handlers.now())
        loop = asyncio.get_running_loop()
        # Callers close idle streams; one that is silent for longer is dead.
        oldest = loop.time() - 2 * defaults.STREAM_IDLE_S
        for item in list(self._sessions):
            if item.heard_at < oldest:
                item.abort()
        self._timer = loop.call_later(EXPIRY_PERIOD_S, self._expire)
