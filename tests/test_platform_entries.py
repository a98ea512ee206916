"""Entries of any writer: they name no target, and those of targets hold."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonward_core import Address
from tarragonward_gateway import GatewaySettings, HeaderNames, Paths, Record
from tarragonward_gateway.cells import CellTracker
from tarragonward_gateway.clock import read_clock
from tarragonward_gateway.peers import Peers
from tarragonward_gateway.publications import PublicationTask
from tarragonward_gateway.record_store import RecordBatch
from tarragonward_gateway.settings import Bounds
from tarragonward_gateway.state import GatewayState
from tarragonward_platform.documents import DocumentParser

GOOD = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 3,
    "born": 1_769_576_506_004,
}
MANY = 100
ANYTHING = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=9), inner),
    max_leaves=12,
)


def write(entry):
    return json.dumps(entry).encode("utf-8", "surrogatepass")


def is_right(field, value):
    """Return whether a value may stand in a field of a target's entry."""
    if field == "coldLeftMs":
        return type(value) in (int, float) and 0 <= value <= 86_400_000
    if field in ("seq", "born"):
        return type(value) is int
    if field == "slots":
        return type(value) is int and 1 <= value <= 1 << 20
    if field == "state":
        return value in ("ready", "draining")
    return type(value) is str and 1 <= len(value) <= 200 and field != "address"


@st.composite
def draw_bad_entry(draw):
    """Return a target's entry that one change makes one which names no target."""
    entry = dict(GOOD)
    field = draw(st.sampled_from([name for name in GOOD if name != "born"]))
    if draw(st.booleans()):
        del entry[field]
    else:
        wrong = ANYTHING.filter(lambda value: not is_right(field, value))
        entry[field] = draw(wrong)
    return write(entry)


BAD = (
    st.binary(max_size=200)
    | ANYTHING.map(write)
    | draw_bad_entry()
    | st.sampled_from([b"[" * 100_000, b"\xff\xfe", write({**GOOD, "born": "1"})])
    | st.sampled_from(
        [write({**GOOD, "born": True}), b'{"slots": 1e999}', b"9" * 5_000]
    )
)


@pytest.fixture
def publications():
    return build_publications()


def build_publications():
    settings_ = GatewaySettings(
        name="h",
        failure_domain="d",
        callers=Address("127.0.0.1", 1),
        health=Address("127.0.0.1", 2),
        control=Address("127.0.0.1", 3),
        peers=Address("127.0.0.1", 4),
        seeds=(),
        source=Address("127.0.0.1", 5),
        bounds=Bounds(),
    )
    state = GatewayState(settings_, HeaderNames(), Paths())
    peers = Peers(state)
    place = CellTracker(state, peers, read_clock).get_polling_order
    return PublicationTask(state, None, DocumentParser(), peers, place)


def take(publications, *records):
    newest = max(record.revision for record in records)
    publications.apply(RecordBatch(records, newest, False), 0)
    return [target.name for target in publications._state.registry.get_ready("s")]


@settings(max_examples=MANY, deadline=None)
@given(entries=st.lists(BAD | st.just(None), min_size=1, max_size=8), data=st.data())
def test_any_bytes_in_an_entry_name_no_target_and_the_others_hold(entries, data):
    """Another writer leaves bytes of any kind among the entries, in any order.

    Nothing raises, none of them names a target that gets work, and the targets whose
    own entries stand between them are all used.
    """
    values = [write(GOOD) if entry is None else entry for entry in entries]
    order = data.draw(st.permutations(range(len(values))))
    records = [
        Record(f"servers/i-{place}", 10 + place, values[place]) for place in order
    ]
    publications = build_publications()
    publications._state.registry.set_services(["s"])
    # Each has an address of its own, so that none takes another one's place.
    good = {f"i-{place}" for place, entry in enumerate(entries) if entry is None}
    records = [
        Record(r.key, r.revision, set_address(r.value, place))
        if entries[place] is None
        else r
        for place, r in zip(order, records, strict=True)
    ]
    assert set(take(publications, *records)) == good


def set_address(value, place):
    return write({**json.loads(value), "address": f"10.0.0.1:{8_000 + place}"})


@pytest.mark.parametrize("key", ["", "a b", "a\r\nx: y", "a.b", "a/b", "é", "x" * 101])
def test_a_key_that_can_be_no_id_names_no_target(publications, key):
    assert take(publications, Record(f"servers/{key}", 1, write(GOOD))) == []


def test_a_target_whose_entry_another_writer_replaced_is_not_used(publications):
    """An engine's entry is overwritten with bytes that say nothing, and it goes on.

    What the other writer knew is unknown here, so the engine gets no work until it
    has written its entry again, about a second later.
    """
    assert take(publications, Record("servers/i-1", 1, write(GOOD))) == ["i-1"]
    assert take(publications, Record("servers/i-1", 2, b"\xff")) == []
    assert publications._state.metrics.get_count("target_records_refused") == 1
    assert take(publications, Record("servers/i-1", 3, write(GOOD))) == ["i-1"]
