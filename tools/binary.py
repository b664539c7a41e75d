"""Builds the one-file program from the packages of the running environment.

The program's package and its required distributions are copied from
``site-packages`` without files that are unused at run time, and packed by
shiv. Nothing is downloaded.
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

# The unpack directory may be a file system in memory, so sources of compiled
# modules, type stubs and the tests of packages are left out.
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


def required_distributions(name: str) -> list[importlib.metadata.Distribution]:
    """Return the direct and transitive dependencies of a distribution."""
    found: dict[str, importlib.metadata.Distribution] = {}
    pending = [requirements.Requirement(name)]
    while pending:
        requirement = pending.pop()
        key = utils.canonicalize_name(requirement.name)
        if key in found:
            continue
        found[key] = importlib.metadata.distribution(requirement.name)
        for text in found[key].requires or ():
            dependency = requirements.Requirement(text)
            if _applies(dependency):
                pending.append(dependency)
    del found[utils.canonicalize_name(name)]
    return [found[key] for key in sorted(found)]


def copy_packages(
    distributions: t.Iterable[importlib.metadata.Distribution],
    site: pathlib.Path,
) -> None:
    """Copy the program and the run-time files of distributions."""
    for item in distributions:
        for path in item.files or ():
            if _used_at_run_time(path):
                target = site / path
                target.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy2(item.locate_file(path), target)
    ignore = shutil.ignore_patterns("__pycache__")
    shutil.copytree(SOURCE, site / PROGRAM, ignore=ignore)


def strip_symbols(site: pathlib.Path) -> None:
    """Strip the symbols of compiled modules, which are most of their size.

    Does nothing if the program ``strip`` is not installed.
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
    """Build the one-file program."""
    with tempfile.TemporaryDirectory() as scratch:
        site = pathlib.Path(scratch) / "site"
        site.mkdir()
        copy_packages(required_distributions(PROGRAM), site)
        strip_symbols(site)
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


def _used_at_run_time(path: importlib.metadata.PackagePath) -> bool:
    if path.parts[0] == ".." or path.suffix in UNUSED_SUFFIXES:
        return False
    return not UNUSED_DIRECTORIES & set(path.parts[:-1])


if __name__ == "__main__":
    main()
