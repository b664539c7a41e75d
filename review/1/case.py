"""A request that crashes endpoints runs again beside a restarted node.

One request crashes every endpoint that runs it, and comes again at any
machine. Once it has crashed three, the nodes refuse it. Then one node process
is killed and started again, while the endpoint beside it runs on.
"""

import asyncio
import signal
import time

import standins

ZONES = {"kirtipur": "bagmati", "pokhara": "gandaki"}
PLACES = [
    standins.Place("127.0.41.1", "kirtipur", "species"),
    standins.Place("127.0.41.2", "pokhara", "species"),
    standins.Place("127.0.41.3", "kirtipur", "ranges"),
    standins.Place("127.0.41.4", "pokhara", "ranges"),
    standins.Place("127.0.41.5", "kirtipur", "ranges"),
]
POISON = "/species/poison"
TOUCH_S = 3.0
# How long the request comes again, and how often.
AGAIN_S = 1.2
BEFORE_S = 22.0
# How long the killed process is down.
DOWN_S = 1.0
AFTER_S = 40.0
# Retries that the rule allows.
ALLOWED = 3


class Case:
    """Sends the crashing request and the usual ones.

    :param record: writes what happened.
    """

    def __init__(self, record: standins.Record) -> None:
        self.record = record
        self.deployment = standins.Deployment(record, PLACES, ZONES)
        self.sent = 0
        self.stopping = False
        self.usual: dict[str, int] = {}

    async def send(self, number: int, path: str) -> str:
        """Send a request at a node; return the answer's status."""
        self.sent += 1
        name = f"{path.rpartition('/')[2]}-{self.sent}"
        node = self.deployment.nodes[number % len(PLACES)]
        headers = {
            "X-Savorytally-Attempt-Id": name,
            "X-Savorytally-Deadline-Ms": "3000",
        }
        found = await standins.ask(node.entry, "GET", path, headers, b"", 4.0)
        status = standins.status_of(found)
        self.record("answer", id=name, at=node.place.host, status=status)
        return status

    async def send_usual(self) -> None:
        """Send usual requests at the machines that are left alone."""
        while not self.stopping:
            status = await self.send(
                2 + self.sent % 3, f"/species/usual/u{self.sent}"
            )
            self.usual[status] = self.usual.get(status, 0) + 1
            await asyncio.sleep(0.05)

    async def send_poison(self, ends: float) -> None:
        """Let the crashing request come again, at any ready machine."""
        number = 0
        while time.monotonic() < ends:
            await self.send(2 + number % 3, POISON)
            number += 1
            await asyncio.sleep(AGAIN_S)

    async def play(self) -> bool:
        """Play the case; return whether the rule was broken."""
        routes = {"r-species": standins.route("species", "/species/", "safe")}
        config = standins.configuration(routes, ["species", "ranges"])
        await self.deployment.start(
            config, species={"poison": "poison", "work_s": 0.3}
        )
        await asyncio.sleep(standins.START_S / 3)
        usual = [asyncio.ensure_future(self.send_usual()) for _ in range(8)]
        await self.send_poison(time.monotonic() + BEFORE_S)
        first = self.crashes()
        self.record("before_restart", crashes=len(first))
        restarted = self.deployment.nodes[0]
        if standins.TROUBLE:
            restarted.signal(signal.SIGKILL)
            await restarted.wait()
            await asyncio.sleep(DOWN_S)
            restarted.start(first=False)
            await restarted.until_ready()
        in_touch_at = time.monotonic() + TOUCH_S
        await asyncio.sleep(TOUCH_S)
        await self.send_poison(time.monotonic() + AFTER_S)
        self.stopping = True
        await asyncio.gather(*usual)
        crashes = self.crashes()
        late = []
        if len(crashes) >= ALLOWED:
            counted_from = max(in_touch_at, crashes[2] + TOUCH_S)
            late = [at for at in crashes if at > counted_from]
        self.record("usual", **dict(sorted(self.usual.items())))
        self.record("result", crashes=len(crashes), retries_counted=len(late))
        return len(late) > ALLOWED

    def crashes(self) -> list[float]:
        """Return when the crashing request reached an endpoint."""
        return sorted(
            at for item in self.deployment.endpoints for at in item.crashes
        )


async def play(record: standins.Record) -> bool:
    """Play the case and end all processes."""
    case = Case(record)
    try:
        return await case.play()
    finally:
        case.stopping = True
        case.deployment.end()


if __name__ == "__main__":
    standins.run(play, __file__)
