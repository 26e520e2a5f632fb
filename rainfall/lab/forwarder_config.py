"""Builds the configuration of a forwarder.

No other module of the lab depends on the format of a configuration.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from rainfall.lab.experiment_model import Experiment

US_PER_S = 1e6
OBJECTIVE_US_PER_DEADLINE_S = 4e5
"""The latency objective of a class is 40 % of its deadline."""
ATTEMPTS = 6
"""Most attempts of a forwarder for one message."""
OPEN_CONNECTIONS = 50
"""Most connections of a forwarder to one endpoint."""
SEEDS_PER_RUN = 100
"""Distance between the forwarder seeds of consecutive runs."""


@dataclass(slots=True)
class ForwarderAddresses:
    """The addresses, as HOST:PORT, that one forwarder listens on and connects to.

    It connects only to its own proxies.
    """

    listen: str
    discovery: str
    endpoint_dials: Mapping[str, str]
    """By endpoint name."""
    fleet: str = ""
    """The list service's heartbeat address; empty if the service is a stand-in."""
    peer_listen: str = ""
    peer_dials: Mapping[str, str] = field(default_factory=dict)
    """By forwarder name; empty if there are no links between forwarders."""


def host_entries(
    experiment: Experiment, dials: Mapping[str, str]
) -> list[dict[str, Any]]:
    """The endpoint list as defined in PROTOCOL "Discovery"; ``dials`` is by name."""
    return [
        {
            "host": endpoint,
            "dial": dial,
            "site": experiment.zone_of(endpoint),
            "class": "plain",
            "block": experiment.destination_of(endpoint),
            "health": "up",
            "share": experiment.fleet.endpoint_rate,
            "born_ms": 0,
        }
        for endpoint, dial in dials.items()
    ]


def settings(experiment: Experiment) -> dict[str, Any]:
    """The forwarders' settings, as defined in PROTOCOL, for the experiment's classes."""
    services = [
        {
            "name": load_class.name,
            "aim_us": int(load_class.deadline_s * OBJECTIVE_US_PER_DEADLINE_S),
            "deadline_us": int(load_class.deadline_s * US_PER_S),
            "effect": load_class.effect,
            "by_arrival": load_class.ordered,
        }
        for load_class in experiment.load.classes
    ]
    return {
        "allowed": {
            "conn_idle_us": 5_000_000,
            "dial_timeout_us": 1_000_000,
            "max_attempts": ATTEMPTS,
            "max_open": OPEN_CONNECTIONS,
            "max_retry_after_us": 3_000_000,
            "retry_after": True,
            "may_cancel": True,
        },
        "balancers": experiment.fleet.forwarders,
        "discovery": "on_request",
        "host_types": ["plain"],
        "contract": {
            "grace_to_answer_us": 20_000,
            "drain_grace_us": 500_000,
            "ask_within_us": 10_000_000,
        },
        "family_info": {
            "slots": experiment.fleet.slots,
            "kind_batch": [1],
            "routes_apart": [False],
        },
        "orgs": [{"name": "acme", "allowance_per_s": 100_000.0, "fraction": 1.0}],
        "over_share_worth": 0.1,
        "services": services,
        "telemetry": {"fields": [], "how": "none"},
        "weight_source": "nominal",
    }


def fleet_section(
    experiment: Experiment, name: str, addresses: ForwarderAddresses
) -> dict[str, Any] | None:
    """The ``fleet`` object of a configuration; None without peers and parts."""
    if not experiment.fleet.peers and not experiment.fleet.parts:
        return None
    section: dict[str, Any] = {"name": name, "site": experiment.zone_of(name)}
    if addresses.fleet:
        section["service"] = addresses.fleet
    if experiment.fleet.peers:
        section |= {
            "listen": addresses.peer_listen,
            "peers": dict(addresses.peer_dials),
        }
    return section | dict(experiment.fleet.parts)


def configuration(
    experiment: Experiment, seed: int, number: int, addresses: ForwarderAddresses
) -> dict[str, Any]:
    """The configuration of the forwarder ``f{number}``."""
    name = f"f{number}"
    config: dict[str, Any] = {
        "name": name,
        "listen": addresses.listen,
        "discovery": addresses.discovery,
        "seed": str(seed * SEEDS_PER_RUN + number),
        "durability": experiment.fleet.durability,
        "log_format": "json",
        "limits": {"cores": 1, "memory_mb": 256, "sockets": 1024, "disk_mb": 16},
        "known": {
            "seq": 1,
            "whole": True,
            "hosts": host_entries(experiment, addresses.endpoint_dials),
        },
        "settings": settings(experiment),
    }
    section = fleet_section(experiment, name, addresses)
    return config if section is None else config | {"fleet": section}
