"""Compares ways to use reported paces on a simulated fleet; prints outcomes.

Each way is run at usual load and then under a burst. A late response counts
a fifth of one in time in the last column.

python -m godwitlanding.tests.load.load_pace --ways none gossip --seeds 1 2
"""

import argparse
import asyncio
import random

import looptime

from godwitlanding.tests.load.gateway_model import CO_OP, FleetModel

WARM_UP_S = 8.0
USUAL_S = 10
BURST_S = 5
LATE_VALUE = 0.2
FALSE_FIGURES = (b"0", b"-40", b"none", b"100000", b"30", b"100", b"250")
LANDING = CO_OP._replace(
    upstreams_by_zone={"a1": 1, "a2": 1, "b1": 4, "b2": 3, "c1": 4, "c2": 3},
    rate_by_zone={"a1": 18, "a2": 18, "b1": 18, "b2": 18, "c1": 18, "c2": 18},
    object_count=150,
    warm_s=0.16,
    cold_s=0.41,
    target_s=0.42,
    spell_share=0.15,
    long_share=0.03,
    reports_pace=True,
)


def _no_paces(program):
    """Neither use reported paces nor divide by them."""
    program.chooser.paces.note_report = lambda upstream, pace, now: None


def _use_margin(program):
    """Refuse waiting requests that are late by the service's margin."""
    chooser = program.chooser

    def scale(decide):
        def decide_with_margin(placement, request, now):
            margin = chooser.paces.get_margin(request.service, now)
            if placement.wait_s:
                placement = placement._replace(finish_s=margin * placement.finish_s)
            return decide(placement, request, now)

        return decide_with_margin

    chooser._is_in_time = scale(chooser._is_in_time)
    chooser._is_worth_taking = scale(chooser._is_worth_taking)


def _count_long(program):
    """Learn from single long requests as from others."""
    program.chooser.paces._is_single_long = lambda upstream_id, is_long: False


def _no_gossip(program):
    program.peers.get_paces = tuple


def _divide_only(program):
    program.chooser.paces.get_factor = lambda service, number, now: 1.0


def _two_candidates(program):
    """Weigh only two of the upstreams that know an object, drawn at random."""
    candidates = program.chooser._candidates
    place_known = candidates.place_known_object

    def place_two(request, ids, now):
        ids = list(ids)
        return place_known(request, random.sample(ids, min(2, len(ids))), now)

    candidates.place_known_object = place_two


WAYS = {
    "none": (_no_paces,),
    "divide": (_divide_only, _no_gossip),
    "divide, long count": (_divide_only, _no_gossip, _count_long),
    "responses": (_no_gossip,),
    "gossip": (),
    "two": (_two_candidates,),
    "margin": (_use_margin,),
}


def report_falsely(fleet, seed):
    """Let each upstream report figures that have nothing to do with it."""
    rng = random.Random(seed)
    for upstream in fleet.upstream_by_id.values():
        upstream.report_pace = lambda pace: rng.choice(FALSE_FIGURES)


async def run(way, shape, seed, usual, burst, is_false=False):
    """Return the outcome shares at usual load and in a burst, and margins."""
    random.seed(seed)
    async with FleetModel(shape, seed) as fleet:
        if is_false:
            report_falsely(fleet, seed)
        for vm in fleet.get_programs():
            for change in WAYS[way]:
                change(vm)
        await fleet.run(WARM_UP_S, usual)
        fleet.outcomes.clear()
        await fleet.run(USUAL_S, usual)
        at_usual = fleet.get_outcome_shares()
        fleet.outcomes.clear()
        await fleet.run(BURST_S, burst)
        margins = [
            margin
            for vm in fleet.get_programs()
            for margin in vm.chooser.paces._estimates.get_margins().values()
        ]
        return at_usual, fleet.get_outcome_shares(), margins


def _format(shares):
    names = ("in_time", "late", "refused", "failed")
    text = " ".join(f"{shares.get(name, 0.0):.3f}" for name in names)
    value = shares.get("in_time", 0.0) + LATE_VALUE * shares.get("late", 0.0)
    return f"{text} value {value:.3f}"


def parse_arguments(argv=None):
    """Return the command-line arguments."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--ways", nargs="+", choices=WAYS, default=list(WAYS))
    parser.add_argument("--seeds", nargs="+", type=int, default=[1])
    parser.add_argument("--usual", type=float, default=1.0, help="Factor on the rates")
    parser.add_argument("--burst", type=float, default=1.4, help="Factor in the burst")
    parser.add_argument("--spells", type=float, default=LANDING.spell_share)
    parser.add_argument("--long", type=float, default=LANDING.long_share)
    parser.add_argument("--false", action="store_true", help="Report nonsense")
    return parser.parse_args(argv)


def main(arguments):
    """Run each way with each seed."""
    shape = LANDING._replace(spell_share=arguments.spells, long_share=arguments.long)
    for seed in arguments.seeds:
        for way in arguments.ways:
            loop = looptime.new_event_loop(start=0.0)
            asyncio.set_event_loop(loop)
            usual, burst, margins = loop.run_until_complete(
                run(
                    way,
                    shape,
                    seed,
                    arguments.usual,
                    arguments.burst,
                    arguments.false,
                )
            )
            mean = sum(margins) / max(1, len(margins))
            print(
                f"{seed} {way:18}", _format(usual), "|", _format(burst), f"{mean:.2f}"
            )


if __name__ == "__main__":
    main(parse_arguments())
