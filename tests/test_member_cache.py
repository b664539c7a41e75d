"""Tests that unchanged members of documents are not read again."""

import copy

from fakes import documents
import hypothesis
from hypothesis import strategies

from savorytally.world import configuration
from savorytally.world import document
from savorytally.world import document_parts
from savorytally.world import hosts
from savorytally.world import member_cache
from savorytally.world import publication

NAME = "configuration"


class Published:
    """Versions of a document in the form in which a node receives them."""

    def __init__(self, value):
        self.value = value
        self._publication = publication.empty(NAME)

    def gather(self):
        """Publish the next version and return it partly decoded."""
        version = self._publication.version + 1
        self.value["version"] = version
        self._publication = self._publication.replace(
            version, document_parts.divide(self.value)
        )
        return document_parts.join_partly_decoded(
            self._publication.bodies(), member_cache.KINDS
        )


def edit(value, step):
    """Change a document in one of several ways, some of them invalid."""
    action, number = step
    organisations = value["organisations"]
    if action == "rate":
        organisations[f"org{number}"]["rate_per_s"] = 10 + number
    elif action == "drop route":
        for route_id in sorted(value["routes"])[:1]:
            del value["routes"][route_id]
    elif action == "restore":
        fresh = documents.himali()
        value.update(
            {kind: fresh[kind] for kind in member_cache.KINDS & set(fresh)}
        )
    elif action == "clash":
        organisations["org1"]["names"]["legacy"] = f"ORG{number}"
    elif action == "scheme":
        value["schemes"] = ["mesh", "legacy", f"dotted{number % 2}"]
    elif action == "malformed":
        organisations["org2"]["burst"] = "many"


STEPS = strategies.tuples(
    strategies.sampled_from(
        ["rate", "drop route", "restore", "clash", "scheme", "malformed"]
    ),
    strategies.integers(2, 7),
)


class TestReader:
    @hypothesis.given(strategies.lists(STEPS, max_size=8))
    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    def test_result_equals_that_of_an_uncached_reader(self, steps):
        published = Published(documents.himali())
        reader = document.Reader()
        reader.read(published.gather())
        for step in steps:
            edit(published.value, step)
            again = reader.read(published.gather())
            assert again == document.read(copy.deepcopy(published.value))

    def test_unchanged_members_are_reused(self):
        published = Published(documents.himali())
        reader = document.Reader()
        first = reader.read(published.gather())
        published.value["organisations"]["org1"]["rate_per_s"] = 7
        second = reader.read(published.gather())
        assert isinstance(second, configuration.Configuration)
        assert second.organisations["org1"].contract.rate_per_s == 7
        assert second.organisations["org2"] is first.organisations["org2"]
        assert second.routes["pull"] is first.routes["pull"]
        assert second.route_names is first.route_names

    def test_undecodable_member_is_a_fault(self):
        published = Published(documents.himali())
        value = published.gather()
        value["routes"]["pull"] = b"{not json"
        read = document.Reader().read(value)
        assert isinstance(read, document.Refused)
        assert any(item.place == "/routes/pull" for item in read.faults)


class TestHostsReader:
    def test_changed_host_is_read_and_others_are_reused(self):
        listed = {
            f"h{number}": documents.host("browse", number, 1000 + number)
            for number in range(4)
        }
        published = Published({"hosts": listed})
        reader = hosts.Reader()
        first = reader.read(1, published.gather()["hosts"])
        listed["h1"]["state"] = "leaving"
        second = reader.read(2, published.gather()["hosts"])
        assert not second.hosts["h1"].live
        assert second.hosts["h2"] is first.hosts["h2"]
