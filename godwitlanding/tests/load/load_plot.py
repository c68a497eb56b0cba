"""Plots the results of a load pattern by second of arrival."""

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from godwitlanding.tests.load.load_driver import OK  # noqa: E402
from godwitlanding.tests.load.load_report import (  # noqa: E402
    find_quantile,
    split_by_second,
)


def plot_pattern(workload, pattern, run_by_design, path):
    """Plot successful attempts and their p99 per second, a line per design."""
    figure, (upper, lower) = pyplot.subplots(2, 1, figsize=(9, 7), sharex=True)
    for name, run in run_by_design.items():
        by_second = split_by_second(run.received)
        seconds = range(int(pattern.seconds))
        good = [
            [r.took_s for r in by_second.get(second, ()) if r.outcome == OK]
            for second in seconds
        ]
        width = 2.5 if name == "pooled" else 1.0
        upper.plot(seconds, [len(took) for took in good], label=name, linewidth=width)
        p99 = [find_quantile(took, 0.99) if took else None for took in good]
        lower.plot(seconds, p99, label=name, linewidth=width)
    upper.set_title(f"{workload.name}: {pattern.name}")
    upper.set_ylabel("good answers, by second of arrival")
    upper.legend(fontsize="small")
    lower.set_ylabel("p99 of good answers (s)")
    lower.set_xlabel("second of arrival")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
