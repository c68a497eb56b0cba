"""Compares the strategies to enforce an allotment, as a table.

``python -m godwitlanding.tests.load.load_allotments --vms 12``
"""

import argparse

from godwitlanding.tests.load.allotment_model import SCENARIO_BY_NAME, AllotmentModel
from godwitlanding.tests.load.allotment_strategies import STRATEGY_BY_NAME


def parse_arguments():
    """Return the command-line arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vms", type=int, default=12, help="Number of VMs.")
    parser.add_argument(
        "--seeds",
        type=int,
        default=3,
        help="Runs of each scenario, each with its own seed.",
    )
    parser.add_argument(
        "--usual",
        type=float,
        nargs="+",
        default=[2.0, 12.0, 115.0],
        help="Usual requests per second of the workspace.",
    )
    return parser.parse_args()


def get_worst_results(scenario, strategy, usual_per_s, seeds):
    """Return the maxima over all seeds of the first three result fields."""
    results = [
        AllotmentModel(scenario, strategy, usual_per_s, seed).run()
        for seed in range(seeds)
    ]
    return tuple(max(row[i] for row in results) for i in range(3))


def main():
    """Print one line for each scenario and usual rate."""
    arguments = parse_arguments()
    print(f"{'':30}", *(f"{name:>24}" for name in STRATEGY_BY_NAME))
    for usual_per_s in arguments.usual:
        for name, scenario in SCENARIO_BY_NAME.items():
            scenario = scenario._replace(vms=arguments.vms)
            columns = []
            for strategy in STRATEGY_BY_NAME.values():
                _, share, refused = get_worst_results(
                    scenario, strategy, usual_per_s, arguments.seeds
                )
                columns.append(f"{share:12.2f} {refused:11.3f}")
            print(f"{usual_per_s:5g} {name:24}", *columns)


if __name__ == "__main__":
    main()
