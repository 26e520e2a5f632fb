"""Everything that the lab writes into a forwarder's configuration, and nothing else:
the one file to change where the form of a configuration changes.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from rainfall.lab.shapes import Experiment


@dataclass(slots=True)
class Addresses:
    """Where one forwarder listens and whom it dials, as HOST:PORT; all dials are its
    own proxies.
    """

    listen: str
    discovery: str
    dials: Mapping[str, str]
    """Endpoint to dial."""
    fleet: str = ""
    """The list service's fleet address; empty where the service is a stand-in."""
    peer_listen: str = ""
    peers: Mapping[str, str] = field(default_factory=dict)
    """Forwarder to dial; empty where the experiment has no links between forwarders."""


def hosts(exp: Experiment, dials: Mapping[str, str]) -> list[dict[str, Any]]:
    """The endpoints as PROTOCOL's discovery lists them, at the dials given."""
    return [
        {
            "host": e,
            "dial": dial,
            "site": exp.zone_of(e),
            "class": "plain",
            "block": exp.destination_of(e),
            "health": "up",
            "share": exp.fleet.endpoint_rate,
            "born_ms": 0,
        }
        for e, dial in dials.items()
    ]


def settings(exp: Experiment) -> dict[str, Any]:
    """The forwarders' settings (PROTOCOL: 'the settings') for the experiment's
    classes.
    """
    services = [
        {
            "name": c.name,
            "aim_us": int(c.deadline_s * 4e5),
            "deadline_us": int(c.deadline_s * 1e6),
            "effect": c.effect,
            "by_arrival": c.ordered,
        }
        for c in exp.load.classes
    ]
    return {
        "allowed": {
            "conn_idle_us": 5_000_000,
            "dial_timeout_us": 1_000_000,
            "max_attempts": 6,
            "max_open": 50,
            "max_retry_after_us": 3_000_000,
            "retry_after": True,
            "may_cancel": True,
        },
        "balancers": exp.fleet.forwarders,
        "discovery": "on_request",
        "host_types": ["plain"],
        "contract": {
            "grace_to_answer_us": 20_000,
            "drain_grace_us": 500_000,
            "ask_within_us": 10_000_000,
        },
        "family_info": {
            "slots": exp.fleet.slots,
            "kind_batch": [1],
            "routes_apart": [False],
        },
        "orgs": [{"name": "acme", "allowance_per_s": 100_000.0, "fraction": 1.0}],
        "over_share_worth": 0.1,
        "services": services,
        "telemetry": {"fields": [], "how": "none"},
        "weight_source": "nominal",
    }


def fleet(exp: Experiment, name: str, at: Addresses) -> dict[str, Any] | None:
    """The ``fleet`` object, or None where the experiment asks for none: with peers, or
    with parts named.
    """
    if not exp.fleet.peers and not exp.fleet.parts:
        return None
    made: dict[str, Any] = {"name": name, "site": exp.zone_of(name)}
    if at.fleet:
        made["service"] = at.fleet
    if exp.fleet.peers:
        made |= {"listen": at.peer_listen, "peers": dict(at.peers)}
    return made | dict(exp.fleet.parts)


def forwarder(exp: Experiment, seed: int, number: int, at: Addresses) -> dict[str, Any]:
    """The whole configuration of forwarder ``number``."""
    name = f"f{number}"
    made: dict[str, Any] = {
        "name": name,
        "listen": at.listen,
        "discovery": at.discovery,
        "seed": str(seed * 100 + number),
        "durability": exp.fleet.durability,
        "log_format": "json",
        "limits": {"cores": 1, "memory_mb": 256, "sockets": 1024, "disk_mb": 16},
        "known": {"seq": 1, "whole": True, "hosts": hosts(exp, at.dials)},
        "settings": settings(exp),
    }
    part = fleet(exp, name, at)
    return made if part is None else made | {"fleet": part}
