"""Tests of reading a request's trail out of the logs of several hosts."""

from cleo.testers.command_tester import CommandTester

from tarragonward_cli.explain import explain
from tarragonward_cli.log_lines import order_lines, parse_line
from tarragonward_cli.main import build_application


def make_line(up, event, host="entry-1", jump=0.0, **fields):
    text = " ".join(f"{key}={value}" for key, value in fields.items())
    at = 1000.0 + up + jump
    return f"at={at:.3f} up={up:.3f} host={host} event={event} {text}"


def parse(texts):
    return [line for line in map(parse_line, texts) if line is not None]


def test_lines_keep_their_order_when_the_time_of_day_jumps():
    """An hour's jump and back between two decisions; a trail is written at its end.

    By the time of day the send would come before the choice, and the other host's
    lines would fall between them.
    """
    lines = parse(
        [
            make_line(0.0, "host_started"),
            make_line(5.0, "table_in_force"),
            make_line(3.0, "target_chosen", jump=3600, request_id="r1"),
            make_line(4.0, "request_ended", jump=3600, request_id="r1"),
            make_line(6.0, "source_lost"),
            make_line(7.0, "source_regained"),
            make_line(3.5, "source_lost", host="entry-2"),
        ]
    )
    assert [line.up for _, line in order_lines(lines)] == [0, 3, 3.5, 4, 5, 6, 7]


def test_a_prefix_of_the_collector_and_other_lines_do_no_harm():
    texts = [
        "  30.02 entry-1 " + make_line(1.0, "request_ended", request_id="r1"),
        "Traceback (most recent call last):",
        "at=x up=y event=z",
        'at=1.0 up=1.0 event=request_ended request_id="a b" path="x\\" event=forged"',
    ]
    lines = parse(texts)
    assert [line.event for line in lines] == ["request_ended", "request_ended"]
    assert lines[1].fields["path"] == 'x" event=forged'


def test_the_decision_that_ended_a_request_is_named():
    """A stream loses its first engine, goes on at another, and its time runs out."""
    found = explain(
        "r1",
        parse(
            [
                make_line(0.0, "host_started"),
                make_line(0.5, "target_registered", target="i-1"),
                make_line(1.0, "source_lost", error="silent"),
                make_line(2.0, "target_chosen", request_id="r1", target="i-1"),
                make_line(2.5, "request_resumed", request_id="r1", reason="lost"),
                make_line(2.5, "target_chosen", request_id="r1", target="i-2"),
                make_line(
                    4.0, "end_decided", request_id="r1", outcome="broken", reason="time"
                ),
                make_line(4.0, "request_ended", request_id="r1", outcome="broken"),
                make_line(2.1, "target_chosen", request_id="r2", target="i-1"),
                make_line(9.0, "source_regained"),
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


def test_what_holds_since_long_before_a_refusal_is_shown(tmp_path):
    """A host that leaves refuses from three seconds after its drain began.

    The refusal has one line, and nothing near it says why: the drain, a lost source
    and the table are older. Each is shown while it still holds, of that host alone.
    """
    log = tmp_path / "log"
    log.write_text(
        "\n".join(
            [
                make_line(0.0, "host_started"),
                make_line(1.0, "table_in_force", version=2),
                make_line(2.0, "source_lost", error="silent"),
                make_line(3.0, "table_in_force", version=4),
                make_line(4.0, "source_regained"),
                make_line(10.0, "drain_started", in_flight=1),
                make_line(13.1, "request_ended", request_id="r1", outcome="DRAINING"),
                make_line(0.0, "host_started", host="entry-2"),
                make_line(9.0, "drain_started", host="entry-2", in_flight=7),
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


def test_a_drain_of_a_hosts_earlier_life_is_not_shown(tmp_path):
    log = tmp_path / "log"
    lines = [
        make_line(0.0, "host_started"),
        make_line(1.0, "drain_started", in_flight=1),
        make_line(0.0, "host_started", jump=20),
        make_line(9.0, "request_ended", jump=20, request_id="r1", outcome="NOT_READY"),
    ]
    log.write_text("\n".join(lines))
    text = run("explain", f"r1 {log}").io.fetch_output()
    assert "host_started" in text
    assert "drain_started" not in text


def test_a_request_without_lines_says_how_many_were_dropped(tmp_path):
    log = tmp_path / "log"
    log.write_text(make_line(1.0, "log_lines_dropped", lines=7) + "\n")
    tester = run("explain", f"r9 {log}")
    assert tester.status_code == 1
    assert "7 lines dropped" in tester.io.fetch_output()


def test_settings_of_a_forwarding_host_are_checked(tmp_path):
    """The keys differ between the two programs; each file is held to its own."""
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


def test_a_target_in_doubt_is_shown_with_what_put_it_there():
    """A stream goes on elsewhere, and the operator asks why its engine was left."""
    found = explain(
        "r1",
        parse(
            [
                make_line(0.0, "host_started"),
                make_line(0.5, "target_doubted", target="i-1", evidence="silent"),
                make_line(0.6, "target_doubted", target="i-9", evidence="silent"),
                make_line(0.9, "domain_doubted", domain="d1"),
                make_line(1.0, "target_chosen", request_id="r1", target="i-1"),
                make_line(1.5, "request_ended", request_id="r1", outcome="answered"),
            ]
        ),
    )
    (_, doubted), *others = found.targets
    assert not others
    assert doubted.fields == {"target": "i-1", "evidence": "silent"}
    assert "domain_doubted" in [line.event for _, line in found.meanwhile]
