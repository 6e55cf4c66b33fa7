#!/bin/sh
# Builds the stand-ins of the scripts of cases 6 to 10: Python without dependencies.
cd "$(dirname "$0")" && python3 -m compileall -q standins-2 >/dev/null && echo built
