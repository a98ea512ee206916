"""Tests for the validation of settings, and for the shipped examples."""

import json
from pathlib import Path

import pytest

from tarragonward_config import load_settings, parse_configuration
from tarragonward_core import SettingsError

EXAMPLES = Path(__file__).parents[3] / "examples"
VALID = """\
[host]
name = "entry-1"
region = "amman"
failure_domain = "amman-a"
[addresses]
callers = "10.1.0.1:8000"
operators = "10.1.0.1:8001"
peers = "10.1.0.1:8002"
[platform]
configuration = ["10.1.0.9:9000"]
host_list = ["10.1.0.9:9000"]
[credentials]
peer_key_file = "peer.key"
operator_token_file = "operator.token"
[limits]
"""


def load(folder, text):
    (folder / "peer.key").write_text("k" * 32)
    (folder / "operator.token").write_text("token")
    path = folder / "entry-1.toml"
    path.write_text(text)
    return load_settings(path)


def test_valid_settings_are_typed(tmp_path):
    settings = load(tmp_path, VALID + "time_limit_seconds = 60")
    assert settings.limits.time_limit_seconds == 60
    assert "k" * 32 not in repr(settings)


def test_a_default_is_lowered_to_its_bound_in_the_file(tmp_path):
    settings = load(tmp_path, VALID + "max_time_limit_seconds = 30")
    assert settings.limits.time_limit_seconds == 30


LIMITS = {
    "time_limit = 3": "time_limit_seconds",
    "drain_timeout_seconds = nan": "0 to 3600",
    "max_body_bytes = true": "whole number",
    "max_connections = 0": "1 to 100000",
    "time_limit_seconds = 5000": "max_time_limit_seconds",
}
REPLACED = [
    ('callers = "10.1.0.1:8000"', 'callers = "host-1:8000"', "IP:port"),
    ('callers = "10.1.0.1:8000"', "callers = 8000", "IP:port"),
    ('host_list = ["10.1.0.9:9000"]', "host_list = []", "1 to 16"),
    ('name = "entry-1"', 'name = "Entry 1"', "a-z"),
    ('name = "entry-1"', "", "required"),
    ("[limits]", "[limit]", "limits"),
    ('peer_key_file = "peer.key"', 'peer_key_file = "no.key"', "No such file"),
]


def read_error(folder, text):
    with pytest.raises(SettingsError) as caught:
        load(folder, text)
    message = str(caught.value)
    assert message.startswith(f"{folder / 'entry-1.toml'}: ")
    return message


@pytest.mark.parametrize(("line", "allowed"), LIMITS.items())
def test_limit_errors_name_key_value_and_allowed_values(tmp_path, line, allowed):
    message = read_error(tmp_path, VALID + line)
    key, _, value = line.partition(" = ")
    assert f"limits.{key}: found {value}:" in message.replace("True", "true")
    assert allowed in message


@pytest.mark.parametrize(("old", "new", "allowed"), REPLACED)
def test_errors_name_key_value_and_allowed_values(tmp_path, old, new, allowed):
    message = read_error(tmp_path, VALID.replace(old, new, 1))
    key, _, found = (new or old).partition(" = ")
    assert key.strip("[]") in message
    assert (found.strip('"') if new else "found nothing") in message
    assert allowed in message


def test_all_errors_are_reported_at_once(tmp_path):
    text = VALID.replace('name = "entry-1"', 'name = ""') + "max_connections = -1"
    with pytest.raises(SettingsError) as caught:
        load(tmp_path, text)
    assert len(str(caught.value).splitlines()) == 2


@pytest.mark.parametrize(
    ("site", "domains", "engines", "hosts"),
    [("shelfwise", 3, 20, 9), ("camara", 3, 15, 7)],
)
def test_examples_are_valid_and_have_the_expected_sizes(
    tmp_path, site, domains, engines, hosts
):
    folder = EXAMPLES / site
    settings = load(tmp_path, (folder / "entry-1.toml").read_text())
    configuration = parse_configuration(
        json.loads((folder / "configuration.json").read_text()), site
    )
    listed = json.loads((folder / "hosts.json").read_text())["hosts"]
    entries = [host for host in listed if host["kind"] == "entry"]
    targets = configuration.targets.values()
    assert len(entries) == hosts
    assert settings.name in {host["name"] for host in entries}
    assert len({host["failure_domain"] for host in listed}) == domains
    assert sum(bool(target.models) for target in targets) == engines
    assert sum(bool(target.service) for target in targets) == 3
    assert {host["name"] for host in listed if host["kind"] == "target"} == set(
        configuration.targets
    )
    assert len(configuration.client_accounts) == 10
    assert any(
        not operation.is_idempotent
        for service in configuration.services.values()
        for operation in service.operations.values()
    )
