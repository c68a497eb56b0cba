"""Divides a rate among holders by their demand (max-min fairness).

A holder with a small demand gets all of it, and a holder with a large one
gains nothing by asking for more: the rest is divided evenly among the others.
Capacity that nobody asks for is divided evenly as well, so that each holder
has headroom until the parts are computed again.
"""


def share_fairly(rate, asked_by_name):
    """Return the part of ``rate`` for each holder, by name.

    >>> share_fairly(12.0, {"a": 1.0, "b": 20.0, "c": 30.0})
    {'a': 1.0, 'b': 5.5, 'c': 5.5}
    >>> share_fairly(12.0, {"a": 1.0, "b": 2.0, "c": 3.0})
    {'a': 3.0, 'b': 4.0, 'c': 5.0}
    """
    part_by_name = {}
    remaining = rate
    for name, asked in sorted(asked_by_name.items(), key=lambda row: row[1]):
        holders = len(asked_by_name) - len(part_by_name)
        part_by_name[name] = min(asked, remaining / holders)
        remaining -= part_by_name[name]
    surplus = max(0.0, remaining) / len(asked_by_name)
    return {name: part_by_name[name] + surplus for name in asked_by_name}


def find_fair_level(rate, demands):
    """Return the level of weighted max-min fairness.

    Each of ``demands``, pairs of a demand and a positive weight, gets the
    smaller of its demand and the level times its weight. All parts add up to
    ``rate``, or to all that is asked for.

    >>> find_fair_level(12.0, [(1.0, 1.0), (20.0, 1.0), (30.0, 2.0)])
    3.6666666666666665
    """
    weight = sum(weight for _, weight in demands)
    level = 0.0
    for asked, own_weight in sorted(demands, key=lambda row: row[0] / row[1]):
        # If weights differ by 16 orders of magnitude, the remainder is
        # rounded to 0.
        level = rate / max(weight, own_weight)
        if asked <= level * own_weight:
            level = asked / own_weight
        else:
            break
        rate -= asked
        weight -= own_weight
    return level
