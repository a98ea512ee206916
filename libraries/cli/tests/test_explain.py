"""Tests of the explain command and of settings check."""

from cleo.testers.command_tester import CommandTester

from tarragonward_cli.explain import explain
from tarragonward_cli.log_lines import order_lines, parse_line
from tarragonward_cli.main import build_application


def build_line(up, event, host="entry-1", jump=0.0, **fields):
    text = " ".join(f"{key}={value}" for key, value in fields.items())
    at = 1000.0 + up + jump
    return f"at={at:.3f} up={up:.3f} host={host} event={event} {text}"


def parse(texts):
    return [line for line in map(parse_line, texts) if line is not None]


def test_lines_are_ordered_by_uptime_if_wall_clock_jumps():
    """The wall clock jumps by an hour and back while a request is in progress.

    Sorted by wall-clock time, the request's lines would come after all others.
    """
    lines = parse(
        [
            build_line(0.0, "host_started"),
            build_line(5.0, "table_in_force"),
            build_line(3.0, "target_chosen", jump=3600, request_id="r1"),
            build_line(4.0, "request_ended", jump=3600, request_id="r1"),
            build_line(6.0, "source_lost"),
            build_line(7.0, "source_regained"),
            build_line(3.5, "source_lost", host="entry-2"),
        ]
    )
    assert [line.up for _, line in order_lines(lines)] == [0, 3, 3.5, 4, 5, 6, 7]


def test_collector_prefix_and_other_lines_are_handled():
    texts = [
        "  30.02 entry-1 " + build_line(1.0, "request_ended", request_id="r1"),
        "Traceback (most recent call last):",
        "at=x up=y event=z",
        'at=1.0 up=1.0 event=request_ended request_id="a b" path="x\\" event=forged"',
    ]
    lines = parse(texts)
    assert [line.event for line in lines] == ["request_ended", "request_ended"]
    assert lines[1].fields["path"] == 'x" event=forged'


def test_explain_finds_the_event_that_ended_the_request():
    """A stream is resumed on another engine and then exceeds its time limit."""
    found = explain(
        "r1",
        parse(
            [
                build_line(0.0, "host_started"),
                build_line(0.5, "target_registered", target="i-1"),
                build_line(1.0, "source_lost", error="silent"),
                build_line(2.0, "target_chosen", request_id="r1", target="i-1"),
                build_line(2.5, "request_resumed", request_id="r1", reason="lost"),
                build_line(2.5, "target_chosen", request_id="r1", target="i-2"),
                build_line(
                    4.0, "end_decided", request_id="r1", outcome="broken", reason="time"
                ),
                build_line(4.0, "request_ended", request_id="r1", outcome="broken"),
                build_line(2.1, "target_chosen", request_id="r2", target="i-1"),
                build_line(9.0, "source_regained"),
            ]
        ),
    )
    assert found.end.event == "end_decided"
    assert found.end.fields["reason"] == "time"
    assert found.outcome == "broken"
    assert len(found.trail) == 5
    assert [line.event for _, line in found.targets] == ["target_registered"]
    assert [line.event for _, line in found.meanwhile] == [
        "host_started",
        "source_lost",
    ]


def test_states_set_long_before_a_refusal_are_shown(tmp_path):
    """A draining host refuses a request more than three seconds after the drain began.

    The events that explain the refusal are older than the context shown around it, so
    states that still hold are shown regardless of age, only for that host.
    """
    log = tmp_path / "log"
    log.write_text(
        "\n".join(
            [
                build_line(0.0, "host_started"),
                build_line(1.0, "table_in_force", version=2),
                build_line(2.0, "source_lost", error="silent"),
                build_line(3.0, "table_in_force", version=4),
                build_line(4.0, "source_regained"),
                build_line(10.0, "drain_started", in_flight=1),
                build_line(13.1, "request_ended", request_id="r1", outcome="DRAINING"),
                build_line(0.0, "host_started", host="entry-2"),
                build_line(9.0, "drain_started", host="entry-2", in_flight=7),
            ]
        )
    )
    shown = run("explain", f"r1 {log}")
    assert shown.status_code == 0
    text = shown.io.fetch_output()
    assert "drain_started  in_flight=1" in text
    assert "table_in_force  version=4" in text
    assert "source_regained" in text
    assert "version=2" not in text
    assert "source_lost" not in text
    assert "in_flight=7" not in text


def test_drain_of_an_earlier_incarnation_is_not_shown(tmp_path):
    log = tmp_path / "log"
    lines = [
        build_line(0.0, "host_started"),
        build_line(1.0, "drain_started", in_flight=1),
        build_line(0.0, "host_started", jump=20),
        build_line(9.0, "request_ended", jump=20, request_id="r1", outcome="NOT_READY"),
    ]
    log.write_text("\n".join(lines))
    text = run("explain", f"r1 {log}").io.fetch_output()
    assert "host_started" in text
    assert "drain_started" not in text


def test_unknown_request_reports_dropped_lines(tmp_path):
    log = tmp_path / "log"
    log.write_text(build_line(1.0, "log_lines_dropped", lines=7) + "\n")
    tester = run("explain", f"r9 {log}")
    assert tester.status_code == 1
    assert "7 lines dropped" in tester.io.fetch_output()


def test_settings_check_accepts_gateway_settings(tmp_path):
    """The two programs have different keys; each file is checked against its own."""
    file = tmp_path / "entry.toml"
    file.write_text('[host]\nname = "e"\n[addresses]\nsource = "127.0.0.1"\n')
    tester = run("settings check", str(file))
    assert tester.status_code == 1
    assert "host.failure_domain: required key" in tester.io.fetch_error()
    addresses = ("callers", "health", "control", "peers", "source")
    text = "".join(f'{name} = "127.0.0.1:80"\n' for name in addresses)
    head = '[host]\nname = "e"\nfailure_domain = "a"\n[addresses]\nseeds = []\n'
    file.write_text(head + text)
    assert run("settings check", str(file)).status_code == 0


def run(name, arguments):
    tester = CommandTester(build_application().find(name))
    tester.execute(arguments)
    return tester


def test_ejected_target_is_shown_with_evidence():
    """The ejection of a request's target, with its evidence, is part of the answer."""
    found = explain(
        "r1",
        parse(
            [
                build_line(0.0, "host_started"),
                build_line(0.5, "target_doubted", target="i-1", evidence="silent"),
                build_line(0.6, "target_doubted", target="i-9", evidence="silent"),
                build_line(0.9, "domain_doubted", domain="d1"),
                build_line(1.0, "target_chosen", request_id="r1", target="i-1"),
                build_line(1.5, "request_ended", request_id="r1", outcome="answered"),
            ]
        ),
    )
    (_, ejected), *others = found.targets
    assert not others
    assert ejected.fields == {"target": "i-1", "evidence": "silent"}
    assert "domain_doubted" in [line.event for _, line in found.meanwhile]
