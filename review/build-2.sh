#!/bin/sh
# The stand-ins of review/4 and later are plain Python of the standard library,
# in review/lib-2: nothing is built but their byte code. The system itself comes
# from the build of deploy/system.toml.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q lib-2
