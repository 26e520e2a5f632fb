"""Builds complete forwarders that neither listen nor make calls, for the compatibility tests."""

from __future__ import annotations

from pathlib import Path

from rainfall.forwarder.config.loading import Config, parse_config
from rainfall.forwarder.engine.engine import Engine
from rainfall.forwarder.handover.target import HandoverTarget
from tests.support.loopback_peers import SETTINGS

FLEET: dict[str, object] = {
    "service": "127.0.0.1:9",
    "site": "north",
    "lease_ms": 3000,
    "drift": 0.02,
    "listen": "127.0.0.1:8",
    "peers": {"n1": "127.0.0.1:7"},
    "budgets": [
        {"destination": 7, "span_ms": 500, "calls": 100, "members": 4, "reserve": 5}
    ],
}


def told_config(**more: object) -> dict[str, object]:
    """Returns a decoded configuration, with the given keys added or replaced."""
    return {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "5",
        "limits": {"cores": 1, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
        "known": {
            "seq": 3,
            "whole": True,
            "hosts": [
                {"host": "h1", "dial": "127.0.0.1:3", "site": "x", "class": "plain"}
                | {"block": 7, "health": "up", "share": 2.0, "born_ms": 0},
                {"host": "h2", "dial": "127.0.0.1:4", "block": 8, "health": "draining"},
            ],
        },
        "settings": SETTINGS,
        **more,
    }


def config(folder: Path, **more: object) -> Config:
    return parse_config(told_config(**more), {"LB_STATE": str(folder)})


def forwarder(
    folder: Path, successor: HandoverTarget | None = None, **more: object
) -> Engine:
    """Builds an engine that is not started and runs no dispatch round. Needs a running loop."""
    engine = Engine(config(folder, **more), None, successor)
    engine.round_scheduled = True  # a round counts as pending: none is scheduled
    return engine
