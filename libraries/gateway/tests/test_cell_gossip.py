"""Tests of the gossip about engines between cells."""

import asyncio

import pytest

from tarragonward_core import Address, HostIdentity
from tarragonward_gateway import cell_gossip
from tarragonward_gateway.cell_gossip import SECTION, CellGossip
from tarragonward_gateway.clock import read_clock
from tarragonward_gateway.peers import Peers
from tarragonward_gateway.targets import SECTION as PROMPTS_SECTION
from tarragonward_gateway.targets import TargetChooser
from tarragonward_membership import Hello, HelloReceived
from tarragonward_placement import PrefillPlan, PromptRequirements
from tarragonward_placement import const as placement_const
from tarragonward_routes import CallerLimits, EngineModel, RoutingTable, Service

CELL_PEER, REMOTE_HOST = Address("10.0.0.1", 1), Address("10.0.0.2", 1)
LONG = PromptRequirements(260_000, 700, 4.0, 1.0)
SIZE = 400
ENGINE = EngineModel(8, 450_000, 46, 2_048, 0.001, 0.00001, 3e-9, 256_000.0, 9e-11)


@pytest.fixture
def gossip_setup(build_peer_state, monkeypatch):
    """Return a chooser, its gossip, and the list of sections sent with recipients."""
    monkeypatch.setattr(cell_gossip, "MAX_MESH_PEERS", 1)
    state = build_peer_state(0)
    state.install_table(
        RoutingTable(
            1, (), {"s": Service("s", 9, engine=ENGINE)}, CallerLimits(), {}, False
        )
    )
    peers, chooser = Peers(state), TargetChooser(state, lambda: 5.0)
    sent = []

    def send_section_to(section, to):
        sent.append((section, list(to)))
        return SIZE

    monkeypatch.setattr(peers, "send_section_to", send_section_to)
    for number, address in enumerate((CELL_PEER, REMOTE_HOST)):
        identity = HostIdentity(address, number)
        hello = Hello(identity, f"h{number}", "d", 1, 3, False, ())
        peers.members.handle(HelloReceived(hello), 0.0)
    peers.set_cell_peers([CELL_PEER])
    return chooser, CellGossip(state, peers, chooser), sent


def begin(chooser, seconds):
    plan = PrefillPlan(("e1",), seconds, {"e1": seconds}, seconds, 0.0)
    work = plan.build_work(LONG, 5.0)
    chooser.usage.begin(work)
    return work


def test_long_prefill_is_sent_at_once_to_hosts_of_other_cells(gossip_setup):
    """Without the message, hosts of other cells would choose the same engines."""
    chooser, _, messages = gossip_setup
    begin(chooser, placement_const.IMMEDIATE_NOTICE_SECONDS)
    assert not messages
    begin(chooser, placement_const.BLOCKING_PREFILL_SECONDS)
    assert messages == [(PROMPTS_SECTION, [REMOTE_HOST])]


def test_continuing_prefill_is_sent_again(gossip_setup, monkeypatch):
    """Hints expire sooner than the longest prefills end."""
    chooser, gossip, messages = gossip_setup
    work = begin(chooser, 6.0)
    now = 5.0 + cell_gossip.c.PREFILL_REPEAT_SECONDS
    monkeypatch.setattr(cell_gossip, "read_clock", lambda: now)
    gossip._sent_at = 5.0
    gossip._resend_long_prefill([REMOTE_HOST])
    assert messages[-1] == (PROMPTS_SECTION, [REMOTE_HOST]) and len(messages) == 2
    gossip._resend_long_prefill([REMOTE_HOST])
    assert len(messages) == 2
    chooser.usage.end(work)
    gossip._sent_at = float("-inf")
    gossip._resend_long_prefill([REMOTE_HOST])
    assert len(messages) == 2


async def test_engine_summaries_are_sent_to_hosts_of_other_cells(
    gossip_setup, monkeypatch
):
    monkeypatch.setattr(cell_gossip.c, "CELL_GOSSIP_INTERVAL_SECONDS", 0.01)
    _, gossip, messages = gossip_setup
    await gossip.async_setup()
    try:
        while not messages:
            await asyncio.sleep(0.01)
    finally:
        await gossip.async_unload()
    assert messages[0] == (SECTION, [REMOTE_HOST])


def test_gossip_about_prefills_to_other_cells_is_bounded(gossip_setup, monkeypatch):
    """With hundreds of hosts, a message to all per long prompt overloaded each host."""
    chooser, _, messages = gossip_setup
    rate = cell_gossip.c.MAX_PREFILL_GOSSIP_BYTES_PER_SECOND
    clock = [read_clock()]
    monkeypatch.setattr(cell_gossip, "read_clock", lambda: clock[0])
    seconds = 10
    for _ in range(seconds * 100):
        clock[0] += 0.01
        begin(chooser, placement_const.BLOCKING_PREFILL_SECONDS)
    sent = sum(SIZE * len(addresses) for _, addresses in messages)
    assert rate * seconds / 2 < sent <= rate * (seconds + 1) + SIZE


def test_very_large_fleet_sends_nothing_beyond_its_cells(gossip_setup, monkeypatch):
    """No host plans across cells among thousands of engines, so gossip has no use."""
    chooser, gossip, messages = gossip_setup
    assert gossip._list_remote_hosts() == [REMOTE_HOST]
    monkeypatch.setattr(cell_gossip.c, "MAX_CROSS_CELL_ENGINES", -1)
    assert gossip._list_remote_hosts() == []
    begin(chooser, placement_const.BLOCKING_PREFILL_SECONDS)
    assert not messages
