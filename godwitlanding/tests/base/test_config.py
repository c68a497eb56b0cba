"""Tests of parsing and validating the configuration text and the settings."""

import pytest

from godwitlanding.base.codes import Code
from godwitlanding.base.config import parse_config
from godwitlanding.base.settings import SETTINGS, check_settings
from godwitlanding.operator.diff import describe_shifts, diff_configurations

TEXT = """{
  // two zones
  format: 1,
  name: "user",
  regions: [{name: "north", availability_zones: ["n-a", "n-b"]}],
  services: [
    {
      name: "status", kind: "lookup", deadline_s: 2,
      upstreams: [
        {id: "status-1", address: "127.0.2.1:9001", availability_zone: "n-a"},
        {id: "status-2", address: "127.0.2.2:9001", availability_zone: "n-b"},
      ],
    },
  ],
  shifts: [
    {name: "go", service: "status", from: "n-a", to: "n-b",
     share: 0.5, cap_share: 0.2, step_s: 10},
  ],
}"""


def test_valid_text_is_parsed():
    config = parse_config(TEXT).unwrap()
    status = config.service_by_name["status"]
    assert status.get_upstreams("n-b")[0].slots == 3
    assert config.region_by_zone["n-b"] == "north"
    assert describe_shifts(config) == [
        "shift go: 50% of status callers of n-a to n-b (3 slots there) in 3 steps "
        "of at most 20%, 20 s at least"
    ]


@pytest.mark.parametrize(
    ("old", "new", "code", "line", "expected_text"),
    [
        ("format: 1,", "format: ,", Code.CONFIG_SYNTAX, 3, "JSON5"),
        ("format: 1,", "", Code.CONFIG_MISSING_KEY, 0, "integer"),
        ("format: 1", "format: 2", Code.CONFIG_OUT_OF_RANGE, 3, "1 to 1"),
        ('"user"', "7", Code.CONFIG_WRONG_TYPE, 0, "text"),
        ("shifts", "shift", Code.CONFIG_UNKNOWN_KEY, 15, "mean 'shifts'"),
        ("lookup", "look", Code.CONFIG_OUT_OF_RANGE, 0, "'lookup'"),
        ("deadline_s: 2", "deadline_s: true", Code.CONFIG_WRONG_TYPE, 8, "number"),
        ("status-2", "status-1", Code.CONFIG_DUPLICATE, 0, "once"),
        ("127.0.2.2", "host.name", Code.CONFIG_OUT_OF_RANGE, 0, "text like"),
        ('to: "n-b"', 'to: "n-c"', Code.CONFIG_UNKNOWN_REFERENCE, 16, "a zone"),
        ('to: "n-b"', 'to: "n-a"', Code.CONFIG_OUT_OF_RANGE, 0, "another zone"),
        ("cap_share: 0.2", "cap_share: 0", Code.CONFIG_OUT_OF_RANGE, 0, "more"),
        (
            "deadline_s: 2,",
            'deadline_s: 2, depends_on: ["status"],',
            Code.CONFIG_UNKNOWN_REFERENCE,
            0,
            "no cycle",
        ),
    ],
)
def test_problem_has_its_code_and_line(old, new, code, line, expected_text):
    problems = parse_config(TEXT.replace(old, new)).unwrap_err()
    assert problems[0].code is code
    assert expected_text in str(problems[0])
    if line:
        assert problems[0].line == line


def test_all_problems_are_reported_together():
    text = TEXT.replace("format: 1", "format: 9").replace("lookup", "look")
    assert len(parse_config(text).unwrap_err()) == 2


@pytest.mark.parametrize("text", ["", "[]", "{", "[" * 100_000, "7", "\0"])
def test_garbage_is_refused(text):
    assert parse_config(text).is_err()


def test_difference_is_described():
    old = parse_config(TEXT).unwrap()
    new = parse_config(TEXT.replace("share: 0.5", "share: 0.4")).unwrap()
    changes = diff_configurations(old, new)
    assert [(c.sign, c.path, c.detail) for c in changes] == [
        ("~", "shift go", "share 0.5 -> 0.4")
    ]
    assert diff_configurations(None, new)[0].sign == "+"


def test_settings_get_defaults():
    text = """{vm: "a1", address: "127.0.1.1", availability_zone: "n-a",
               platform_url: "http://127.0.0.9:7000"}"""
    settings = check_settings(text).unwrap()
    assert settings["steer_port"] == SETTINGS["steer_port"].default


def test_unknown_setting_suggests_the_closest_key():
    problems = check_settings("{steer_prot: 1}").unwrap_err()
    assert "did you mean 'steer_port'" in str(problems[0])
    assert len(problems) == 5
