"""Generate days with one impairment, and days with several that share a mechanism.

A day of one impairment has it once. A day of a pair has the first impairment once, and
the others three times: just before it begins, during it, and just after it ends. Days
are independent of a site: where a pair needs the class of the longest prompts, a
placeholder is replaced when the day is played.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path

__all__ = [
    "KINDS",
    "LONGEST_CLASS",
    "PAIRS",
    "PAIRS_FOLDER",
    "double",
    "write_days",
]

Entry = Mapping[str, object]

SEED = 20_261_202
LENGTH_SECONDS = 26.0
START_SECONDS = 6.0
LONGEST_CLASS = "LONGEST_CLASS"
PAIRS_FOLDER = "pairs"
PAIR_GAP_SECONDS = 0.4
STAGGER_SECONDS = 0.2
DEFAULT_DURATION_SECONDS = 4.0
# Kinds in which x is a share, so that its maximum is 1.
KINDS_WITH_X_AS_SHARE = (
    "answer_lost",
    "applied_late",
    "garble",
    "lossy",
    "platform_lost",
)
KINDS_WITH_X_AS_SHARE += ("reset_conns", "srv_grey")
PLAN_KINDS = (
    "add_nodes",
    "big_config",
    "config_change",
    "config_storm",
    "hup",
    "release",
)
PLAN_KINDS += ("revoke", "roll_term", "scale_in", "scale_out")
# The faults that the sites list, without names of a particular site, and further ones
# that `fleetbench kinds` lists. The benchmark plays srv_flap and srv_lying_health only
# on sites whose contracts include health checks.
KINDS = {
    "add_nodes": {"count": 2},
    "after_ack_kill": {"for_s": 3.0},
    "answer_lost": {"share": 0.45, "x": 0.025, "for_s": 5.5},
    "answer_lost-reset": {"how": "reset", "share": 0.5, "x": 0.05, "for_s": 4.0},
    "applied_late": {"x": 0.35, "for_s": 5.5},
    "big_config": {"count": 350},
    "burst": {"x": 1.7, "for_s": 3.0},
    "clock_step-ahead": {"share": 0.28, "x": 2400.0, "for_s": 6.0, "how": "ahead"},
    "clock_step-back": {"share": 0.28, "x": 2400.0, "for_s": 6.0, "how": "back"},
    "config_change-quota": {"how": "quota"},
    "config_change-route": {"how": "route"},
    "config_change-tenant": {"how": "tenant"},
    "config_change-timeout": {"how": "timeout"},
    "config_change-weights": {"how": "weights"},
    "config_storm": {"for_s": 4.0, "gap_s": 0.33},
    "core_cut": {"count": 1, "for_s": 5.5},
    "core_cut-race": {"for_s": 4.0, "how": "leader race"},
    "garble": {"share": 0.35, "x": 0.02, "for_s": 5.5},
    "garble-early": {"how": "early", "share": 0.6, "x": 0.03, "for_s": 5.0},
    "garble-extra": {"how": "extra late", "share": 0.6, "x": 0.03, "for_s": 5.0},
    "garble-unframed": {"how": "unframed", "share": 0.6, "x": 0.03, "for_s": 5.0},
    "give_up": {"share": 0.2, "for_s": 5.5},
    "herd_kill": {"share": 0.55, "for_s": 2.0, "how": "power", "on": "core"},
    "herd_kill-plain": {"share": 0.55, "for_s": 2.0},
    "hot_key": {"share": 0.28, "for_s": 5.5},
    "hup": {"share": 0.6, "gap_s": 2.0},
    "idle_race": {"share": 0.5, "x": 300.0, "for_s": 6.5},
    "lossy": {"x": 0.025, "for_s": 5.5},
    "node_cut": {"share": 0.17, "for_s": 5.5},
    "node_cut-reborn": {"how": "servers reborn", "share": 0.2, "for_s": 4.0},
    "node_cut-reset": {"how": "reset revoke", "share": 0.3, "for_s": 8.0},
    "node_freeze": {"share": 0.11, "for_s": 3.5},
    "node_kill": {"share": 0.16, "for_s": 3.5},
    "node_kill-meet": {"on": "core", "count": 1, "for_s": 3.0, "how": "meet drain"},
    "node_kill-power": {"share": 0.16, "for_s": 3.5, "how": "power"},
    "node_kill-race": {"on": "core", "count": 1, "how": "leader race drain"},
    "node_slow": {"share": 0.1, "x": 5.0, "for_s": 5.0},
    "platform_compact": {"x": 5.5, "for_s": 12.0, "how": "drain"},
    "platform_down-busy": {"for_s": 4.5, "how": "busy lapse"},
    "platform_down-nodes": {"how": "nodes many revoke meet", "share": 0.33, "for_s": 9},
    "platform_down-reset": {"for_s": 4.5, "how": "reset"},
    "platform_down-silent": {"for_s": 4.5, "how": "silent"},
    "platform_lost": {"x": 0.35, "for_s": 4.5},
    "platform_slow": {"x": 60.0, "for_s": 4.5},
    "release": {"share": 0.45, "x": 1.0, "gap_s": 1.0},
    "replace_with_reuse": {"share": 0.15},
    "reset_conns": {"share": 0.1, "x": 0.5},
    "retry_abuse": {"x": 3.0, "share": 0.3, "for_s": 5.5},
    "revoke": {"count": 2, "gap_s": 1.5},
    "roll_term": {"share": 0.45, "x": 1.0, "gap_s": 1.3},
    "roll_term-busy": {"how": "busy", "gap_s": 1.0},
    "scale_in": {"share": 0.13},
    "scale_out": {"share": 0.3, "gap_s": 2.0},
    "shift": {"share": 0.5, "for_s": 6.5},
    "srv_crash": {"share": 0.14, "for_s": 4.5},
    "srv_crash-dark": {"share": 0.17, "for_s": 4.5, "how": "dark"},
    "srv_crash-gone": {"share": 0.14, "for_s": 4.5, "how": "gone"},
    "srv_cut": {"share": 0.2, "for_s": 5.0},
    "srv_cut-reborn": {"how": "reborn", "share": 0.3, "for_s": 4.0},
    "srv_flap": {"share": 0.1, "gap_s": 1.4, "for_s": 6.5},
    "srv_grey-errors": {"share": 0.14, "for_s": 6.5, "how": "errors", "x": 0.45},
    "srv_grey-hang": {"share": 0.14, "for_s": 6.5, "how": "hang", "x": 0.45},
    "srv_grey-mute": {"share": 0.14, "for_s": 6.5, "how": "mute", "x": 0.45},
    "srv_grey-reset": {"share": 0.14, "for_s": 6.5, "how": "reset", "x": 0.45},
    "srv_grey-shed": {"share": 0.14, "for_s": 6.5, "how": "shed", "x": 0.45},
    "srv_lying_health-bad": {"share": 0.1, "for_s": 6.5, "how": "bad"},
    "srv_lying_health-errors": {"share": 0.1, "for_s": 6.5, "how": "errors"},
    "srv_lying_health-hang": {"share": 0.1, "for_s": 6.5, "how": "hang"},
    "srv_lying_health-reset": {"share": 0.1, "for_s": 6.5, "how": "reset"},
    "srv_slow": {"share": 0.15, "x": 4.0, "for_s": 5.0},
    "zone_cut": {"for_s": 5.5},
    "zone_cut-refuse": {"for_s": 5.5, "how": "refuse"},
}


# Impairments that share a mechanism: the first lasts, the others occur around it.
PAIRS: Mapping[str, tuple[Entry, ...]] = {
    "cut-change": (
        {"kind": "zone_cut", "for_s": 5.0},
        {"kind": "config_change", "how": "route"},
    ),
    "cut-storm": (
        {"kind": "zone_cut", "for_s": 5.0, "how": "refuse"},
        {"kind": "config_storm", "for_s": 1.5, "gap_s": 0.33},
    ),
    "cut-from-store-storm": (
        {"kind": "core_cut", "count": 2, "for_s": 5.0},
        {"kind": "config_storm", "for_s": 1.5, "gap_s": 0.33},
    ),
    "cut-from-store-revoke": (
        {"kind": "core_cut", "count": 2, "for_s": 5.0},
        {"kind": "revoke", "count": 1, "how": "last"},
    ),
    "refused-machines-revoke": (
        {"kind": "platform_down", "how": "nodes many", "share": 0.35, "for_s": 6.0},
        {"kind": "revoke", "count": 1},
    ),
    "silent-machines-revoke": (
        {"kind": "platform_down", "how": "nodes revoke", "share": 0.35, "for_s": 6.0},
        {"kind": "revoke", "count": 1, "how": "last"},
    ),
    "compact-scale_in": (
        {"kind": "platform_compact", "x": 5.5, "for_s": 6.0},
        {"kind": "scale_in", "share": 0.07},
    ),
    "compact-release": (
        {"kind": "platform_compact", "x": 5.5, "for_s": 6.0, "how": "drain"},
        {"kind": "release", "share": 0.15, "x": 1.0, "gap_s": 0.5},
    ),
    "lost-scale_in": (
        {"kind": "platform_lost", "x": 0.35, "for_s": 5.0},
        {"kind": "scale_in", "share": 0.07},
    ),
    "cut-from-store-release": (
        {"kind": "core_cut", "count": 2, "for_s": 5.0},
        {"kind": "release", "share": 0.15, "x": 1.0, "gap_s": 0.5},
    ),
    "freeze-long-prompts": (
        {"kind": "node_freeze", "share": 0.4, "for_s": 3.5},
        {"kind": "burst", "class": LONGEST_CLASS, "x": 3.0, "for_s": 2.0},
    ),
    "freeze-change-drain": (
        {"kind": "node_freeze", "share": 0.4, "for_s": 4.0},
        {"kind": "config_change", "how": "route"},
        {"kind": "scale_in", "share": 0.07},
    ),
    "silent-store-herd": (
        {"kind": "platform_down", "how": "silent lapse", "for_s": 6.0},
        {"kind": "herd_kill", "share": 0.55},
    ),
    "reset-store-roll": (
        {"kind": "platform_down", "how": "reset lapse", "for_s": 6.0},
        {"kind": "roll_term", "share": 0.3, "x": 1.0, "gap_s": 0.5},
    ),
    "busy-store-kill": (
        {"kind": "platform_down", "how": "busy lapse", "for_s": 6.0},
        {"kind": "node_kill", "share": 0.3, "for_s": 2.0},
    ),
    "cut-reuse": (
        {"kind": "zone_cut", "for_s": 6.0},
        {"kind": "replace_with_reuse", "share": 0.1},
    ),
    "crash-late-orders": (
        {"kind": "applied_late", "x": 0.5, "for_s": 6.0},
        {"kind": "srv_crash", "share": 0.1, "for_s": 2.0},
    ),
    "reset-cut-lost-answers": (
        {"kind": "node_cut", "how": "reset", "share": 0.3, "for_s": 5.0},
        {"kind": "answer_lost", "share": 0.5, "x": 0.2, "for_s": 1.5},
    ),
    "abuse-garble": (
        {"kind": "retry_abuse", "x": 3.0, "share": 0.3, "for_s": 6.0},
        {"kind": "garble", "how": "extra late", "share": 0.6, "x": 0.1, "for_s": 2.0},
        {"kind": "garble", "how": "unframed", "share": 0.6, "x": 0.1, "for_s": 2.0},
        {"kind": "garble", "how": "early", "share": 0.6, "x": 0.1, "for_s": 2.0},
        {"kind": "give_up", "share": 0.2, "for_s": 2.0},
    ),
    "roll-reset": (
        {"kind": "roll_term", "how": "busy", "gap_s": 1.0, "for_s": 6.0},
        {"kind": "reset_conns", "share": 0.3, "x": 0.5},
    ),
    "clock-store-storm": (
        {"kind": "platform_down", "how": "silent", "for_s": 5.0},
        {"kind": "clock_step", "how": "back", "share": 0.4, "x": 2400.0, "for_s": 2.0},
        {"kind": "config_storm", "for_s": 1.5, "gap_s": 0.33},
    ),
    "lossy-hot_key": (
        {"kind": "lossy", "x": 0.05, "for_s": 6.0},
        {"kind": "hot_key", "class": LONGEST_CLASS, "share": 0.5, "for_s": 2.0},
    ),
    "herd-big_config": (
        {"kind": "herd_kill", "share": 0.55, "for_s": 2.0},
        {"kind": "big_config", "count": 200},
    ),
}


def write_days(days: Path) -> None:
    """Write a file per kind and strength, and one per pair in a sub-folder."""
    (days / PAIRS_FOLDER).mkdir(parents=True, exist_ok=True)
    for name, entry in KINDS.items():
        kind = name.partition("-")[0]
        single = at(START_SECONDS, {"kind": kind, **entry})
        write(days / f"{name}.toml", [single])
        write(days / f"{name}-twice.toml", [double(kind, single)])
    for name, entries in PAIRS.items():
        write(days / PAIRS_FOLDER / f"{name}.toml", overlap(*entries))


def double(kind: str, entry: Entry) -> Entry:
    """Return an entry with the first of x, share, count and for_s doubled."""
    field = next((f for f in ("x", "share", "count", "for_s") if f in entry), None)
    if field is None:
        return entry
    doubled = entry[field] * 2
    is_share = field == "share" or (field == "x" and kind in KINDS_WITH_X_AS_SHARE)
    return {**entry, field: min(doubled, 1.0) if is_share else doubled}


def overlap(first: Entry, *others: Entry) -> list[Entry]:
    """Return the first entry, and the others before, during and after it."""
    duration = first.get("for_s", DEFAULT_DURATION_SECONDS)
    starts = (
        START_SECONDS - PAIR_GAP_SECONDS,
        START_SECONDS + duration / 2,
        START_SECONDS + duration + PAIR_GAP_SECONDS,
    )
    entries = [at(START_SECONDS, first)]
    for start in starts:
        for index, other in enumerate(others):
            entries.append(at(start + index * STAGGER_SECONDS, other))
    return entries


def at(seconds: float, entry: Entry) -> Entry:
    """Return the entry with its start time in seconds since the traffic began."""
    return {"at": round(seconds, 2), **entry}


def write(path: Path, entries: list[Entry]) -> None:
    """Write a day file with the given impairments."""
    text = f'[[day]]\nname = "{path.stem}"\nslot = "trouble"\nseed = {SEED}\n'
    text += f"labels = []\nlength_s = {LENGTH_SECONDS}\n"
    for group in ("plan", "faults"):
        rows = [
            row for row in entries if (row["kind"] in PLAN_KINDS) == (group == "plan")
        ]
        if rows:
            lines = "".join(f"  {inline_table(row)},\n" for row in rows)
            text += f"{group} = [\n{lines}]\n"
    path.write_text(text, encoding="utf-8")


def inline_table(entry: Entry) -> str:
    """Format an entry as a TOML inline table."""
    pairs = ", ".join(f"{key} = {json.dumps(value)}" for key, value in entry.items())
    return f"{{ {pairs} }}"
