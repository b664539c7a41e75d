"""Rejections by all upstreams of a service alike, and by one of them."""

import random

import pytest

from savorytally.decisions import placement
from savorytally.world import catalog

REGIONS = {"low-a": "low", "low-b": "low", "up-a": "up", "mid-a": "mid"}
OBJECTIVE_S = 0.5
# Period for which all upstreams reject, and the rejected fraction.
REJECTION_S = 8.5
REJECTED = 0.55
SEEDS = range(5)


def make(seed, per_place):
    """Return a placement that knows upstreams in three regions."""
    known = placement.Placement("low-a", REGIONS, random.Random(seed))
    known.learn_instances(
        {
            f"{place}-{number}": catalog.Instance(
                f"{place}-{number}",
                "ledger",
                "10.1.0.1",
                8547,
                place,
                8,
                True,
                0.0,
            )
            for place in REGIONS
            for number in range(per_place)
        },
        0.0,
    )
    return known


def play(known, seed, rate_per_s, rejected, for_s=REJECTION_S):
    """Send requests and return how many each upstream got.

    :param rejected: the rejected fraction by upstream.
    """
    source = random.Random(seed + 100)
    chosen = {}
    now = 1.0
    while now < 1.0 + for_s:
        now += source.expovariate(rate_per_s)
        tried = []
        for _ in range(2):
            found = known.choose("ledger", "r", tried, OBJECTIVE_S, now)
            name = found.instance_id
            chosen[name] = chosen.get(name, 0) + 1
            known.record_load(name, "r", 0.02, 1, 8, now)
            good = source.random() >= rejected(name)
            known.record_outcome(name, good, now)
            if good:
                break
            tried.append(name)
    return chosen


def far_share(chosen):
    """Return the fraction of requests that left the region."""
    far = sum(
        count
        for name, count in chosen.items()
        if REGIONS[name.rpartition("-")[0]] != "low"
    )
    return far / sum(chosen.values())


class TestFailuresOfAll:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("per_place", [1, 2, 10])
    @pytest.mark.parametrize("rate_per_s", [5, 30, 200])
    def test_calls_stay_in_the_region_while_all_reject(
        self, rate_per_s, per_place, seed
    ):
        """Rejections everywhere moved calls to links billed by volume."""
        quiet = play(make(seed, per_place), seed, rate_per_s, lambda name: 0)
        rejecting = play(
            make(seed, per_place), seed, rate_per_s, lambda name: REJECTED
        )
        assert far_share(rejecting) <= far_share(quiet) + 0.01

    @pytest.mark.parametrize("seed", SEEDS)
    def test_calls_stay_in_the_data_centre_while_all_reject(self, seed):
        def local_share(chosen):
            local = sum(chosen[name] for name in chosen if "low-a" in name)
            return local / sum(chosen.values())

        quiet = play(make(seed, 10), seed, 30, lambda name: 0)
        rejecting = play(make(seed, 10), seed, 30, lambda name: REJECTED)
        assert local_share(rejecting) >= local_share(quiet) - 0.01


def test_failing_upstream_whose_entry_names_another_service_is_usable():
    """The outcomes of the new service were looked up and did not exist."""
    known = make(0, 1)
    for _ in range(5):
        known.record_outcome("low-a-0", False, 1.0)
    entry = catalog.Instance(
        "low-a-0", "desk", "10.1.0.1", 8547, "low-a", 8, True, 0.0
    )
    known.learn_instances({"low-a-0": entry}, 1.0)
    found = known.choose("desk", "r", (), OBJECTIVE_S, 1.1)
    assert found.instance_id == "low-a-0"


class TestFailuresOfSome:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("rate_per_s", [30, 200])
    def test_upstream_that_fails_alone_gets_hardly_anything(
        self, rate_per_s, seed
    ):
        chosen = play(
            make(seed, 3), seed, rate_per_s, lambda name: name == "low-a-0"
        )
        assert chosen.get("low-a-0", 0) <= 0.05 * sum(chosen.values())

    @pytest.mark.parametrize("seed", SEEDS)
    def test_only_upstream_of_a_region_that_fails_is_left(self, seed):
        """Only the far upstreams' outcomes show that it fails alone."""
        known = make(seed, 1)
        known.learn_evacuated(frozenset(("low-b",)))
        chosen = play(known, seed, 30, lambda name: name == "low-a-0")
        assert chosen["low-a-0"] <= 0.1 * sum(chosen.values())

    @pytest.mark.parametrize("seed", SEEDS)
    def test_region_whose_upstreams_all_fail_is_left(self, seed):
        chosen = play(
            make(seed, 3),
            seed,
            30,
            lambda name: float(name.startswith("low")),
        )
        assert far_share(chosen) >= 0.5
