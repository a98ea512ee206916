"""Generate a random variation of a site file: `script/vary SITE OUT`.

Engine speed and memory, lengths, rates and the number of engines in each failure domain
are scaled at random within wide bounds, all determined by one seed. Keep the output
outside the repository if the site file belongs to someone else.
"""

from __future__ import annotations

import argparse
import re
import sys
from pathlib import Path
from random import Random

__all__ = ["main", "vary_site"]

# Range of the random factor, by field of the site file.
FACTORS = {
    "prefill_tokens_per_ms": (0.6, 1.7),
    "pairs_ms_per_m": (0.5, 2.0),
    "kv_tokens": (0.6, 1.6),
    "stride": (0.6, 1.5),
    "step_ms": (0.7, 1.4),
}
# Likewise, for the mean in these sub-tables.
MEAN_FACTORS = {"prompt_tokens": (0.6, 1.5), "pieces": (0.6, 1.5)}
RATE_FACTORS = (0.7, 1.2)
SERVER_COUNT_FACTORS = (0.6, 1.4)
MIN_SERVER_COUNT = 3


def vary_site(text: str, seed: int) -> str:
    """Return the text of a site file with its values scaled at random."""
    random = Random(seed)
    for name, (least, most) in FACTORS.items():
        factor = random.uniform(least, most)
        text = _multiply(text, rf"\b{name} = ([0-9.]+)", factor)
    for name, (least, most) in MEAN_FACTORS.items():
        pattern = rf"\b{name} = {{ mean = ([0-9.]+)"
        text = re.sub(
            pattern, lambda match: _scale(match, random.uniform(least, most)), text
        )
    text = _multiply(text, r"\bper_s = ([0-9.]+)", random.uniform(*RATE_FACTORS))
    return _vary_servers(text, random)


def _vary_servers(text: str, random: Random) -> str:
    """Scale the number of engines in each failure domain."""
    lines = text.split("\n")
    for index, line in enumerate(lines):
        if 'model = "llm"' in line:
            lines[index] = re.sub(
                r"(zone = \"[^\"]+\", count = )(\d+)",
                lambda match: match[1] + str(_draw_count(int(match[2]), random)),
                line,
            )
    return "\n".join(lines)


def _draw_count(count: int, random: Random) -> int:
    return max(MIN_SERVER_COUNT, round(count * random.uniform(*SERVER_COUNT_FACTORS)))


def _multiply(text: str, pattern: str, factor: float) -> str:
    return re.sub(pattern, lambda match: _scale(match, factor), text)


def _scale(match: re.Match[str], factor: float) -> str:
    value = float(match[1]) * factor
    is_whole = "." not in match[1]
    number = str(max(1, round(value))) if is_whole else f"{value:.4g}"
    if not is_whole and "." not in number:
        number += ".0"
    return match[0].replace(match[1], number)


def main() -> int:
    """Write the varied site; return the exit status."""
    parser = argparse.ArgumentParser(prog="script/vary", description=__doc__)
    parser.add_argument("site", type=Path)
    parser.add_argument("out", type=Path)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    varied = vary_site(options.site.read_text("utf-8"), options.seed)
    options.out.write_text(varied, "utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
