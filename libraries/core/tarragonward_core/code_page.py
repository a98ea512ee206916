"""Generate the documentation page of result codes."""

from __future__ import annotations

import sys

from .codes import ResultCode

__all__ = ["build_code_page"]

HEAD = """\
# Result codes

Made by `script/result_codes` from `tarragonward_core/codes.py`; a test compares them.
`tarragonward codes` prints the same table.

Every answer but a whole one carries a number, in the header `x-result-code` and in the
JSON error (also as the last event of a stream that breaks off):

    {"error": {"code": 2004, "type": "DRAINING", "message": "...",
               "conclusion": "not run", "repeat": "...", "retry_after_seconds": 1,
               "request_id": "..."}}

- **conclusion** is what may be concluded: *run* (at least in part), *not run*, or
  *unknown*. For a call with a key, "not run" is final for the key where the key's owner
  says it (2007, 2008). Any other refusal speaks of the one sending that was refused.
- **repeat** says whether, and how, to send the request again.
- **when**: the seconds in `retry-after`, and in `retry_after_seconds` within a stream.
  Every code that may be repeated carries it. Wait longer after each further refusal.

Model requests have no effect but their answer and may always be sent again. A call of
a non-idempotent operation may be sent again only as its code says.

1xxx: the request. 2xxx: the fleet. 3xxx: the run. 4xxx: non-idempotent calls.
5xxx: between hosts, and patches.

| number | name | HTTP | conclusion | repeat | meaning |
| --- | --- | --- | --- | --- | --- |
"""


def build_code_page() -> str:
    """Return the page as Markdown."""
    rows = [
        f"| {code.number} | {code.name} | {code.http_status} | {code.conclusion.value}"
        f" | {code.repeat.value} | {code.text} |\n"
        for code in ResultCode
    ]
    return HEAD + "".join(rows)


if __name__ == "__main__":
    sys.stdout.write(build_code_page())
