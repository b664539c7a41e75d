"""Properties of dissemination under generated schedules of failures."""

import random

from fakes import fleet
from fakes import transport
import hypothesis
from hypothesis import strategies as st

PLACES = {("bagmati", "kirtipur"): 5, ("gandaki", "pokhara"): 4}
ACTIVATION_MAX_S = 3.0
LEAVING_S = 2.0
CONVERGENCE_S = 8.0

hosts = st.integers(0, sum(PLACES.values()) - 1)
network_conditions = st.builds(
    transport.NetworkConditions,
    delay_min_s=st.sampled_from([0.001, 0.15]),
    delay_max_s=st.sampled_from([0.15, 0.25]),
    loss_rate=st.sampled_from([0.0, 0.05, 0.1]),
    duplication_rate=st.sampled_from([0.0, 0.2]),
)
single_faults = st.tuples(
    st.floats(0.5, 2.0),
    st.sampled_from(
        ["publish", "restart", "restart stale", "pause", "cut", "heal"]
    ),
    hosts,
    st.floats(0.3, 3.0),
)
any_faults = st.tuples(
    st.floats(0.0, 1.0),
    st.sampled_from(
        ["publish", "faulty", "crash", "start", "freeze", "stale", "down"]
        + ["cut", "heal"]
    ),
    hosts,
    st.just(0.0),
)


def started_fleet(
    conditions: transport.NetworkConditions, seed: int = 1
) -> fleet.Fleet:
    """Return a fleet whose nodes all serve version 1."""
    made = fleet.Fleet(PLACES, seed)
    made.publish()
    made.start_all(1.5)
    made.transport.conditions = conditions
    return made


def regions_of(made: fleet.Fleet) -> tuple[list[str], list[str]]:
    """Return the hosts of the two regions."""
    kirtipur = [item for item in made.all_hosts if item.startswith("kirt")]
    return kirtipur, [item for item in made.all_hosts if item not in kirtipur]


def apply_action(
    made: fleet.Fleet, action: str, host_id: str, span_s: float
) -> None:
    """Apply one failure or change."""
    if action == "publish":
        made.publish()
    elif action == "faulty":
        made.publish(b"faulty")
    elif action.startswith("restart"):
        made.crash(host_id)
        made.store.stale[host_id] = int(action == "restart stale")
        made.transport.run(span_s)
        made.start(host_id)
    elif action == "pause":
        made.transport.pause(host_id)
        made.transport.run(span_s)
        made.transport.resume(host_id)
    elif action == "crash":
        made.crash(host_id)
    elif action == "start" and host_id not in made.members:
        made.start(host_id)
    elif action == "freeze":
        made.transport.pause(host_id)
    elif action == "stale":
        made.store.stale[host_id] = 1
    elif action == "down":
        made.store.down.add(host_id)
    elif action == "cut":
        made.transport.cut(*regions_of(made))
    elif action == "heal":
        made.transport.heal()


def downgrades(made: fleet.Fleet) -> list[str]:
    """Return activations that replaced a newer version on a host."""
    activations = []
    newest: dict[str, int] = {}
    for host_id, item in made.history:
        if item.name != fleet.CONFIGURATION:
            continue
        if item.version < newest.get(host_id, 0):
            activations.append(
                f"{host_id}: {newest[host_id]} -> {item.version}"
            )
        newest[host_id] = max(newest.get(host_id, 0), item.version)
    return activations


class TestVersions:
    @hypothesis.given(network_conditions, st.lists(single_faults, max_size=7))
    def test_never_decrease_even_across_restarts(self, conditions, schedule):
        made = started_fleet(conditions)
        names = list(made.all_hosts)
        for gap_s, action, number, span_s in schedule:
            made.transport.run(gap_s)
            apply_action(made, action, names[number], span_s)
        made.transport.run(4.0)
        assert downgrades(made) == []

    @hypothesis.given(network_conditions, st.lists(any_faults, max_size=12))
    def test_converge_after_all_failures_end(self, conditions, schedule):
        made = started_fleet(conditions)
        names = list(made.all_hosts)
        for gap_s, action, number, span_s in schedule:
            made.transport.run(gap_s)
            apply_action(made, action, names[number], span_s)
        made.transport.heal()
        made.store.down.clear()
        made.store.stale.clear()
        for host_id in names:
            made.transport.resume(host_id)
            if host_id not in made.members:
                made.start(host_id)
        version = made.publish()
        made.transport.run(CONVERGENCE_S)
        assert set(made.versions().values()) == {version}


class TestActivation:
    @hypothesis.given(
        network_conditions,
        st.integers(0, 1 << 16),
        st.booleans(),
        st.floats(0.0, 1.0),
    )
    @hypothesis.example(
        transport.NetworkConditions(delay_max_s=0.15), 62490, True, 1.0
    )
    def test_within_3_s_if_one_reader_of_each_region_can_read(
        self, conditions, seed, cut, phase_s
    ):
        made = started_fleet(conditions, seed)
        source = random.Random(seed)
        parts = regions_of(made)
        made.transport.run(phase_s)
        if cut:
            made.transport.cut(*parts)
        paused = source.choice(list(made.members))
        for part in parts:
            readers = [item for item in made.readers() if item in part]
            spared = source.choice([x for x in readers if x != paused])
            for host_id in readers:
                if host_id != spared and source.random() < 0.5:
                    made.crash(host_id)
                elif host_id != spared and source.random() < 0.5:
                    made.store.down.add(host_id)
        made.transport.pause(paused)
        version = made.publish()
        made.transport.run(ACTIVATION_MAX_S)
        late = [
            host_id
            for host_id, held in made.versions().items()
            if held < version and host_id != paused
        ]
        assert late == []


class TestLeaving:
    @hypothesis.given(
        network_conditions,
        st.integers(0, 1 << 16),
        hosts,
        st.integers(0, 2),
    )
    @hypothesis.example(
        transport.NetworkConditions(0.15, 0.15, loss_rate=0.05), 1223, 3, 2
    )
    def test_no_node_chooses_a_leaving_host_after_2_s(
        self, conditions, seed, number, crashes
    ):
        made = started_fleet(conditions, seed)
        names = list(made.all_hosts)
        leaving = names[number]
        others = [item for item in names if item != leaving]
        for host_id in random.Random(seed).sample(others, crashes):
            made.crash(host_id)
        member = made.members[leaving].membership
        made.send(leaving, member.leave(made.now))
        made.transport.run(LEAVING_S)
        choosing = [
            host_id
            for host_id, item in made.members.items()
            if item.membership.usable(leaving, made.now)
            or leaving in item.membership.working()
        ]
        assert choosing == []

    @hypothesis.given(network_conditions, st.integers(0, 1 << 16), hosts)
    def test_restarted_host_is_chosen_again(self, conditions, seed, number):
        made = started_fleet(conditions, seed)
        leaving = list(made.all_hosts)[number]
        member = made.members[leaving].membership
        made.send(leaving, member.leave(made.now))
        made.transport.run(1.0)
        made.crash(leaving)
        made.transport.run(0.5)
        made.start(leaving)
        made.transport.run(CONVERGENCE_S)
        refusing = [
            host_id
            for host_id, item in made.members.items()
            if not item.membership.usable(leaving, made.now)
        ]
        assert refusing == []
