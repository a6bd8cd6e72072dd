"""Entry point of the daemon: settings, HTTP servers and signal handlers."""

from __future__ import annotations

from gevent import config as gevent_config
from gevent import monkey

gevent_config.loop = "libev-cext"
monkey.patch_all()

# monkey.patch_all() must run before imports of modules that use sockets.
import argparse  # noqa: E402
import logging  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402

import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402

from sapphirehoist.daemon.event_loop import pin_epoll  # noqa: E402
from sapphirehoist.entry import HttpServer  # noqa: E402
from sapphirehoist.node.dependencies import NodeDependencies  # noqa: E402
from sapphirehoist.node.node import Node  # noqa: E402
from sapphirehoist.observability import configure_logging  # noqa: E402
from sapphirehoist.settings import SettingsErrors, load_settings  # noqa: E402

EXIT_OK = 0
EXIT_INVALID_SETTINGS = 2

_logger = logging.getLogger(__name__)


def main(argv: list[str] | None = None) -> int:
    """Run the daemon until SIGTERM or SIGINT; return the exit code.

    SIGHUP reloads the TLS certificates.
    """
    arguments = _build_parser().parse_args(argv)
    settings = load_settings(arguments.settings)
    if isinstance(settings, SettingsErrors):
        print("\n".join(settings.errors), file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    if arguments.check:
        print(f"{arguments.settings}: ok")
        return EXIT_OK
    pin_epoll()
    configure_logging(settings.vm)
    node = Node(settings, NodeDependencies.from_settings(settings))
    servers = [
        HttpServer(settings.callers, node.caller_api.app, settings.tls),
        HttpServer(settings.operators_listen, node.operator_api.app, settings.tls),
    ]
    stop = Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    gevent.signal_handler(signal.SIGHUP, _reload_certificates, servers)
    node.start()
    for server in servers:
        server.start()
    _logger.info("started")
    stop.wait()
    node.stop()
    for server in servers:
        server.stop()
    return EXIT_OK


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
