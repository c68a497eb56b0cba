"""Cuts a rate into parts by what each holder asks for.

Who asks for little gets it, and who asks for more does not get more by
asking louder: the rest is cut evenly among the others (max-min fairness).
What nobody asks for is cut evenly as well, so that each has room for more
than it asked for until the parts are cut again.
"""


def share_fairly(rate, asked_by_name):
    """Return the part of ``rate`` for each holder, by name.

    >>> share_fairly(12.0, {"a": 1.0, "b": 20.0, "c": 30.0})
    {'a': 1.0, 'b': 5.5, 'c': 5.5}
    >>> share_fairly(12.0, {"a": 1.0, "b": 2.0, "c": 3.0})
    {'a': 3.0, 'b': 4.0, 'c': 5.0}
    """
    part_by_name = {}
    left = rate
    for name, asked in sorted(asked_by_name.items(), key=lambda row: row[1]):
        holders = len(asked_by_name) - len(part_by_name)
        part_by_name[name] = min(asked, left / holders)
        left -= part_by_name[name]
    spare = max(0.0, left) / len(asked_by_name)
    return {name: part_by_name[name] + spare for name in asked_by_name}
