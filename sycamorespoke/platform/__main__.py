"""Command that runs a gateway on the users' platform, or checks a configuration."""

import os
import sys

from sycamorespoke import checks, gateway, platform
from sycamorespoke.platform import _objects

SETTINGS_PATH_VARIABLE = "SYCAMORESPOKE_BOOT"


def main(arguments=()):
    """Run a gateway, or with arguments `checks.run_command`; return the exit status."""
    if arguments:
        parse = _objects.parse_configuration_file
        return checks.run_command(arguments, parse, platform.make_deployment)
    return gateway.run_process(SETTINGS_PATH_VARIABLE, platform.make_deployment)


if __name__ == "__main__":
    exit_status = main(sys.argv[1:])
    sys.stdout.flush()
    # Skip the join of worker threads at exit: they may still wait for upstreams,
    # and nobody needs their results.
    os._exit(exit_status)
