"""Tests that a build for the users' platform appears whole or not at all."""

import hashlib
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
LIBRARIES = ("core", "routes", "wire", "requests", "placement", "membership", "gateway")
NEEDED = "target/deps/tarragonward_platform/__main__.py"


@pytest.fixture
def workspace(tmp_path):
    """Return a copy of what the build reads, with its packages already there."""
    shutil.copytree(ROOT / "deploy", tmp_path / "deploy")
    ignored = shutil.ignore_patterns("__pycache__", "tests", "*.egg-info", "build")
    shutil.copytree(ROOT / "platform", tmp_path / "platform", ignore=ignored)
    for name in LIBRARIES:
        source = ROOT / "libraries" / name
        shutil.copytree(source, tmp_path / "libraries" / name, ignore=ignored)
    wanted = (tmp_path / "deploy" / "requirements.txt").read_bytes()
    digest = hashlib.sha256(wanted).hexdigest()[:16]
    (tmp_path / "target" / "packages" / digest).mkdir(parents=True)
    return tmp_path


def build(workspace):
    subprocess.run(["sh", "deploy/build.sh"], cwd=workspace, check=True)
    return (workspace / "target" / "deps").resolve()


def change(workspace, text):
    path = workspace / "platform" / "tarragonward_platform" / "const.py"
    path.write_text(path.read_text() + f"\nCHANGE = {text!r}\n")


def test_unchanged_sources_are_not_built_again(workspace):
    """A second day in a checkout must not touch what the first day's hosts import."""
    first = build(workspace)
    before = (first / "tarragonward_platform" / "const.py").stat().st_mtime_ns
    assert build(workspace) == first
    after = (first / "tarragonward_platform" / "const.py").stat().st_mtime_ns
    assert before == after


def test_processes_of_an_earlier_build_find_all_of_it(workspace):
    """A process that starts while another build runs ended with ImportError."""
    first = build(workspace)
    change(workspace, "new")
    second = build(workspace)
    assert second != first
    for path in (first, second):
        assert (path / "tarragonward_platform" / "__main__.py").exists()
        assert (path / "tarragonward_gateway" / "sending" / "__init__.py").exists()


def test_packages_are_never_missing_while_builds_replace_each_other(workspace):
    build(workspace)
    change(workspace, "new")
    building = subprocess.Popen(["sh", "deploy/build.sh"], cwd=workspace)
    try:
        while building.poll() is None:
            assert (workspace / NEEDED).exists()
    finally:
        building.wait()
    assert building.returncode == 0


def test_a_few_builds_are_kept(workspace):
    for number in range(7):
        change(workspace, f"number {number}")
        last = build(workspace)
    builds = list((workspace / "target" / "builds").iterdir())
    assert last in builds
    assert 2 <= len(builds) <= 4


def test_process_imports_all_modules_from_one_build(workspace):
    """The link on the path changes while the process still imports."""
    first = build(workspace)
    path = workspace / "target" / "deps"
    text = (first / "tarragonward_platform" / "__main__.py").read_text()
    head = text.partition("from .main import")[0]
    program = (
        f"import sys; sys.path.insert(0, {str(path)!r})\n{head}\nprint(sys.path[0])"
    )
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert Path(done.stdout.strip()) == first
