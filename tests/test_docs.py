"""Tests that tests, links and log events named in the documentation exist."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
TEST_ID = re.compile(r"((?:tests|libraries)/[\w/]+\.py)(?:::(\w+))?")
EVENT_TABLE = re.compile(r"^\| event \| says \|\n\| --- \| --- \|\n((?:\|.*\n)+)", re.M)
LINK = re.compile(r"\]\(((?!https?:)[^)#]+)")


def test_every_test_named_in_the_proofs_exists():
    """A test renamed in the code only could not be run by the id in the document."""
    referenced = TEST_ID.findall((ROOT / "docs/PROOFS.md").read_text("utf-8"))
    assert len(referenced) > 80
    for path, name in referenced:
        source = (ROOT / path).read_text("utf-8")
        assert not name or re.search(rf"^(async )?def {name}\(", source, re.M), name


def test_every_link_between_pages_resolves():
    for page in [*ROOT.glob("*.md"), *ROOT.glob("docs/*.md")]:
        for target in LINK.findall(page.read_text("utf-8")):
            assert (page.parent / target).exists(), (page.name, target)


def test_every_documented_log_event_is_logged():
    """An operator who searches for an event renamed in the code would find none."""
    page = (ROOT / "docs/OPERATIONS.md").read_text("utf-8")
    rows = "".join(EVENT_TABLE.findall(page)).splitlines()
    cells = (row.split("|")[1] for row in rows)
    referenced = {name for cell in cells for name in cell.replace(" ", "").split(",")}
    sources = (ROOT / "libraries").glob("*/tarragonward_*/**/*.py")
    code = "".join(path.read_text("utf-8") for path in sources)
    assert len(referenced) > 30
    assert [name for name in referenced if f'"{name.rstrip("*")}' not in code] == []
