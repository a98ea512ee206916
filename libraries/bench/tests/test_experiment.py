"""The experiment tool: its arrivals, its engines, its worth, and its policies."""

from dataclasses import replace
from pathlib import Path

import pytest

from tarragonward_bench.experiment.arrivals import Arrival, Outcome, draw_arrivals
from tarragonward_bench.experiment.main import main, play_seed
from tarragonward_bench.experiment.policies import POLICIES, use_numbers
from tarragonward_bench.experiment.report import (
    compute_worth,
    print_changes,
    print_predictions,
    summarise,
)
from tarragonward_bench.experiment.site import read_site, scale_site
from tarragonward_placement import const

SITES = sorted((Path(__file__).parents[3] / "examples/sites").glob("*.toml"))
SECONDS = 6.0
# Prompts are packed, so that less would not need a half of the engines.
LARGE_LOAD = 1.5
SHIFTED = Path(__file__).parents[3] / "examples/sites/shelfwise-shifted.toml"


@pytest.fixture
def site():
    return read_site(SITES[0])


def alone(site, tokens, events):
    """Return a site of one engine, and a prompt that comes to it alone."""
    zone = replace(site.zones[0], hosts=1, engines=1)
    kind = site.prompts[0]
    return replace(site, zones=(zone,)), Arrival(0, 0.0, kind, 0, tokens, events)


def play_alone(monkeypatch, site, arrivals):
    monkeypatch.setattr(
        "tarragonward_bench.experiment.main.draw_arrivals", lambda *_: arrivals
    )
    return play_seed(site, POLICIES["round_robin"], 1, SECONDS).outcomes


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_a_seed_gives_the_same_arrivals_and_another_seed_others(path):
    site = read_site(path)
    first = draw_arrivals(site, 1, SECONDS)
    assert first == draw_arrivals(site, 1, SECONDS)
    assert first != draw_arrivals(site, 2, SECONDS)
    assert [a.at for a in first] == sorted(a.at for a in first)
    assert {a.kind.name for a in first} <= {
        kind.name for kind in (*site.prompts, *site.calls)
    }


def test_kinds_come_at_their_rate_and_more_often_in_their_turn(site):
    kind = site.prompts[0]
    turn = site.turns[1]
    site = replace(site, prompts=(kind,), calls=(), turns=(turn,))
    arrivals = [a for seed in range(20) for a in draw_arrivals(site, seed, 34.0)]
    inside = [a for a in arrivals if turn.at_s <= a.at < turn.at_s + turn.for_s]
    rate = len(inside) / 20 / turn.for_s
    outside = (len(arrivals) - len(inside)) / 20 / (34.0 - turn.for_s)
    assert outside == pytest.approx(kind.per_s, rel=0.1)
    assert rate == pytest.approx(kind.per_s * turn.factors[kind.name], rel=0.1)


def test_a_lone_prompt_takes_what_the_published_constants_say(site, monkeypatch):
    site, arrival = alone(site, 20_000, 4)
    (outcome,) = play_alone(monkeypatch, site, [arrival])
    sizes = site.sizes
    reads = -(-20_000 // sizes.chunk) * sizes.step_ms
    reads += 20_000 / sizes.read_per_s * 1_000
    reads += 20_000**2 / 2 / 1e6 * sizes.pairs_per_m
    ways = outcome.first * 1_000 - reads
    assert 2 * site.client_seconds * 1_000 <= ways <= 15
    step = sizes.step_ms + sizes.per_seq_ms + 20.0 * sizes.context_per_k
    assert outcome.worst_pause * 1_000 == pytest.approx(step * sizes.stride, rel=0.02)
    assert outcome.is_whole


def test_a_long_read_holds_the_next_event_of_a_writer(site, monkeypatch):
    site, writer = alone(site, 1_000, 20)
    reader = replace(writer, number=1, at=0.2, prompt_tokens=90_000)
    outcomes = play_alone(monkeypatch, site, [writer, reader])
    assert outcomes[0].worst_pause > site.build_engine_model().compute_prefill_seconds(
        90_000
    )


def test_a_prompt_beyond_one_engines_memory_is_refused(site, monkeypatch):
    site, arrival = alone(site, 500_000, 1)
    (outcome,) = play_alone(monkeypatch, site, [arrival])
    assert outcome.is_refused and outcome.first is None


def test_worth_is_whole_in_aim_less_when_late_and_none_when_cut(site):
    kind = site.prompts[0]
    arrival = Arrival(0, 0.0, kind, 0, 1_000, 3)
    in_aim = Outcome(arrival, first=kind.aim_ms / 1_000, is_whole=True)
    late = replace(in_aim, first=kind.aim_ms / 1_000 + 0.001)
    paused = replace(in_aim, worst_pause=kind.pause_aim_ms / 1_000 + 0.001)
    cut = replace(in_aim, is_whole=False)
    assert compute_worth(in_aim, 2.0) == (2 * kind.worth, 2 * kind.worth)
    assert compute_worth(late, 2.0)[0] == 2 * kind.late_worth
    assert compute_worth(paused, 2.0)[0] == 2 * kind.late_worth
    assert compute_worth(cut, 2.0)[0] == 0


@pytest.mark.parametrize("name", sorted(POLICIES))
def test_each_policy_plays_and_a_seed_repeats(site, name):
    outcomes = play_seed(site, POLICIES[name], 3, SECONDS).outcomes
    again = play_seed(site, POLICIES[name], 3, SECONDS).outcomes
    assert [o.first for o in outcomes] == [o.first for o in again]
    assert all(o.is_refused or o.first is None or o.first > 0 for o in outcomes)
    assert 0 < summarise(site, outcomes)["all"].worth <= 1


def test_only_joint_reading_takes_more_than_one_engine(site):
    joint = play_seed(site, POLICIES["product"], 3, SECONDS).outcomes
    without = play_seed(site, POLICIES["no_joint"], 3, SECONDS).outcomes
    assert max(len(o.readers) for o in joint) > 1
    assert max(len(o.readers) for o in without) == 1


def test_numbers_hold_while_a_policy_plays_and_unknown_ones_are_refused():
    before = const.PREFILL_ENGINE_COUNTS
    with use_numbers({"PREFILL_ENGINE_COUNTS": (1,)}):
        assert const.PREFILL_ENGINE_COUNTS == (1,)
    assert const.PREFILL_ENGINE_COUNTS == before
    with pytest.raises(KeyError), use_numbers({"NO_SUCH": 1}):
        pass


def test_a_larger_site_has_its_hosts_engines_and_rates(site):
    large = scale_site(site, 30, 2 * site.engines)
    assert (large.hosts, large.engines) == (30, 2 * site.engines)
    assert large.prompts[0].per_s == pytest.approx(2 * site.prompts[0].per_s)


def test_the_tool_prints_its_tables_and_draws(tmp_path, capsys):
    arguments = ["--seeds=1", "--seconds=3", "--jobs=1", f"--plot={tmp_path}"]
    arguments += ["--policy=least", "--policy=product", str(SITES[0])]
    assert main(arguments) == 0
    printed = capsys.readouterr().out
    assert "in aim" in printed and "decisions a second" in printed
    assert len(list(tmp_path.glob("*.png"))) == 6


def test_a_prompt_beyond_one_engine_lies_on_several_and_nothing_stays_held(
    site, monkeypatch
):
    _, arrival = alone(site, 700_000, 5)
    site = replace(site, zones=(replace(site.zones[0], hosts=1, engines=8),))
    arrival = replace(arrival, kind=site.prompts[-1])
    monkeypatch.setattr(
        "tarragonward_bench.experiment.main.draw_arrivals", lambda *_: [arrival]
    )
    played = play_seed(site, POLICIES["product"], 1, SECONDS)
    (outcome,) = played.outcomes
    assert outcome.is_whole and len(outcome.readers) > 1
    assert [node.engine.held_tokens for node in played.engines] == [0] * 8
    assert not any(node.engine.tickets for node in played.engines)


def test_a_call_that_may_repeat_is_sent_once_more_and_another_is_not(site, monkeypatch):
    arrivals = [
        Arrival(number, 0.0, kind, 0, work_seconds=0.01, failures=1)
        for number, kind in enumerate(site.calls)
    ]
    outcomes = play_alone(monkeypatch, site, arrivals)
    for outcome in outcomes:
        assert outcome.is_whole == outcome.arrival.kind.may_repeat
        assert outcome.sends == 1 + outcome.arrival.kind.may_repeat


def test_a_lone_prompts_first_event_is_near_its_prediction(site, monkeypatch, capsys):
    """Nothing else is read or written, so only the ways are not predicted."""
    site, arrival = alone(site, 20_000, 4)
    monkeypatch.setattr(
        "tarragonward_bench.experiment.main.draw_arrivals", lambda *_: [arrival]
    )
    played = play_seed(site, POLICIES["product"], 1, SECONDS)
    (outcome,) = played.outcomes
    assert 0 < outcome.heard - outcome.predicted < 0.02
    print_predictions([played])
    assert "to_32k" in capsys.readouterr().out


def test_changes_are_taken_seed_by_seed(site, capsys):
    """A policy against itself changes nothing, whatever its seeds differ by."""
    plays = [play_seed(site, POLICIES["least"], seed, SECONDS) for seed in (1, 2)]
    same = [replace(played, policy="same") for played in plays]
    print_changes(site, [*plays, *same])
    lines = capsys.readouterr().out.splitlines()
    assert [line.count("+0.000 +- 0.000") for line in lines if "same" in line] == [4, 4]


def test_a_large_fleet_serves_as_a_small_one_by_what_a_domain_knows():
    """Short prompts and the longest ones are late, while engines nearby idle.

    195 hosts before 172 engines, the full load of their sheet for 16 s. The longest
    prompts take several engines for seconds, while chance gives some hosts two or three
    times the callers of others. In aim, all prompts and the longest kind: 0.78 and 0.73
    in cells of nine hosts, 0.955 and 0.957 in cells of a failure domain that hear of
    each prompt.
    """
    site = read_site(SITES[0].with_name("shelfwise-large.toml"))
    played = play_seed(site, POLICIES["product"], 1, 16.0)
    figures = summarise(site, played.outcomes)
    assert figures["all"].in_aim > 0.9
    assert figures["store-redraft"].in_aim > 0.9


def test_hosts_of_a_large_fleet_keep_to_their_cells(site):
    """A prompt is read by the engines of its host's cell, which few hosts use."""
    large = scale_site(site, 36, 24, load=LARGE_LOAD)
    played = play_seed(large, POLICIES["no_widening"], 1, SECONDS)
    used = {}
    for outcome in played.outcomes:
        if outcome.readers and outcome.sends == 1:
            used.setdefault(outcome.arrival.host, set()).update(outcome.readers)
    assert max(map(len, used.values())) < len(played.engines) / 2
    whole = play_seed(large, POLICIES["no_cells"], 1, SECONDS)
    everywhere = set().union(*(o.readers for o in whole.outcomes if o.readers))
    assert len(everywhere) > len(played.engines) / 2


def test_few_prompts_go_beyond_their_cell_where_load_is_even(site):
    """Less is known of the engines there, so hosts would meet on the same ones."""
    large = scale_site(site, 36, 24, load=LARGE_LOAD)
    played = play_seed(large, POLICIES["product"], 1, SECONDS)
    zones = {engine.name: engine.zone for engine in played.engines}
    read = [o for o in played.outcomes if o.readers and o.sends == 1]
    beyond = [o for o in read if len({zones[name] for name in o.readers}) > 1]
    assert len(beyond) <= len(read) / 20


def test_a_burst_of_long_prompts_in_one_domain_finds_engines_in_the_others():
    """Most callers come to one failure domain; the engines of the others idle."""
    site = scale_site(read_site(SHIFTED), 27, 30)
    first, *others = site.zones
    zones = (replace(first, weight=8.0), *(replace(z, weight=1.0) for z in others))
    short, middle, long = site.prompts
    short, long = (replace(k, per_s=f * k.per_s) for k, f in ((short, 0.5), (long, 3)))
    prompts = (short, middle, long)
    site = replace(site, zones=zones, prompts=prompts, turns=())

    def count_in_aim(policy):
        outcomes = [
            outcome
            for seed in (1, 2)
            for outcome in play_seed(site, POLICIES[policy], seed, 8.0).outcomes
            if outcome.arrival.kind.name == long.name
        ]
        return sum(o.first is not None and o.first <= 4.0 for o in outcomes)

    assert count_in_aim("product") >= 2 * count_in_aim("no_widening") > 0
