"""Runs stand-ins: ``python -m sapphirehoist.standins SPEC``.

SPEC is a JSON list of objects, each with ``kind`` (platform, engine, service), ``port``
and the constructor arguments of the stand-in's class.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import sys  # noqa: E402

from gevent.event import Event  # noqa: E402

from sapphirehoist.standins.engine import EngineStandIn  # noqa: E402
from sapphirehoist.standins.platform import PlatformStandIn  # noqa: E402
from sapphirehoist.standins.server import serve  # noqa: E402
from sapphirehoist.standins.service import ServiceStandIn  # noqa: E402

_STAND_IN_CLASSES = {
    "platform": PlatformStandIn,
    "engine": EngineStandIn,
    "service": ServiceStandIn,
}


def main(spec: str) -> None:
    """Serve every stand-in in `spec` until the process is killed."""
    servers = []
    for entry in json.loads(spec):
        stand_in_class = _STAND_IN_CLASSES[entry.pop("kind")]
        port = entry.pop("port")
        servers.append(serve(stand_in_class(**entry).app, port))
    Event().wait()


if __name__ == "__main__":
    main(sys.argv[1])
