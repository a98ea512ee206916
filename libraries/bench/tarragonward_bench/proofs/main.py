"""Remove each safeguard of a table in a copy and check that its tests fail."""

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
EXCLUDED_FROM_COPY = (
    ".git",
    ".venv",
    "target",
    "journal",
    "__pycache__",
    ".ruff_cache",
)
DEFAULT_JOBS = 2
# Starting workers takes longer than running this many tests.
MAX_TESTS_WITHOUT_WORKERS = 10
TEST_TIMEOUT_SECONDS = 120
# Generous, because the whole test suite may run at the same time.
RUN_TIMEOUT_SECONDS = 900


class Verdict(Enum):
    """Result of a row.

    SURVIVES: a test passes without the safeguard. STALE: the row doesn't fit the code.
    RED: a test doesn't pass with the safeguard.
    """

    PROVED = "proved"
    SURVIVES = "SURVIVES"
    STALE = "STALE"
    RED = "RED"


@dataclass(frozen=True)
class Finding:
    """Verdict of a row, with the reason unless it is proved."""

    row: Row
    verdict: Verdict
    reason: str = ""

    def format_line(self) -> str:
        """Return the line to print for this row."""
        name = Path(self.row.file).name
        tests = ", ".join(test.partition("::")[2] for test in self.row.tests)
        line = f"{self.verdict.value} {name}: {self.row.promise} [{tests}]"
        return f"{line} {self.reason}".rstrip()

    def format_cells(self) -> str:
        """Return a row of the Markdown table."""
        row = self.row
        tests = ", ".join(f"`{test}`" for test in row.tests)
        result = row.seen if self.verdict is Verdict.PROVED else self.verdict.value
        return f"| {row.promise} | {row.fault} | {tests} | {result} |"


def prove(root: Path, rows: Sequence[Row], jobs: int) -> list[Finding]:
    """Check all rows; return their findings in order.

    A test proves its safeguard if it passes with it and fails without it. An error
    outside of the test, such as in an import or a fixture, does not count as a failure.
    """
    named = sorted({test for row in rows for test in row.tests})
    existing = [test for test in named if _test_exists(root, test)]
    with tempfile.TemporaryDirectory() as folder:
        copy = _copy(root, Path(folder))
        workers = jobs if len(existing) > MAX_TESTS_WITHOUT_WORKERS else 0
        results = _run_tests(copy, existing, ("--numprocesses", str(workers)))
    not_passing = {test for test in named if results.get(test) != "passed"}

    def check(row: Row) -> Finding:
        finding = _check_row(root, row, not_passing)
        print(finding.format_line(), flush=True)
        return finding

    with ThreadPoolExecutor(jobs) as pool:
        return list(pool.map(check, rows))


def _check_row(root: Path, row: Row, not_passing: Iterable[str]) -> Finding:
    failing = sorted(set(not_passing).intersection(row.tests))
    if failing:
        return Finding(
            row, Verdict.RED, f"tests do not pass with the safeguard: {failing}"
        )
    with tempfile.TemporaryDirectory() as folder:
        copy = _copy(root, Path(folder))
        path = copy / row.file
        try:
            path.write_text(remove_safeguard(row, path.read_text("utf-8")), "utf-8")
            _check_undefined_names(path)
        except (OSError, RowError) as err:
            return Finding(row, Verdict.STALE, str(err))
        results = _run_tests(copy, row.tests)
    survivors = [test for test in row.tests if results.get(test) != "failed"]
    if survivors:
        counts_text = {test: results.get(test, "not run") for test in survivors}
        return Finding(row, Verdict.SURVIVES, f"without it: {counts_text}")
    return Finding(row, Verdict.PROVED)


def _test_exists(root: Path, test: str) -> bool:
    path, _, name = test.partition("::")
    file = root / path
    return file.is_file() and f"def {name}(" in file.read_text("utf-8")


def _copy(root: Path, folder: Path) -> Path:
    copy = folder / "workspace"
    shutil.copytree(root, copy, ignore=shutil.ignore_patterns(*EXCLUDED_FROM_COPY))
    return copy


def _check_undefined_names(path: Path) -> None:
    # An undefined name left by the edit makes any test fail, so that a test that covers
    # nothing would count as proof.
    ruff = Path(sys.executable).parent / "ruff"
    command = [ruff, "check", "--isolated", "--select", "F821", "--quiet", path]
    done = subprocess.run(command, capture_output=True, text=True)
    if done.returncode:
        raise RowError(f"undefined name after the edit: {done.stdout.strip()}")


def _run_tests(
    copy: Path, tests: Iterable[str], options: Sequence[str] = ()
) -> dict[str, str]:
    """Return the result by test id, combined over all cases of a parametrized test."""
    report = copy.parent / "report.xml"
    packages = [*copy.glob("libraries/*"), copy / "platform"]
    # Variables of an enclosing pytest run must not affect the new one.
    kept = {k: v for k, v in os.environ.items() if not k.startswith("PYTEST_")}
    environment = {
        **kept,
        "PYTHONPATH": os.pathsep.join(map(str, packages)),
        "PYTHONDONTWRITEBYTECODE": "1",
    }
    command = [sys.executable, "-m", "pytest", "--quiet", "--tb=no", *options]
    command += [f"--junitxml={report}", f"--timeout={TEST_TIMEOUT_SECONDS}", *tests]
    subprocess.run(
        command,
        cwd=copy,
        env=environment,
        capture_output=True,
        timeout=RUN_TIMEOUT_SECONDS,
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
    """Check the table; exit with 1 unless every row is proved."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--table", type=Path, default=TABLE, help="file of the table")
    parser.add_argument(
        "--only", nargs="*", help="check only rows containing one of these texts"
    )
    parser.add_argument(
        "--quick", action="store_true", help="check only the rows for CI"
    )
    parser.add_argument("--page", action="store_true", help="print a Markdown table")
    parser.add_argument(
        "--jobs", type=int, default=DEFAULT_JOBS, help="rows to check concurrently"
    )
    options = parser.parse_args()
    rows = _choose(load_rows(options.table), options)
    findings = prove(Path.cwd(), rows, options.jobs)
    if options.page:
        print("| promise | fault | test id | fails without |")
        print("| --- | --- | --- | --- |")
        for finding in findings:
            print(finding.format_cells())
    counts = Counter(finding.verdict for finding in findings)
    counts_text = " ".join(f"{each.name.lower()}={counts[each]}" for each in Verdict)
    print(f"rows={len(findings)} {counts_text}")
    sys.exit(0 if findings and counts[Verdict.PROVED] == len(findings) else 1)


if __name__ == "__main__":
    main()
