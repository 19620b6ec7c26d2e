"""Entry point ``python -m acaciasaddle.node SETTINGS``, without the imports of the full CLI."""

from __future__ import annotations

import signal
import sys

USAGE = "usage: python -m acaciasaddle.node SETTINGS"


def main() -> int:
    """Run a node and return the exit code."""
    # SIGHUP has no effect on a node, but by default it would end the process while it starts, and
    # when it has just stopped. The imports below take about a second on a small host.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    from acaciasaddle.errors import AcaciasaddleError
    from acaciasaddle.errors import ConfigError
    from acaciasaddle.errors import leaf_exceptions
    from acaciasaddle.node import run_node

    if len(sys.argv) != 2:
        print(USAGE, file=sys.stderr)
        return 2
    try:
        run_node(sys.argv[1])
    except ConfigError as exc:
        print(exc, file=sys.stderr)
        return 2
    except BaseExceptionGroup as group:
        expected, others = group.split(AcaciasaddleError)
        if expected is None or others is not None:
            raise
        print(*leaf_exceptions(expected), sep="\n", file=sys.stderr)
        return 1
    return 0


sys.exit(main())
