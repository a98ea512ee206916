"""Take each safeguard of a table out of a copy, and see that its tests fail there."""

from __future__ import annotations

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree
from collections import Counter
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from .rows import Row, RowError, load_rows, remove_safeguard

__all__ = ["Finding", "Verdict", "main", "prove"]

TABLE = Path("docs/proofs.toml")
LEFT_OUT = (".git", ".venv", "target", "journal", "__pycache__", ".ruff_cache")
JOBS = 2
# Fewer run sooner without workers.
MANY_TESTS = 10
TEST_SECONDS = 120
# With the whole suite beside it a run may take long; without end it would be a hang.
RUN_SECONDS = 900


class Verdict(Enum):
    """What became of a row."""

    PROVED = "proved"
    SURVIVES = "SURVIVES"
    STALE = "STALE"
    RED = "RED"


@dataclass(frozen=True)
class Finding:
    """A row, its verdict, and why where it is not proved."""

    row: Row
    verdict: Verdict
    reason: str = ""

    def format_line(self) -> str:
        """Return a line for a reader of the run."""
        name = Path(self.row.file).name
        tests = ", ".join(test.partition("::")[2] for test in self.row.tests)
        line = f"{self.verdict.value} {name}: {self.row.promise} [{tests}]"
        return f"{line} {self.reason}".rstrip()

    def format_cells(self) -> str:
        """Return a row of the page's table."""
        row = self.row
        tests = ", ".join(f"`{test}`" for test in row.tests)
        without = row.seen if self.verdict is Verdict.PROVED else self.verdict.value
        return f"| {row.promise} | {row.fault} | {tests} | {without} |"


def prove(root: Path, rows: Sequence[Row], jobs: int) -> list[Finding]:
    """Play all rows; return a finding each, in order.

    A test proves its safeguard when it passes with it and fails without it. An error
    outside of a test (a file that cannot be imported, a fixture) is no failure of it.
    """
    named = sorted({test for row in rows for test in row.tests})
    there = [test for test in named if _is_there(root, test)]
    with tempfile.TemporaryDirectory() as folder:
        copy = _copy(root, Path(folder))
        workers = jobs if len(there) > MANY_TESTS else 0
        sound = _run_tests(copy, there, ("--numprocesses", str(workers)))
    red = {test for test in named if sound.get(test) != "passed"}

    def play(row: Row) -> Finding:
        finding = _play(root, row, red)
        print(finding.format_line(), flush=True)
        return finding

    with ThreadPoolExecutor(jobs) as pool:
        return list(pool.map(play, rows))


def _play(root: Path, row: Row, red: Iterable[str]) -> Finding:
    failing = sorted(set(red).intersection(row.tests))
    if failing:
        return Finding(row, Verdict.RED, f"not passed with it: {failing}")
    with tempfile.TemporaryDirectory() as folder:
        copy = _copy(root, Path(folder))
        path = copy / row.file
        try:
            path.write_text(remove_safeguard(row, path.read_text("utf-8")), "utf-8")
            _check_names(path)
        except (OSError, RowError) as err:
            return Finding(row, Verdict.STALE, str(err))
        results = _run_tests(copy, row.tests)
    survivors = [test for test in row.tests if results.get(test) != "failed"]
    if survivors:
        told = {test: results.get(test, "not run") for test in survivors}
        return Finding(row, Verdict.SURVIVES, f"without it: {told}")
    return Finding(row, Verdict.PROVED)


def _is_there(root: Path, test: str) -> bool:
    path, _, name = test.partition("::")
    file = root / path
    return file.is_file() and f"def {name}(" in file.read_text("utf-8")


def _copy(root: Path, folder: Path) -> Path:
    copy = folder / "workspace"
    shutil.copytree(root, copy, ignore=shutil.ignore_patterns(*LEFT_OUT))
    return copy


def _check_names(path: Path) -> None:
    # A name that the cut left undefined fails any test. Symptom: a row that proves
    # nothing counts as proved. The linter knows all names of a file.
    ruff = Path(sys.executable).parent / "ruff"
    command = [ruff, "check", "--isolated", "--select", "F821", "--quiet", path]
    done = subprocess.run(command, capture_output=True, text=True)
    if done.returncode:
        raise RowError(f"a name is not defined: {done.stdout.strip()}")


def _run_tests(
    copy: Path, tests: Iterable[str], options: Sequence[str] = ()
) -> dict[str, str]:
    """Return passed, failed or error by test id, all cases of a test together."""
    report = copy.parent / "report.xml"
    packages = [*copy.glob("libraries/*"), copy / "platform"]
    # A runner's own variables, where a test runs this, would steer the one started.
    kept = {k: v for k, v in os.environ.items() if not k.startswith("PYTEST_")}
    environment = {
        **kept,
        "PYTHONPATH": os.pathsep.join(map(str, packages)),
        "PYTHONDONTWRITEBYTECODE": "1",
    }
    command = [sys.executable, "-m", "pytest", "--quiet", "--tb=no", *options]
    command += [f"--junitxml={report}", f"--timeout={TEST_SECONDS}", *tests]
    subprocess.run(
        command,
        cwd=copy,
        env=environment,
        capture_output=True,
        timeout=RUN_SECONDS,
    )
    return _read_report(report) if report.exists() else {}


def _read_report(path: Path) -> dict[str, str]:
    results: dict[str, str] = {}
    for case in ElementTree.parse(path).iter("testcase"):
        file = case.get("classname", "").replace(".", "/") + ".py"
        test = f"{file}::{case.get('name', '').partition('[')[0]}"
        kinds = {child.tag for child in case}
        if "failure" in kinds or results.get(test) == "failed":
            results[test] = "failed"
        elif "error" in kinds or results.get(test) == "error":
            results[test] = "error"
        else:
            results[test] = "not run" if "skipped" in kinds else "passed"
    return results


def _choose(rows: Iterable[Row], options: argparse.Namespace) -> list[Row]:
    return [
        row
        for row in rows
        if (row.is_quick or not options.quick)
        and (not options.only or any(o in f"{row}" for o in options.only))
    ]


def main() -> None:
    """Play the table; end with 1 unless every row is proved."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--table", type=Path, default=TABLE, help="the table's file")
    parser.add_argument("--only", nargs="*", help="rows that hold one of these texts")
    parser.add_argument("--quick", action="store_true", help="the rows of CI")
    parser.add_argument("--page", action="store_true", help="print the page's table")
    parser.add_argument("--jobs", type=int, default=JOBS, help="rows at a time")
    options = parser.parse_args()
    rows = _choose(load_rows(options.table), options)
    findings = prove(Path.cwd(), rows, options.jobs)
    if options.page:
        print("| promise | fault | test id | fails without |")
        print("| --- | --- | --- | --- |")
        for finding in findings:
            print(finding.format_cells())
    counts = Counter(finding.verdict for finding in findings)
    told = " ".join(f"{each.name.lower()}={counts[each]}" for each in Verdict)
    print(f"rows={len(findings)} {told}")
    sys.exit(0 if findings and counts[Verdict.PROVED] == len(findings) else 1)


if __name__ == "__main__":
    main()
