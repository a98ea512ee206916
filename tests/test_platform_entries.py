"""Tests that invalid target entries are ignored and valid ones are used."""

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

VALID_ENTRY = {
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
MAX_EXAMPLES = 100
ANY_JSON_VALUE = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda children: (
        st.lists(children) | st.dictionaries(st.text(max_size=9), children)
    ),
    max_leaves=12,
)


def encode_entry(entry):
    return json.dumps(entry).encode("utf-8", "surrogatepass")


def is_valid(field, value):
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
def draw_invalid_entry(draw):
    """Return a target's entry made invalid by the change of one field."""
    entry = dict(VALID_ENTRY)
    field = draw(st.sampled_from([name for name in VALID_ENTRY if name != "born"]))
    if draw(st.booleans()):
        del entry[field]
    else:
        invalid_values = ANY_JSON_VALUE.filter(lambda value: not is_valid(field, value))
        entry[field] = draw(invalid_values)
    return encode_entry(entry)


INVALID_ENTRIES = (
    st.binary(max_size=200)
    | ANY_JSON_VALUE.map(encode_entry)
    | draw_invalid_entry()
    | st.sampled_from(
        [b"[" * 100_000, b"\xff\xfe", encode_entry({**VALID_ENTRY, "born": "1"})]
    )
    | st.sampled_from(
        [encode_entry({**VALID_ENTRY, "born": True}), b'{"slots": 1e999}', b"9" * 5_000]
    )
)


@pytest.fixture
def publications():
    return build_publications()


def build_publications():
    gateway_settings = GatewaySettings(
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
    state = GatewayState(gateway_settings, HeaderNames(), Paths())
    peers = Peers(state)
    polling_order = CellTracker(state, peers, read_clock).get_polling_order
    return PublicationTask(state, None, DocumentParser(), peers, polling_order)


def apply_records(publications, *records):
    newest = max(record.revision for record in records)
    publications.apply(RecordBatch(records, newest, False), 0)
    return [target.name for target in publications._state.registry.get_ready("s")]


@settings(max_examples=MAX_EXAMPLES, deadline=None)
@given(
    entries=st.lists(INVALID_ENTRIES | st.just(None), min_size=1, max_size=8),
    data=st.data(),
)
def test_invalid_entries_are_ignored_and_valid_ones_are_used(entries, data):
    """Another writer leaves arbitrary bytes among the entries, in any order.

    Nothing raises, no invalid entry becomes a target, and the targets of all valid
    entries between them are used.
    """
    values = [
        encode_entry(VALID_ENTRY) if entry is None else entry for entry in entries
    ]
    order = data.draw(st.permutations(range(len(values))))
    records = [
        Record(f"servers/i-{position}", 10 + position, values[position])
        for position in order
    ]
    publications = build_publications()
    publications._state.registry.set_services(["s"])
    # Addresses are unique, since a target at a known address replaces the older one.
    valid_ids = {
        f"i-{position}" for position, entry in enumerate(entries) if entry is None
    }
    records = [
        Record(r.key, r.revision, set_address(r.value, position))
        if entries[position] is None
        else r
        for position, r in zip(order, records, strict=True)
    ]
    assert set(apply_records(publications, *records)) == valid_ids


def set_address(value, position):
    return encode_entry(
        {**json.loads(value), "address": f"10.0.0.1:{8_000 + position}"}
    )


@pytest.mark.parametrize("key", ["", "a b", "a\r\nx: y", "a.b", "a/b", "é", "x" * 101])
def test_a_key_that_is_not_a_valid_id_is_ignored(publications, key):
    assert (
        apply_records(
            publications, Record(f"servers/{key}", 1, encode_entry(VALID_ENTRY))
        )
        == []
    )


def test_a_target_whose_entry_was_overwritten_is_not_used(publications):
    """Another writer overwrites a target's entry with bytes that cannot be parsed.

    The state of the target is then unknown, so it gets no work until it has written its
    entry again, about a second later.
    """
    assert apply_records(
        publications, Record("servers/i-1", 1, encode_entry(VALID_ENTRY))
    ) == ["i-1"]
    assert apply_records(publications, Record("servers/i-1", 2, b"\xff")) == []
    assert publications._state.metrics.get_count("target_records_refused") == 1
    assert apply_records(
        publications, Record("servers/i-1", 3, encode_entry(VALID_ENTRY))
    ) == ["i-1"]
