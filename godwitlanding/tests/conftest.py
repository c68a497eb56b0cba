"""Deselects exactly the tests listed in ``KNOWN-RED.txt`` and prints them.

With ``--known-red`` they are run as well.
"""

from godwitlanding.tests.known_red import read_known_red


def pytest_addoption(parser):
    parser.addoption(
        "--known-red",
        action="store_true",
        help="Run the tests of KNOWN-RED.txt too.",
    )


def pytest_collection_modifyitems(config, items):
    if config.getoption("--known-red"):
        return
    known_red = read_known_red()
    deselected = [item for item in items if _get_name(item) in known_red]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item not in deselected]


def pytest_terminal_summary(terminalreporter, config):
    if config.getoption("--known-red"):
        return
    for name in sorted(read_known_red()):
        terminalreporter.write_line(f"known red, passed over: {name}")


def _get_name(item):
    return item.nodeid.removeprefix("godwitlanding/tests/")
