"""The simulator adapter as a separate process: replies, malformed lines, end of input."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from capershelf.config import read_settings

INFO = {
    "bounds": {"cancel": True, "max-attempts": 6, "may-probe": False, "news": 1},
    "categories": [{"name": "usual", "aim": 1500.0, "deadline": 9000.0, "credit": 1.0, "late-worth": 0.25}],
    "contract": {"cold-from": 0.3, "ramp-time": 14000.0, "tip-multiple": 4.0, "fall": 1500.0},
    "family-info": {"release": 300.0, "topology": "groups", "t1": 800.0, "pools-by-class": [[0]]},
    "group-size": 4,
    "slot-no": 0,
    "period": 5.0,
}
START = (
    f"frame 0 1\nlaunch 3 7 {json.dumps(INFO)}\n"
    "sheet 0 1\nswitch 10.0.0.1:80 z k 0 active 1 -\nannounce 3 1 0 restored\n"
)


def run(text: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "capershelf.benchlink"]
    return subprocess.run(command, input=text, capture_output=True, text=True, check=False)


def test_a_call_is_sent_and_the_end_of_input_is_a_clean_exit() -> None:
    done = run(START + "your_turn\nframe 5 2\ningress 3 42 3005 usual 0 - 0 - num:a 1 -1\nyour_turn\n")
    assert done.returncode == 0
    assert "issue 3 42 10.0.0.1:80 1500.000" in done.stdout.splitlines()
    assert [line for line in done.stdout.splitlines() if line.startswith("end")] == ["end 1", "end 2"]
    assert done.stderr == ""


@pytest.mark.parametrize(
    "line",
    ["nonsense 3", "ingress 3 42", "completed 3 1 what 0 - 1 s 0 -", "announce 3 2 9 update", "alarm 9 tick"],
)
def test_a_malformed_line_gets_a_one_line_error_and_a_non_zero_exit(line: str) -> None:
    done = run(START + line + "\nyour_turn\n")
    assert done.returncode != 0
    assert done.stderr.count("\n") == 1
    assert line in done.stderr
    assert done.stdout == ""


def test_input_that_ends_within_a_batch_is_malformed() -> None:
    assert run("frame 5 2\n").returncode != 0


@pytest.mark.parametrize(
    "path", ["bounds", "bounds.max-attempts", "contract.fall", "family-info.release", "categories", "slot-no"]
)
def test_a_missing_setting_is_named(path: str) -> None:
    info = json.loads(json.dumps(INFO))
    table, *inner = path.split(".")
    if inner:
        del info[table][inner[0]]
    else:
        del info[table]
    with pytest.raises(ValueError, match=path.replace(".", r"\.")):
        read_settings(info)


def test_optional_settings_may_be_absent() -> None:
    found = read_settings(INFO)
    assert found.tenants == ()
    assert not found.may_probe


def test_a_restarted_instance_has_no_state_of_its_previous_run() -> None:
    call = "ingress 3 42 3005 usual 0 - 0 - num:a 1 -1\n"
    again = f"shutdown 3\nlaunch 3 8 {json.dumps(INFO)}\nannounce 3 1 0 restored\n"
    again += "completed 3 42 cut 0 - 9 10.0.0.1:80 0 -\n"
    text = START + call + "your_turn\nframe 400 2\n" + again
    done = run(text + "your_turn\nframe 900 3\nalarm 3 tick\nyour_turn\n")
    assert done.returncode == 0
    assert sum(line.startswith("issue") for line in done.stdout.splitlines()) == 1
    assert "turn_away" not in done.stdout
