"""Draw a site unlike those that we know, from a site file: `script/vary SITE OUT`.

Engines' speed and memory, lengths, rates and the engines of each failure domain are
changed at random within wide bounds, all by one seed. What comes out stays outside the
repository where the site file is not ours.
"""

from __future__ import annotations

import argparse
import re
import sys
from pathlib import Path
from random import Random

__all__ = ["main", "vary_site"]

# By field of the site file: the least and the most that its numbers are multiplied by.
FACTORS = {
    "prefill_tokens_per_ms": (0.6, 1.7),
    "pairs_ms_per_m": (0.5, 2.0),
    "kv_tokens": (0.6, 1.6),
    "stride": (0.6, 1.5),
    "step_ms": (0.7, 1.4),
}
# The mean of these sub-tables.
MEANS = {"prompt_tokens": (0.6, 1.5), "pieces": (0.6, 1.5)}
RATES = (0.7, 1.2)
SERVERS = (0.6, 1.4)
MIN_SERVERS = 3


def vary_site(text: str, seed: int) -> str:
    """Return the text of a site file with other figures."""
    random = Random(seed)
    for name, (least, most) in FACTORS.items():
        factor = random.uniform(least, most)
        text = _multiply(text, rf"\b{name} = ([0-9.]+)", factor)
    for name, (least, most) in MEANS.items():
        pattern = rf"\b{name} = {{ mean = ([0-9.]+)"
        text = re.sub(
            pattern, lambda found: _scale(found, random.uniform(least, most)), text
        )
    text = _multiply(text, r"\bper_s = ([0-9.]+)", random.uniform(*RATES))
    return _vary_servers(text, random)


def _vary_servers(text: str, random: Random) -> str:
    """Change how many engines each failure domain has; one may have none."""
    lines = text.split("\n")
    for place, line in enumerate(lines):
        if 'model = "llm"' in line:
            lines[place] = re.sub(
                r"(zone = \"[^\"]+\", count = )(\d+)",
                lambda found: found[1] + str(_draw_count(int(found[2]), random)),
                line,
            )
    return "\n".join(lines)


def _draw_count(count: int, random: Random) -> int:
    return max(MIN_SERVERS, round(count * random.uniform(*SERVERS)))


def _multiply(text: str, pattern: str, factor: float) -> str:
    return re.sub(pattern, lambda found: _scale(found, factor), text)


def _scale(found: re.Match[str], factor: float) -> str:
    value = float(found[1]) * factor
    is_whole = "." not in found[1]
    number = str(max(1, round(value))) if is_whole else f"{value:.4g}"
    if not is_whole and "." not in number:
        number += ".0"
    return found[0].replace(found[1], number)


def main() -> int:
    """Write the site; return the exit status."""
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
