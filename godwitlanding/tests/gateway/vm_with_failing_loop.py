"""A ``godwit-vm`` whose loop over its peers fails from some time on."""

import sys
import time

from godwitlanding import vm

FAIL_AFTER_S = 2.0
STOP_AFTER_S = 5.0


def make_failing(check):
    """Return ``check`` with an error in each call after ``FAIL_AFTER_S``."""
    fails_at = time.monotonic() + FAIL_AFTER_S

    def fail(self):
        if time.monotonic() > fails_at:
            raise ZeroDivisionError("test")
        check(self)

    return fail


def main():
    """Run the program with the failing loop."""
    from godwitlanding.base import loophealth
    from godwitlanding.gateway.peers import Peers

    loophealth.STOP_AFTER_S = (STOP_AFTER_S, STOP_AFTER_S)
    Peers._check = make_failing(Peers._check)
    return vm.main()


if __name__ == "__main__":
    sys.exit(main())
