"""Tests that names of the users' platform occur only in its adapter."""

import platform
import re
from pathlib import Path

from tarragonward_gateway import HeaderNames
from tarragonward_platform import const

ROOT = Path(__file__).parent.parent
ADAPTER = ROOT / "platform" / "tarragonward_platform"
CAMEL_CASE_FIELD = re.compile(r'"([a-z]+(?:[A-Z][a-z]+)+)"')


def list_library_sources():
    sources = [*ROOT.glob("libraries/*/tarragonward_*/**/*.py")]
    return [path for path in sources if "standins" not in path.parts]


def list_platform_names():
    default_names, platform_names = vars(HeaderNames()), vars(const.HEADERS)
    headers = {
        platform_names[field]
        for field in platform_names
        if platform_names[field] != default_names[field]
    }
    fields = {
        name
        for path in ADAPTER.glob("*.py")
        for name in CAMEL_CASE_FIELD.findall(path.read_text(encoding="utf-8"))
    }
    store_names = {const.STORE_RANGE, const.STORE_WATCH, const.TABLE_KEY}
    return headers | fields | store_names | {const.SETTINGS_VARIABLE}


def test_the_libraries_use_no_name_of_the_platform():
    names = list_platform_names()
    assert len(names) > 25
    any_name = "|".join(map(re.escape, sorted(names)))
    pattern = re.compile(rf"(?<![\w-])(?:{any_name})(?![\w-])", re.IGNORECASE)
    found = [
        f"{path.relative_to(ROOT)}: {match[0]}"
        for path in list_library_sources()
        for match in pattern.finditer(path.read_text(encoding="utf-8"))
    ]
    assert found == []


def test_the_adapter_does_not_shadow_the_standard_library():
    assert platform.python_version()
    assert not (ROOT / "platform" / "__init__.py").exists()


def test_the_adapter_stays_small():
    lines = [
        line
        for path in ADAPTER.glob("*.py")
        for line in path.read_text(encoding="utf-8").splitlines()
        if line.strip()
    ]
    assert len(lines) < 600
