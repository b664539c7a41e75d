"""Builds the one-file program from the packages of the running environment.

The program's package and the distributions that it requires are copied from
``site-packages``, freed of what is not used at run time, and packed by shiv.
Nothing is downloaded.
"""

import argparse
import importlib.metadata
import pathlib
import shutil
import subprocess
import sys
import tempfile
import typing as t

from packaging import requirements
from packaging import utils
from shiv import cli as shiv

PROGRAM = "savorytally"
SOURCE = pathlib.Path(__file__).parent.parent / "src" / PROGRAM
INTERPRETER = f"/usr/bin/env python3.{sys.version_info.minor}"
UNPACK_ROOT = "/run/savorytally"

# Unpacked files may lie in memory: sources of compiled modules, type stubs
# and the packages' own tests are left out.
UNUSED_SUFFIXES = (
    ".pyi",
    ".pyx",
    ".pxd",
    ".pxi",
    ".c",
    ".h",
    ".cpp",
    ".pyc",
)
UNUSED_DIRECTORIES = frozenset({"tests", "test", "__pycache__"})


def required(name: str) -> list[importlib.metadata.Distribution]:
    """Return the distributions that one distribution requires, all deep."""
    found: dict[str, importlib.metadata.Distribution] = {}
    waiting = [requirements.Requirement(name)]
    while waiting:
        wanted = waiting.pop()
        key = utils.canonicalize_name(wanted.name)
        if key in found:
            continue
        found[key] = importlib.metadata.distribution(wanted.name)
        for text in found[key].requires or ():
            requirement = requirements.Requirement(text)
            if _applies(requirement):
                waiting.append(requirement)
    del found[utils.canonicalize_name(name)]
    return [found[key] for key in sorted(found)]


def copy(
    distributions: t.Iterable[importlib.metadata.Distribution],
    site: pathlib.Path,
) -> None:
    """Copy what the distributions use at run time, and the program."""
    for item in distributions:
        for path in item.files or ():
            if _used(path):
                target = site / path
                target.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy2(item.locate_file(path), target)
    ignore = shutil.ignore_patterns("__pycache__")
    shutil.copytree(SOURCE, site / PROGRAM, ignore=ignore)


def strip(site: pathlib.Path) -> None:
    """Remove the symbols of compiled modules, most of their size.

    Without the program ``strip`` the modules stay as they are.
    """
    program = shutil.which("strip")
    if program is None:
        print("strip is not installed; the program will be larger")
        return
    modules = [str(path) for path in site.rglob("*.so")]
    subprocess.run([program, "--strip-unneeded", *modules], check=True)


def pack(site: pathlib.Path, output: pathlib.Path) -> None:
    """Pack the copied files into one executable file."""
    output.parent.mkdir(parents=True, exist_ok=True)
    arguments = [
        "--site-packages",
        str(site),
        "--entry-point",
        f"{PROGRAM}.cli:main",
        "--python",
        INTERPRETER,
        "--root",
        UNPACK_ROOT,
        "--reproducible",
        "--output-file",
        str(output),
    ]
    shiv.main(arguments, standalone_mode=False)


def build(output: pathlib.Path) -> None:
    """Build the program as one file."""
    with tempfile.TemporaryDirectory() as scratch:
        site = pathlib.Path(scratch) / "site"
        site.mkdir()
        copy(required(PROGRAM), site)
        strip(site)
        pack(site, output)
    print(f"{output}: {output.stat().st_size} bytes")


def main() -> None:
    """Run the build."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("output", type=pathlib.Path)
    build(parser.parse_args().output)


def _applies(requirement: requirements.Requirement) -> bool:
    marker = requirement.marker
    return marker is None or marker.evaluate({"extra": ""})


def _used(path: importlib.metadata.PackagePath) -> bool:
    if path.parts[0] == ".." or path.suffix in UNUSED_SUFFIXES:
        return False
    return not UNUSED_DIRECTORIES & set(path.parts[:-1])


if __name__ == "__main__":
    main()
