"""Plays the ways to keep an allotment side by side, as a table.

``python -m godwitlanding.tests.load.load_allotments --vms 12``
"""

import argparse

from godwitlanding.tests.load.allotment_model import SCENARIO_BY_NAME, World
from godwitlanding.tests.load.allotment_strategies import WAY_BY_NAME


def parse_arguments():
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vms", type=int, default=12, help="VMs that carry.")
    parser.add_argument("--seeds", type=int, default=3, help="Days of each kind.")
    parser.add_argument(
        "--usual",
        type=float,
        nargs="+",
        default=[2.0, 12.0, 115.0],
        help="Requests a second that the workspace usually sends.",
    )
    return parser.parse_args()


def play(scenario, way, usual_per_s, seeds):
    """Return the worst of some days: over, its share, wrongly refused."""
    results = [World(scenario, way, usual_per_s, seed).play() for seed in range(seeds)]
    return tuple(max(row[i] for row in results) for i in range(3))


def main():
    """Print one line for each scenario and size."""
    arguments = parse_arguments()
    print(f"{'':30}", *(f"{name:>24}" for name in WAY_BY_NAME))
    for usual_per_s in arguments.usual:
        for name, scenario in SCENARIO_BY_NAME.items():
            scenario = scenario._replace(vms=arguments.vms)
            cells = []
            for way in WAY_BY_NAME.values():
                _, share, refused = play(scenario, way, usual_per_s, arguments.seeds)
                cells.append(f"{share:12.2f} {refused:11.3f}")
            print(f"{usual_per_s:5g} {name:24}", *cells)


if __name__ == "__main__":
    main()
