"""Tests of the command-line tool against real hosts."""

import asyncio
import json
import os
import sys
from pathlib import Path

import pytest

from tarragonward_cli import const as c
from tarragonward_standins.answers import expect_answer
from tarragonward_standins.site import SitePlan
from tarragonward_wire import async_send_http

PLAN = SitePlan(hosts_per_domain=1, engines_per_domain=1)
WEIGHT_PATCH = {
    "base": 0,
    "operations": [
        {"op": "replace", "path": "/client_accounts/camara/weight", "value": 7}
    ],
}


class CommandLine:
    """Runs the command-line tool as a process with a caller's and operator's token."""

    def __init__(self, site):
        self.site = site
        self.environment = {
            **os.environ,
            c.ENV_TOKEN: site.tokens["camara"],
            c.ENV_OPERATOR_TOKEN: site.operator_token,
        }

    async def async_run(self, *arguments, operators=False, hosts=()):
        """Return exit code, standard output and standard error."""
        names = hosts or list(self.site.hosts)
        selected = [self.site.hosts[name] for name in names]
        addresses = [str(h.operators if operators else h.callers) for h in selected]
        options = [f"--host={address}" for address in addresses]
        process = await asyncio.create_subprocess_exec(
            str(Path(sys.executable).parent / "tarragonward"),
            *arguments,
            *options,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env=self.environment,
        )
        async with asyncio.timeout(60):
            output, errors = await process.communicate()
        return process.returncode, output.decode(), errors.decode()


@pytest.fixture
async def command_line(make_site):
    return CommandLine(await make_site(PLAN))


async def async_count_runs(site):
    runs = {}
    for address in site.services.values():
        answer = await async_send_http(address, "GET", "/runs", timeout=5)
        runs.update(answer.parse_json())
    return runs


async def test_caller_commands_fail_over_to_another_host(command_line):
    """One of the two hosts given to the tool is down.

    The request and the call go to the other host in whichever order the addresses are
    tried, and the call runs once.
    """
    await command_line.site.async_kill("entry-north-1")
    expected = expect_answer("Rewrite bay 4", 20).text
    request = ("request", PLAN.model, "Rewrite bay 4", "--max-tokens=20")
    assert (await command_line.async_run(*request))[:2] == (c.EXIT_OK, expected + "\n")
    code, output, _ = await command_line.async_run(*request, "--json")
    assert (code, json.loads(output)["text"]) == (c.EXIT_OK, expected)
    code, output, errors = await command_line.async_run(
        "call", "approvals", "approve", "slot"
    )
    assert (code, json.loads(output)["run"]) == (c.EXIT_OK, 1)
    key = errors.split()[1]
    assert (await async_count_runs(command_line.site))[key] == 1
    repeat = await command_line.async_run(
        "call", "approvals", "approve", "slot", f"--key={key}"
    )
    assert repeat[:2] == (c.EXIT_OK, output)
    assert (await async_count_runs(command_line.site))[key] == 1


async def test_a_call_whose_owner_was_killed_is_reported_as_unknown(command_line):
    """The owner runs the call, answers and is killed; the caller repeats it by its key.

    No other host may know the outcome or run the call. The tool must report an unknown
    outcome by its exit code, never "not run", and must not send the call under a new
    key.
    """
    first = "entry-north-1"
    _, _, errors = await command_line.async_run(
        "call", "approvals", "approve", "slot", hosts=[first]
    )
    key = errors.split()[1]
    await command_line.site.async_kill(first)
    code, output, _ = await command_line.async_run(
        "call", "approvals", "approve", "slot", f"--key={key}", "--json"
    )
    assert code == c.EXIT_UNKNOWN_OUTCOME
    assert json.loads(output)["outcome"] == "unknown"
    assert sum((await async_count_runs(command_line.site)).values()) == 1


async def test_exit_codes_distinguish_reasons_of_failure(command_line, tmp_path):
    call = ("call", "approvals")
    refused = await command_line.async_run(*call, "approve", "refuse", "--time-limit=2")
    assert refused[0] == c.EXIT_FAILED
    assert "TARGET_REFUSED" in refused[2]
    foreign_key = await command_line.async_run(*call, "approve", "--key=a.b.c")
    assert foreign_key[0] == c.EXIT_UNKNOWN_OUTCOME
    assert (await command_line.async_run(*call, "nothing"))[0] == c.EXIT_FAILED
    unknown_model = await command_line.async_run("request", "nothing", "a")
    assert unknown_model[0] == c.EXIT_FAILED
    assert "UNKNOWN_MODEL" in unknown_model[2]
    usage = await command_line.async_run("request", "nothing", "a", "--time-limit=nan")
    assert usage[0] == c.EXIT_USAGE
    for arguments in (
        ("request",),
        ("nothing",),
        ("call", "a", "b", "--no-such-option"),
    ):
        assert (await command_line.async_run(*arguments))[0] == c.EXIT_USAGE
    empty = tmp_path / "no.token"
    token = await command_line.async_run(
        "request", "nothing", "a", f"--token-file={empty}"
    )
    assert token[0] == c.EXIT_USAGE
    for name in list(command_line.site.hosts):
        await command_line.site.async_kill(name)
    no_host = await command_line.async_run("request", PLAN.model, "a", "--time-limit=1")
    assert no_host[0] == c.EXIT_NO_HOST
    assert (await command_line.async_run("status", operators=True))[0] == c.EXIT_NO_HOST


async def test_operator_commands_show_hosts_targets_and_patch_changes(
    command_line, tmp_path
):
    patch = tmp_path / "patch.json"
    patch.write_text(json.dumps(WEIGHT_PATCH))
    code, output, _ = await command_line.async_run("status", "--json", operators=True)
    assert (code, {s["name"] for s in json.loads(output)}) == (
        0,
        set(command_line.site.hosts),
    )
    _, output, _ = await command_line.async_run("targets", operators=True)
    assert all(name in output for name in command_line.site.engines)
    _, output, _ = await command_line.async_run("config", "show", operators=True)
    assert json.loads(output)["number"] == 0
    check = ("config", "check", str(patch))
    code, output, _ = await command_line.async_run(*check, operators=True)
    path = "/client_accounts/camara/weight"
    assert code == c.EXIT_OK
    assert f"- {path}: 1" in output and f"+ {path}: 7" in output
    await command_line.site.async_publish(0, WEIGHT_PATCH["operations"])
    async with asyncio.timeout(10):
        for name in command_line.site.hosts:
            while await async_get_number(command_line.site, name) != 1:
                await asyncio.sleep(0.05)
    code, output, _ = await command_line.async_run(*check, operators=True)
    assert (code, output) == (
        c.EXIT_FAILED,
        "stale: written against 0, but 1 is in force\n",
    )
    patch.write_text(json.dumps({"base": 1, "operations": [{"op": "remove"}]}))
    code, output, _ = await command_line.async_run(*check, operators=True)
    assert (code, output.partition(":")[0]) == (c.EXIT_FAILED, "invalid")


async def async_get_number(site, name):
    status = await site.async_query_operators(name, "/v1/status")
    return status["configuration_number"]
