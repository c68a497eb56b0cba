"""Helpers for benchmarks: processes, their resource usage, tables, plots."""

import argparse
import asyncio
import contextlib
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

OUTPUT_DIRECTORY = Path("out")
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_START_TIMEOUT_S = 120


class ProcessUsage(NamedTuple):
    """CPU seconds and resident megabytes that a process has used."""

    cpu_s: float
    resident_mb: float
    peak_mb: float


def read_process_usage(pid):
    """Return the resource usage so far of a local process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    rows = Path(f"/proc/{pid}/status").read_text().splitlines()
    kb_by_name = {
        row.split(":")[0]: int(row.split()[1]) for row in rows if row.endswith(" kB")
    }
    return ProcessUsage(cpu_s, kb_by_name["VmRSS"] / 1000, kb_by_name["VmHWM"] / 1000)


@contextlib.contextmanager
def run_process(module, *arguments):
    """Run ``python -m module`` until the block exits; yield the process."""
    process = subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        yield process
    finally:
        process.terminate()
        try:
            process.wait(30)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


@contextlib.contextmanager
def write_settings(settings):
    """Write settings to a temporary file; yield its path."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_text(json.dumps(settings))
        yield str(path)


async def wait_for_health(address, port):
    """Wait until the daemon's health check returns 200.

    Raises ``TimeoutError`` after ``_START_TIMEOUT_S``.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + _START_TIMEOUT_S
    while loop.time() < end:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            if await _is_healthy(address, port):
                return
        await asyncio.sleep(0.05)
    raise TimeoutError(f"{address}:{port} was not ready after {_START_TIMEOUT_S} s")


async def _is_healthy(address, port):
    reader, writer = await asyncio.open_connection(address, port)
    writer.write(b"GET /-/health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    status_line = await reader.readline()
    writer.close()
    return b" 200 " in status_line


def format_table(header, rows):
    """Return the rows below their header as text with aligned columns."""
    lines = [header, *rows]
    texts = [[_format_cell(cell) for cell in line] for line in lines]
    widths = [max(map(len, column)) for column in zip(*texts)]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths)).rstrip()
        for line in texts
    )


def _format_cell(cell):
    if not isinstance(cell, float):
        return str(cell)
    return f"{cell:,.0f}" if abs(cell) >= 1000 else f"{cell:.3g}"


def plot(name, title, x_label, y_label, series, log=False):
    """Write ``out/NAME.png``; ``series`` is ``{label: [(x, y)]}``."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    OUTPUT_DIRECTORY.mkdir(exist_ok=True)
    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for label, points in series.items():
        axes.plot(*zip(*points), marker="o", label=label)
    if log:
        axes.set_xscale("log")
        axes.set_yscale("log")
    axes.set_title(title)
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.grid(True, alpha=0.3)
    axes.legend()
    figure.tight_layout()
    figure.savefig(OUTPUT_DIRECTORY / f"{name}.png", dpi=110)
    pyplot.close(figure)


def run_benchmark(run, description, argv=None):
    """Run a benchmark that has no command line options but ``--help``."""
    parser = argparse.ArgumentParser(
        description=description, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.parse_args(argv)
    asyncio.run(run())
