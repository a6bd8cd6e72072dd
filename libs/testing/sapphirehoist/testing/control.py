"""Client of the control interface of the stand-ins."""

from __future__ import annotations

import json
from typing import Any

import urllib3

_pool = urllib3.PoolManager(retries=False)


def post_control(url: str, **switches: object) -> None:
    """Set switches of the stand-in at `url`."""
    body = json.dumps(switches).encode()
    resp = _pool.request("POST", url + "/control", body=body, timeout=5.0)
    assert resp.status == 200, resp.data


def read_json(url: str, path: str) -> Any:
    """Return the decoded JSON response of the stand-in at `url`."""
    resp = _pool.request("GET", url + path, timeout=5.0)
    assert resp.status == 200, resp.data
    return json.loads(resp.data)
