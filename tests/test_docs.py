"""Tests that the pages name what is there."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
TEST_ID = re.compile(r"((?:tests|libraries)/[\w/]+\.py)(?:::(\w+))?")
EVENT_TABLE = re.compile(r"^\| event \| says \|\n\| --- \| --- \|\n((?:\|.*\n)+)", re.M)
LINK = re.compile(r"\]\(((?!https?:)[^)#]+)")


def test_every_test_that_a_proof_names_is_there():
    """A reader runs the id beside a promise; a test renamed since is not found."""
    named = TEST_ID.findall((ROOT / "docs/PROOFS.md").read_text("utf-8"))
    assert len(named) > 80
    for path, name in named:
        source = (ROOT / path).read_text("utf-8")
        assert not name or re.search(rf"^(async )?def {name}\(", source, re.M), name


def test_every_link_between_pages_leads_somewhere():
    for page in [*ROOT.glob("*.md"), *ROOT.glob("docs/*.md")]:
        for target in LINK.findall(page.read_text("utf-8")):
            assert (page.parent / target).exists(), (page.name, target)


def test_every_event_that_operators_are_told_of_is_logged():
    """An operator looks for an event that was renamed, finds none, and trusts it."""
    page = (ROOT / "docs/OPERATIONS.md").read_text("utf-8")
    rows = "".join(EVENT_TABLE.findall(page)).splitlines()
    cells = (row.split("|")[1] for row in rows)
    named = {name for cell in cells for name in cell.replace(" ", "").split(",")}
    sources = (ROOT / "libraries").glob("*/tarragonward_*/*.py")
    code = "".join(path.read_text("utf-8") for path in sources)
    assert len(named) > 30
    assert [name for name in named if f'"{name.rstrip("*")}' not in code] == []
