#!/bin/sh
# Builds the stand-ins that the scripts of the cases start: they are plain Python and
# are only compiled here, so that a script can also run from a read-only copy.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
