"""Configurations that a starting host may use before it has asked others."""

import random

import pytest

from savorytally.decisions import startup_check

NEAR = [f"10.1.0.{number}" for number in range(1, 9)]
FAR = [f"10.2.0.{number}" for number in range(1, 9)]


def asking(held=4, near=NEAR, far=FAR):
    """Return a check that has asked at 0 s, and the hosts asked."""
    check = startup_check.StartupCheck(random.Random(1))
    if held:
        check.hold(b"held", held)
    return check, check.choose_hosts(near, far, 0.0)


class TestStartupCheck:
    def test_hosts_of_one_region_only_are_asked(self):
        check, hosts = asking()
        assert len(set(hosts) & set(NEAR)) == startup_check.NEAR_ASKED
        assert len(set(hosts) & set(FAR)) == startup_check.FAR_ASKED
        assert check.choose_hosts(NEAR, FAR, 0.1) == []

    def test_configuration_is_used_before_hosts_have_replied(self):
        check, hosts = asking()
        assert not check.finished(0, 0.1)
        check.replied(hosts[0], 4)
        assert not check.finished(0, 0.1)
        check.replied(hosts[1], 3)
        assert check.finished(0, 0.1)

    def test_only_host_waits_for_others(self):
        check, _ = asking(near=[], far=[])
        assert check.finished(0, 0.0)

    def test_check_ends_before_the_hosts_are_known(self):
        check = startup_check.StartupCheck(random.Random(1))
        check.hold(b"held", 4)
        assert not check.finished(0, 9.0)

    def test_hosts_that_started_too_are_waited_for(self):
        check, hosts = asking()
        for host in hosts:
            check.replied(host, 0)
        assert check.finished(0, 0.1)

    def test_unresponsive_hosts_are_waited_for_longer(self):
        check, _ = asking()
        assert not check.finished(0, startup_check.REPLY_TIMEOUT_S - 0.01)
        assert check.finished(0, startup_check.REPLY_TIMEOUT_S)

    def test_newer_version_of_a_host_is_not_waited_for(self):
        check, hosts = asking()
        for host in hosts:
            check.replied(host, 4)
        check.replied(hosts[2], 7)
        assert not check.finished(0, startup_check.REPLY_TIMEOUT_S)
        assert check.finished(7, startup_check.REPLY_TIMEOUT_S)
        assert check.finished(0, startup_check.NEWER_TIMEOUT_S)

    @pytest.mark.parametrize("version", [3, 9])
    def test_older_configuration_of_the_store_is_kept(self, version):
        check, _ = asking(held=4)
        check.hold(b"other", version)
        assert check.held == (b"other" if version > 4 else b"held")

    def test_reply_of_a_host_that_was_not_asked_counts(self):
        check, hosts = asking()
        for number in range(5):
            check.replied(f"10.9.0.{number}", 4)
        assert not check.finished(0, 0.1)
