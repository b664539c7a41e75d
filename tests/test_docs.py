"""Tests that the documentation lists what the code defines."""

import dataclasses
import json
import pathlib
import re

from fakes import documents
import pytest

from savorytally import cli
from savorytally import files
from savorytally import node  # noqa: F401, registers the policies
from savorytally import settings
from savorytally.commands import base
from savorytally.commands import config
from savorytally.decisions import admission
from savorytally.decisions import quota
from savorytally.decisions import routing
from savorytally.world import host
from savorytally.world import hosts

ROOT = pathlib.Path(__file__).parent.parent
DOCS = ROOT / "docs"
PAGES = sorted(ROOT.glob("*.md")) + sorted(DOCS.rglob("*.md"))

# Fields whose names in the settings file differ from those in the code.
_FILE_NAMES = {"service_id": "service", "place": "region"}


def settings_fields():
    """Return the fields of a settings file by their names in the file."""
    groups = {
        "ports": settings.Ports,
        "admin": settings.Admin,
        "peer_tls": settings.Tls,
        "policies": settings.Policies,
    }
    found = {"data_centre", "entry_tls.certificate", "entry_tls.key"}
    for field in dataclasses.fields(settings.Settings):
        name = _FILE_NAMES.get(field.name, field.name)
        if name in groups:
            below = dataclasses.fields(groups[name])
            found |= {f"{name}.{item.name}" for item in below}
        elif name != "entry_tls":
            found.add(name)
    return found


class TestConfigurationPage:
    def test_lists_exactly_the_settings(self):
        text = (DOCS / "configuration.md").read_text()
        section = text.split("## Settings")[1].split("\n## ")[0]
        listed = set(re.findall(r"^\| `([\w.]+)` \|", section, re.MULTILINE))
        assert listed == settings_fields()

    @pytest.mark.parametrize(
        ("kind", "known"),
        [
            ("admission", admission.policies),
            ("routing", routing.policies),
            ("quota", quota.policies),
        ],
    )
    def test_lists_policies_with_the_default(self, kind, known):
        default = getattr(settings.Policies(), kind)
        names = ", ".join(known.names())
        row = f"| `policies.{kind}` | {names} | {default} |"
        assert row in (DOCS / "configuration.md").read_text()

    def test_names_every_field_of_a_document(self):
        text = (DOCS / "configuration.md").read_text()
        example = files.load(ROOT / "examples/configuration.jsonc").value
        fields = set(example)
        for document in (example, documents.himali()):
            for kind in ("organisations", "services", "routes", "links"):
                for member in document[kind].values():
                    fields |= set(member)
        fields -= {"retries"}
        assert [name for name in fields if f"`{name}`" not in text] == []


class TestCommandPage:
    def test_lists_exactly_the_commands(self):
        text = (DOCS / "cli.md").read_text()
        listed = re.findall(r"^\| `(\w+(?: [a-z]+)?)", text, re.MULTILINE)
        names = set(base.commands.names()) - {"config"}
        names |= {f"config {name}" for name in config.actions.names()}
        assert set(listed) == names

    def test_lists_exactly_the_exit_codes(self):
        text = (DOCS / "cli.md").read_text()
        for code, meaning in base.EXIT_MEANINGS.items():
            assert f"| {code} | {meaning} |" in text

    def test_commands_in_pages_exist(self):
        parser = cli.build_parser()
        pattern = re.compile(r"savorytally (config \w+|\w+)")
        known = set(base.commands.names())
        known |= {f"config {name}" for name in config.actions.names()}
        assert parser.prog == "savorytally"
        for page in PAGES:
            for block in re.findall(r"^ {4,}.*$", page.read_text(), re.M):
                for name in pattern.findall(block):
                    assert name in known, page


class TestPages:
    @pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
    def test_links_lead_somewhere(self, page):
        for target in re.findall(r"\]\(([^)#]+)", page.read_text()):
            if not target.startswith("http"):
                assert (page.parent / target).exists(), target

    def test_example_of_a_host_list_is_accepted(self):
        value = json.loads((ROOT / "examples/hosts.json").read_text())
        assert isinstance(hosts.read(1, value), host.HostList)
