"""Tests of the command line's output, exit codes and imports."""

import json
import pathlib
import socket
import subprocess
import sys

from fakes import documents
import pytest

from savorytally import __version__
from savorytally import cli
from savorytally.commands import base

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
SETTINGS = {
    "host_id": "browse-0",
    "service": "browse",
    "region": "bagmati",
    "data_centre": "kirtipur",
    "address": "127.0.0.1",
    "upstream_url": "http://127.0.0.1:9000",
    "platform_url": "http://127.0.0.1:9100",
}
CONFIGURATION = str(EXAMPLES / "configuration.jsonc")


@pytest.fixture
def write(tmp_path):
    """Return a function that writes a value to a JSON file."""

    def writer(name, value):
        path = tmp_path / name
        path.write_text(json.dumps(value))
        return str(path)

    return writer


class TestConfig:
    def test_example_is_accepted(self, capsys):
        assert cli.main(["config", "check", CONFIGURATION]) == base.EXIT_OK
        out = capsys.readouterr().out
        text = "version 1, 2 organisations, 3 services, 4 routes"
        assert out == f"{CONFIGURATION}: {text}\n"

    def test_every_fault_is_a_line_with_code_file_and_place(
        self, capsys, write
    ):
        value = documents.himali()
        value["routes"]["pull"]["service"] = "nowhere"
        value["schemes"] = 3
        path = write("bad.json", value)
        assert cli.main(["config", "check", path]) == base.EXIT_FAULT
        lines = capsys.readouterr().err.splitlines()
        assert f"9002 {path}: /schemes: must be an array" in lines
        assert f"9002 {path}: /routes/pull/service: names no service" in lines

    def test_one_unreadable_file_fails_the_command(self, capsys, tmp_path):
        absent = str(tmp_path / "absent.json")
        given = ["config", "check", CONFIGURATION, absent]
        assert cli.main(given) == base.EXIT_FAULT
        text = f"9002 {absent}: /: No such file or directory\n"
        assert capsys.readouterr().err == text

    def test_show_prints_plain_json(self, capsys):
        assert cli.main(["config", "show", CONFIGURATION]) == base.EXIT_OK
        assert json.loads(capsys.readouterr().out)["version"] == 1

    def test_patch_prints_the_next_document(self, capsys):
        patch = str(EXAMPLES / "patch.jsonc")
        given = ["config", "patch", CONFIGURATION, patch]
        assert cli.main(given) == base.EXIT_OK
        value = json.loads(capsys.readouterr().out)
        assert value["version"] == 2
        assert value["organisations"]["guides"]["rate_per_s"] == 300

    @pytest.mark.parametrize(
        ("patch", "line"),
        [
            (
                {"against": 9, "operations": []},
                "9003 {patch}: /against: is 9, but the document is 1",
            ),
            (
                {"against": 1, "operations": [{"op": "sing"}]},
                "9004 {patch}: /operations/0: is no operation of RFC 6902",
            ),
            (
                {
                    "against": 1,
                    "operations": [{"op": "remove", "path": "/schemes"}],
                },
                "9002 {document}: /schemes: is missing",
            ),
        ],
    )
    def test_refused_patches_name_their_file(self, capsys, write, patch, line):
        path = write("patch.json", patch)
        given = ["config", "patch", CONFIGURATION, path]
        assert cli.main(given) == base.EXIT_FAULT
        expected = line.format(patch=path, document=CONFIGURATION)
        assert capsys.readouterr().err.startswith(expected)

    def test_diff_leads_from_old_to_new(self, capsys, write):
        new = documents.himali(2)
        new["routes"]["pull"]["timeout_ms"] = 900
        old_path = write("old.json", documents.himali(1))
        given = ["config", "diff", old_path, write("new.json", new)]
        assert cli.main(given) == base.EXIT_OK
        patch = write("patch.json", json.loads(capsys.readouterr().out))
        assert cli.main(["config", "patch", old_path, patch]) == base.EXIT_OK
        assert json.loads(capsys.readouterr().out) == new

    def test_split_writes_only_what_changed(self, capsys, tmp_path, write):
        first, second = tmp_path / "first", tmp_path / "second"
        old = write("old.json", documents.himali(1))
        new = documents.himali(2)
        new["routes"]["pull"]["timeout_ms"] = 900
        given = ["config", "split", old, "--output", str(first)]
        assert cli.main(given) == base.EXIT_OK
        head = str(first / "configuration.json")
        given = ["config", "split", write("new.json", new)]
        given += ["--previous", head, "--output", str(second)]
        assert cli.main(given) == base.EXIT_OK
        written = sorted(
            str(path.relative_to(second)) for path in second.rglob("*.json")
        )
        assert written == ["configuration.json", "configuration/routes/0.json"]


class TestNode:
    def test_settings_faults_are_listed(self, capsys, write):
        path = write("settings.json", {"host_id": "", "colour": 1})
        assert cli.main(["node", "--settings", path]) == base.EXIT_FAULT
        lines = capsys.readouterr().err.splitlines()
        assert f"9001 {path}: /service: is missing" in lines
        assert f"9001 {path}: /colour: is unknown" in lines

    def test_an_unregistered_policy_is_a_fault(self, capsys, write):
        value = {**SETTINGS, "policies": {"quota": "generous"}}
        path = write("settings.json", value)
        assert cli.main(["node", "--settings", path]) == base.EXIT_FAULT
        line = f"9001 {path}: /policies/quota: must be one of "
        assert capsys.readouterr().err.startswith(line)

    def test_a_taken_port_has_its_exit_code(self, write, free_port):
        with socket.create_server(("127.0.0.1", 0)) as taken:
            names = ("entry", "peer", "egress", "admin")
            ports = {name: free_port() for name in names}
            ports["entry"] = taken.getsockname()[1]
            path = write("settings.json", {**SETTINGS, "ports": ports})
            process = subprocess.run(
                [sys.executable, "-m", "savorytally", "node"]
                + ["--settings", path],
                capture_output=True,
                text=True,
            )
        assert process.returncode == base.EXIT_PORT
        assert "savorytally: can't serve: " in process.stderr


class TestStatus:
    def test_a_node_that_is_not_running_is_unreachable(
        self, capsys, free_port
    ):
        url = f"http://127.0.0.1:{free_port()}"
        given = ["status", "--url", url]
        assert cli.main(given) == base.EXIT_UNREACHABLE
        assert url in capsys.readouterr().err


class TestUsage:
    def test_help_names_commands_and_exit_codes(self, capsys):
        with pytest.raises(SystemExit):
            cli.main(["--help"])
        out = capsys.readouterr().out
        for name in base.commands.names():
            assert f"    {name} " in out
        for code, text in base.EXIT_MEANINGS.items():
            assert f"  {code}  {text}" in out

    def test_a_wrong_command_line_has_its_exit_code(self, capsys):
        with pytest.raises(SystemExit) as error:
            cli.main(["config", "sing"])
        assert error.value.code == base.EXIT_USAGE

    @pytest.mark.parametrize(
        "given", [["version"], ["config", "check", CONFIGURATION]]
    )
    def test_small_commands_load_no_server(self, given):
        code = (
            "import sys\n"
            "from savorytally import cli\n"
            f"cli.main({given!r})\n"
            "heavy = {'aiohttp', 'uvloop', 'asyncio', 'opentelemetry'}\n"
            "sys.exit(str(heavy & set(sys.modules)))\n"
        )
        process = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True
        )
        assert process.stderr == "set()\n"
        assert __version__ in process.stdout or "version 1" in process.stdout
