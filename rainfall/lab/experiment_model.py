"""What an experiment of the fleet lab is made of: members, links, load, faults,
budgets.

Times are seconds from the start of the load, rates messages a second; see
``docs/operations.md``.
"""

from __future__ import annotations

import fnmatch
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

LINK_KINDS = ("delay", "drop", "reset", "silence", "oneway")
PROCESS_KINDS = ("kill", "pause", "term")
ENDPOINT_KINDS = ("slow", "failing", "limit", "cold")
KINDS = LINK_KINDS + PROCESS_KINDS + ENDPOINT_KINDS
EFFECTS = ("once", "repeatable")
MAX_FORWARDERS = 64
MAX_PEERS = 32
"""Forwarders at most where each has a proxied link to each other one: their links grow
with the square.
"""
MAX_RATE = 20_000.0
LIST_SERVICE = "list"
"""The name of the list service's process, and of the discovery end of the links to
it.
"""
FLEET_ADDRESS = "fleet"
"""The name of the fleet end (beats) of the links to the list service."""


@dataclass(frozen=True, slots=True)
class LoadClass:
    name: str
    share: float
    deadline_s: float
    effect: str
    ordered: bool = False
    """Its messages carry a session's key and keep their order."""


@dataclass(frozen=True, slots=True)
class Load:
    rate_per_s: float
    classes: tuple[LoadClass, ...]
    answer_timeout_s: float = 0.4
    max_lag_ms: float = 50.0
    body_bytes: int = 64
    forwarders: int = 0
    """How many forwarders, from ``f0`` on, are handed messages; 0 for all."""
    sessions: int = 0
    sessions_at: str = "home"
    """``home``: a session's clients stay at one forwarder; ``any``: each message comes
    at any.
    """


@dataclass(frozen=True, slots=True)
class Fault:
    """One event of the timeline.

    ``target`` names a forwarder, an endpoint or the list service (``f1``, ``e3``,
    ``list``), or is a glob of link names (``f1>e*``, ``*>list``) for link faults;
    ``zone`` hits every link into or out of a zone.
    """

    at_s: float
    kind: str
    target: str = ""
    zone: str = ""
    for_s: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    share: float = 1.0
    limit: int = 1
    restart: str = ""
    after_s: float = 0.5


@dataclass(frozen=True, slots=True)
class Budget:
    """The whole of a destination: at most ``calls`` in any sliding ``span_ms``, from
    all forwarders together. ``enforce``: its endpoints refuse (429 with a wait) what
    they are called beyond it.
    """

    destination: int
    calls: int
    span_ms: int
    enforce: bool = True


@dataclass(frozen=True, slots=True)
class Nemesis:
    """Faults drawn from the seed (``nemesis.py``): how many a second, of which kinds,
    the longest stop or cut, how long before the load's end the last one is over, and
    the shares of restarts that lose the folder (of a forwarder, of the service).
    """

    rate_per_s: float
    kinds: tuple[str, ...]
    longest_s: float = 2.0
    quiet_s: float = 2.0
    lose: float = 0.0
    service_lose: float = 0.0
    all_at_once: bool = False


@dataclass(frozen=True, slots=True)
class Fleet:
    forwarders: int
    destinations: tuple[int, ...]
    endpoints_per_destination: int
    zones: tuple[str, ...]
    slots: int = 8
    durability: str = "process"
    endpoint_rate: float = 200.0
    """Calls a second that each endpoint is listed for (its ``share`` in the list)."""
    service: bool = False
    """The list service is a process of its own (``python -m rainfall.registry``), not
    a stand-in.
    """
    service_args: tuple[str, ...] = ()
    """Added to its command line, such as ``["--lease-ms", "900"]``."""
    peers: bool = False
    """Each forwarder has a proxied link to each other one."""
    most_connections: int = 0
    """Proxied connections open at once; 0 for what the descriptors of the lab's process
    allow.
    """
    parts: Mapping[str, Any] = field(default_factory=dict)
    """Copied into the ``fleet`` object of every forwarder's configuration."""


@dataclass(frozen=True, slots=True)
class Experiment:
    name: str
    seed: int
    duration_s: float
    settle_s: float
    fleet: Fleet
    load: Load
    faults: tuple[Fault, ...] = ()
    budgets: tuple[Budget, ...] = ()
    nemesis: Nemesis | None = None

    def forwarder_names(self) -> list[str]:
        return [f"f{n}" for n in range(self.fleet.forwarders)]

    def endpoint_names(self) -> list[str]:
        return [
            f"e{n}"
            for n in range(
                len(self.fleet.destinations) * self.fleet.endpoints_per_destination
            )
        ]

    def process_names(self) -> list[str]:
        return [
            *self.forwarder_names(),
            *([LIST_SERVICE] if self.fleet.service else []),
        ]

    def zone_of(self, member: str) -> str:
        """Members are spread over the zones in turn: f0 and e0 in the first, f1 and e1
        in the second.
        """
        return self.fleet.zones[int(member[1:]) % len(self.fleet.zones)]

    def destination_of(self, endpoint: str) -> int:
        return self.fleet.destinations[
            int(endpoint[1:]) // self.fleet.endpoints_per_destination
        ]

    def effect_of(self, cls: str) -> str:
        return next(c.effect for c in self.load.classes if c.name == cls)


def link_names(experiment: Experiment) -> list[str]:
    """Every link's name: ``client>f0``, ``f0>e1``, ``f0>list``; with the service as a
    process ``f0>fleet``, and with peers ``f0>f1``.
    """
    names: list[str] = []
    for forwarder in experiment.forwarder_names():
        names += [
            f"client>{forwarder}",
            f"{forwarder}>{LIST_SERVICE}",
            *(f"{forwarder}>{e}" for e in experiment.endpoint_names()),
        ]
        names += [f"{forwarder}>{FLEET_ADDRESS}"] if experiment.fleet.service else []
        if experiment.fleet.peers:
            names += [
                f"{forwarder}>{peer}"
                for peer in experiment.forwarder_names()
                if peer != forwarder
            ]
    return names


def matching_links(experiment: Experiment, fault: Fault) -> list[str]:
    """The links that a link fault hits: by glob, or all those with one end in its zone."""
    all_links = link_names(experiment)
    if fault.zone:

        def inside(name: str) -> bool:
            return any(
                end not in ("client", LIST_SERVICE, FLEET_ADDRESS)
                and experiment.zone_of(end) == fault.zone
                for end in name.split(">")
            )

        return [name for name in all_links if inside(name)]
    return [name for name in all_links if fnmatch.fnmatchcase(name, fault.target)]
