"""Entry point of the daemon: settings, HTTP servers and signal handlers."""

from __future__ import annotations

import signal

if __name__ == "__main__":
    # Its default action would end a process that starts. Nothing is missed: settings
    # and certificates are read again once the handler is installed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from gevent import config as gevent_config  # noqa: E402
from gevent import monkey  # noqa: E402

gevent_config.loop = "libev-cext"
monkey.patch_all()

# monkey.patch_all() must run before imports of modules that use sockets.
import argparse  # noqa: E402
import logging  # noqa: E402
import sys  # noqa: E402

import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402

from sapphirehoist.clock import SystemClock  # noqa: E402
from sapphirehoist.daemon.event_loop import pin_epoll  # noqa: E402
from sapphirehoist.decisions import MemoryBudget, budget_bytes  # noqa: E402
from sapphirehoist.entry import (  # noqa: E402
    OPERATOR_BODY_BYTES,
    EntryRequestMemory,
    HttpServer,
)
from sapphirehoist.http1 import return_large_buffers  # noqa: E402
from sapphirehoist.node.dependencies import NodeDependencies  # noqa: E402
from sapphirehoist.node.node import Node  # noqa: E402
from sapphirehoist.observability import configure_logging  # noqa: E402
from sapphirehoist.settings import (  # noqa: E402
    Settings,
    SettingsErrors,
    load_settings,
)
from sapphirehoist.sockets import ConnectionCounts  # noqa: E402

EXIT_OK = 0
EXIT_INVALID_SETTINGS = 2

_logger = logging.getLogger(__name__)


def main(argv: list[str] | None = None) -> int:
    """Run the daemon until SIGTERM or SIGINT; return the exit code.

    SIGHUP reloads the TLS certificates.
    """
    # The console script has not done so at the import.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    arguments = _build_parser().parse_args(argv)
    settings = load_settings(arguments.settings)
    if isinstance(settings, SettingsErrors):
        print("\n".join(settings.errors), file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    if arguments.check:
        print(f"{arguments.settings}: ok")
        return EXIT_OK
    pin_epoll()
    return_large_buffers()
    configure_logging(settings.vm)
    node = Node(settings, NodeDependencies.from_settings(settings))
    servers = _build_servers(settings, node)
    stop = Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    gevent.signal_handler(signal.SIGHUP, _reload_certificates, servers)
    for server in servers:
        server.reload_certificate()
    node.start()
    for server in servers:
        server.start()
    _logger.info("started")
    stop.wait()
    node.stop()
    for server in servers:
        server.stop()
    return EXIT_OK


def _build_servers(settings: Settings, node: Node) -> list[HttpServer]:
    """Return the servers of both interfaces, which share the memory for requests."""
    budget = MemoryBudget(budget_bytes(settings.memory_mb))
    request_memory = EntryRequestMemory(budget, node.metrics)
    counts = ConnectionCounts.from_process()
    clock = SystemClock()
    return [
        HttpServer(
            settings.callers,
            node.caller_api.app,
            settings.tls,
            settings.max_body_bytes,
            request_memory,
            counts.callers,
            clock,
            node.metrics,
        ),
        HttpServer(
            settings.operators_listen,
            node.operator_api.app,
            settings.tls,
            OPERATOR_BODY_BYTES,
            request_memory,
            counts.status,
            clock,
            node.metrics,
        ),
    ]


def _reload_certificates(servers: list[HttpServer]) -> None:
    for server in servers:
        server.reload_certificate()
    _logger.info("certificates reloaded")


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="sapphirehoistd", description="Serves multi-stage model pipelines."
    )
    parser.add_argument("--settings", required=True, help="JSON with comments")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    return parser


if __name__ == "__main__":
    sys.exit(main())
