"""Daemon process: settings check, event loop, metrics, logs, TLS and SIGHUP."""

from __future__ import annotations

import datetime
import json
import ssl
import subprocess
import sys
from pathlib import Path

import urllib3
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from fleets import make_caller, start_fleet

from sapphirehoist.testing import Deployment, ManagedProcess, wait_until
from sapphirehoist.testing.deployment import OPERATOR_TOKEN

EXAMPLES = Path(__file__).parent.parent / "examples"


class TestCheck:
    def run_check(self, path: Path, tmp_path: Path) -> tuple[int | None, str]:
        log = tmp_path / "check.log"
        arguments = ["--check", "--settings", str(path)]
        process = ManagedProcess("sapphirehoist.daemon.main", arguments, log)
        return process.wait(20), log.read_text()

    def test_valid_settings(self, tmp_path: Path) -> None:
        code, text = self.run_check(EXAMPLES / "studio.jsonc", tmp_path)
        assert (code, text.strip().endswith("ok")) == (0, True)

    def test_invalid_settings(self, tmp_path: Path) -> None:
        path = tmp_path / "bad.jsonc"
        path.write_text((EXAMPLES / "studio.jsonc").read_text().replace("7100", "0"))
        code, text = self.run_check(path, tmp_path)
        assert code == 2
        assert "$.callers.port: 0 is not allowed" in text


def test_event_loop_is_epoll_regardless_of_the_environment() -> None:
    code = (
        "from sapphirehoist.daemon.event_loop import pin_epoll\n"
        "pin_epoll()\n"
        "import gevent\n"
        "print(gevent.get_hub().loop.backend)"
    )
    for backend in ("", "linux_iouring", "poll"):
        completed = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            env={"GEVENT_BACKEND": backend} if backend else {},
        )
        assert completed.stdout.strip() == "epoll", completed.stderr


def test_metrics_and_logs(deployment: Deployment) -> None:
    start_fleet(deployment, daemons=1, engines=1)
    assert make_caller(deployment, "entry-1").submit("quick", "x").status == 200
    daemon = deployment.daemons["entry-1"]
    resp = urllib3.request(
        "GET",
        daemon.operator_url + "/metrics",
        headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
    )
    text = resp.data.decode()
    assert 'sapphirehoist_requests_total{outcome="Done",work="quick"} 1' in text
    assert 'sapphirehoist_stage_seconds{stage="generate",work="quick"' in text
    lines = [json.loads(line) for line in daemon.process.log.read_text().splitlines()]
    assert [line["message"] for line in lines] == ["started", "joined the roster"]


def test_sighup_reloads_the_tls_certificate(
    deployment: Deployment, tmp_path: Path
) -> None:
    certificate, key = tmp_path / "cert.pem", tmp_path / "key.pem"
    make_certificate(certificate, key)

    def use_tls(settings: dict) -> None:
        settings["tls"] = {"certificate": str(certificate), "key": str(key)}

    daemon = deployment.start_daemon("entry-1", "vest", use_tls)
    port = int(daemon.caller_url.rsplit(":", 1)[1])
    first = wait_until(
        lambda: get_certificate(port, certificate), "the TLS listener responds"
    )
    make_certificate(certificate, key)
    daemon.process.send_sighup()
    second = wait_until(
        lambda: get_certificate(port, certificate), "the new certificate is served"
    )
    assert first != second


def get_certificate(port: int, ca: Path) -> str:
    """Return the server's certificate, or an empty string unless `ca` verifies it."""
    try:
        return ssl.get_server_certificate(("127.0.0.1", port), ca_certs=str(ca))
    except OSError:
        return ""


def make_certificate(certificate: Path, key: Path) -> None:
    """Write a new self-signed certificate for the loopback address."""
    secret = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "entry-1")])
    now = datetime.datetime.now(datetime.UTC)
    signed_certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(secret.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .sign(secret, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    certificate.write_bytes(signed_certificate.public_bytes(pem))
    key.write_bytes(
        secret.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
