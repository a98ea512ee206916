"""Tests of the metrics address, and of the metrics and log lines of requests."""

import asyncio
from dataclasses import replace

import orjson

from tarragonward_core import Address, LineBudget, event_log
from tarragonward_gateway.clock import read_clock
from tarragonward_gateway.operators import OperatorsTask
from tarragonward_requests import Verdict, fingerprint_request
from tarragonward_routes import EngineModel, RequestKind
from tarragonward_standins import RawCaller, answer_with, async_reset, stream_events
from tarragonward_wire import async_send_http

SUSPECT = fingerprint_request("town", "GET", "app.example", b"/app/x", b"")


async def async_wait_for_end(lines):
    async with asyncio.timeout(5):
        while not any(b"event=request_ended" in data for data in lines):
            await asyncio.sleep(0.01)


async def test_successful_request_is_not_logged(make_site, lines):
    site = await make_site(answer_with())
    assert (await site.async_ask()).status == 200
    assert not lines
    assert site.state.metrics.get_count("requests") == 1


async def test_retried_request_logs_its_decisions(make_site, lines):
    """The first target resets the connection; the route allows a second attempt."""
    site = await make_site(async_reset, answer_with())
    assert (await site.async_ask()).status == 200
    text = b"".join(lines).decode()
    events = [line.split("event=")[1].split()[0] for line in text.splitlines()]
    assert events == [
        "request_taken",
        "target_chosen",
        "send_failed",
        "request_repeated",
        "target_chosen",
        "end_decided",
        "request_ended",
    ]
    assert all("request_id=r1" in line for line in text.splitlines())
    assert "reason=lost" in text


async def test_lost_connection_logs_its_cause(make_site, lines):
    site = await make_site(async_reset, attempts=1)
    await site.async_ask()
    [failed] = [line for line in lines if b"event=send_failed" in line]
    assert b"cause=target_connected" in failed
    assert site.state.metrics.get_count("lost_connections") == 1


async def test_send_of_a_suspect_logs_what_is_known_of_it(make_site, lines):
    site = await make_site(async_reset, attempts=1)
    site.forwarder.suspects.tracker.record_crash(SUSPECT, 0, 7, read_clock())
    await site.async_ask()
    [chosen] = [line for line in lines if b"event=target_chosen" in line]
    assert b"suspicion=clear crashes_known=1 crashes_counted=1" in chosen
    assert site.state.metrics.get_count("suspect_sends") == 1


async def test_disconnected_caller_is_logged_as_such(make_site, lines):
    async def script(request, writer):
        await asyncio.sleep(30)

    site = await make_site(script, kind=RequestKind.STREAM)
    caller = await RawCaller.async_open(site.server.address)
    caller.send("POST")
    while not site.runs:
        await asyncio.sleep(0.01)
    caller.writer.close()
    await async_wait_for_end(lines)
    assert b'outcome="caller left"' in lines[-1]


async def test_refusal_logs_table_version(make_site, lines):
    site = await make_site(answer_with())
    assert (await site.async_ask(path="/other")).status == 404
    assert b"outcome=UNKNOWN_ROUTE" in lines[-1]
    assert b"table=1" in lines[-1]


async def test_refusals_log_no_more_than_budget(make_site, lines):
    site = await make_site(answer_with())
    event_log.budget = LineBudget(lines_per_second=0, burst=10)
    try:
        for _ in range(30):
            await site.async_ask(path="/other")
        assert len(lines) <= 10
        assert event_log.dropped >= 20
    finally:
        event_log.budget = None


async def test_metrics_address_serves_metrics(make_site):
    site = await make_site(stream_events(range(1, 4)), kind=RequestKind.STREAM)
    free_address = Address("127.0.0.1", 0)
    site.state.settings = replace(site.state.settings, metrics=free_address)
    operators = OperatorsTask(
        site.state, site.chooser.target_health, site.forwarder.suspects
    )
    await operators.async_setup()
    await site.async_ask("POST")
    answer = await async_send_http(
        operators.server.address, "GET", "/metrics", timeout=5
    )
    await operators.async_unload()
    text = answer.body.decode()
    for name in ("requests_total", "time_to_first_event", "table_version 1.0"):
        assert f"tarragonward_{name}" in text
    assert "tarragonward_targets_resting 0.0" in text
    assert "tarragonward_domains_resting 0.0" in text


async def test_operators_list_and_clear_suspects(make_site):
    """A suspect stays refused after its targets' software is fixed, until cleared."""
    site = await make_site(answer_with())
    free_address = Address("127.0.0.1", 0)
    site.state.settings = replace(site.state.settings, metrics=free_address)
    suspects = site.forwarder.suspects
    for target in range(3):
        suspects.tracker.record_crash(b"12345678", 9, target, read_clock())
    operators = OperatorsTask(site.state, site.chooser.target_health, suspects)
    await operators.async_setup()

    async def ask(method, path):
        return await async_send_http(operators.server.address, method, path, timeout=5)

    [shown] = orjson.loads((await ask("GET", "/suspects")).body)
    assert (shown["targets_ended"], shown["verdict"]) == (3, "refused")
    path = f"/suspects/{shown['fingerprint']}"
    assert (await ask("DELETE", "/suspects/none")).status == 404
    assert (await ask("DELETE", path)).status == 200
    assert suspects.tracker.evaluate(b"12345678", read_clock()) is Verdict.CLEAR
    assert (await ask("DELETE", path)).status == 404
    await operators.async_unload()


async def test_host_serves_without_occupied_metrics_address(make_site, lines):
    site = await make_site(answer_with())
    site.state.settings = replace(site.state.settings, metrics=site.server.address)
    operators = OperatorsTask(
        site.state, site.chooser.target_health, site.forwarder.suspects
    )
    await operators.async_setup()
    assert operators.server is None
    assert b"event=metrics_unserved" in b"".join(lines)
    await operators.async_unload()


async def test_prediction_error_is_counted_and_logged(make_site, lines):
    """An engine answers half a second later than predicted, and misses the aim.

    The error is in the metrics by length class, and the request's log line has both
    the predicted and the actual time of the first event.
    """

    async def script(request, writer):
        await asyncio.sleep(0.5)
        await stream_events([1, 2])(request, writer)

    site = await make_site(script, kind=RequestKind.STREAM, aim_seconds=0.2)
    engine = EngineModel(8, 450_000, 46, 2_048, 9e-4, 1e-5, 2.5e-9, 256_000.0, 9e-11)
    table = site.state.table
    service = replace(table.services["s"], engine=engine)
    site.state.table = replace(table, services={"s": service})
    await site.async_ask("POST", lines=["X-Tokens: 2000,500"])
    metrics = site.state.metrics
    error = metrics.get_quantile("prediction_error", 0.5, length_class="to_4k")
    assert 0.4 < error < 5
    assert metrics.get_count("predictions") == 1
    fields = dict(pair.split(b"=", 1) for pair in lines[-1].split() if b"=" in pair)
    assert float(fields[b"first_event"]) - float(fields[b"predicted"]) > 0.4
