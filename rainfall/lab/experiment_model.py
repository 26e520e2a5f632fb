"""The parts of an experiment: fleet, links, load, faults and budgets.

Times are seconds from the start of the load, rates are messages a second.
``docs/operations.md`` describes the file.
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
"""Forwarders of an experiment: each is a process on this machine."""
MAX_PEERS = 32
"""Forwarders with links among them: the number of links is the square of theirs."""
MAX_RATE = 20_000.0
"""Messages a second."""
LIST_SERVICE = "list"
"""The list service's process, and its discovery address as the end of links."""
FLEET_ADDRESS = "fleet"
"""The list service's address for heartbeats as the end of links."""
NS_PER_S = 1e9
CLIENT = "client"
"""The clients' end of links."""


@dataclass(frozen=True, slots=True)
class LoadClass:
    """A class of messages."""

    name: str
    share: float
    """Its part of the load, relative to the other classes."""
    deadline_s: float
    """How long a message may take until it is delivered."""
    effect: str
    """One of ``EFFECTS``: whether an endpoint may execute a message twice."""
    ordered: bool = False
    """Whether messages have a session's key, and are delivered in the session's order."""


@dataclass(frozen=True, slots=True)
class Load:
    """The messages that clients send."""

    rate_per_s: float
    classes: tuple[LoadClass, ...]
    answer_timeout_s: float = 0.4
    max_lag_ms: float = 50.0
    """Past this lag behind its schedule the load makes the run invalid."""
    body_bytes: int = 64
    forwarders: int = 0
    """How many forwarders, from ``f0`` on, receive messages from clients; 0 for all."""
    sessions: int = 0
    """How many sessions there are."""
    sessions_at: str = "home"
    """Whether a session's clients stay at one forwarder (``home``) or not (``any``)."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One event of the timeline.

    ``target`` names a forwarder, an endpoint or the list service (``f1``, ``e3``,
    ``list``), or is a glob of link names (``f1>e*``, ``*>list``) for link faults;
    ``zone`` selects every link into or out of a zone.
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
    """Calls at once that an endpoint with the fault ``limit`` accepts."""
    restart: str = ""
    """``keep`` or ``lose`` its state folder; empty: the process stays ended."""
    after_s: float = 0.5
    """The time between the end of a process and its restart."""


@dataclass(frozen=True, slots=True)
class Budget:
    """A destination's limit: ``calls`` in any sliding ``span_ms``, from all forwarders.

    With ``enforce`` its endpoints reject calls beyond it, with 429 and a wait.
    """

    destination: int
    calls: int
    span_ms: int
    enforce: bool = True


@dataclass(frozen=True, slots=True)
class Nemesis:
    """Faults drawn from the seed; see ``nemesis``."""

    rate_per_s: float
    """Faults a second, at most."""
    kinds: tuple[str, ...]
    longest_s: float = 2.0
    """The longest time that a fault lasts."""
    quiet_s: float = 2.0
    """How long before the end of the load the last fault is over."""
    lose: float = 0.0
    """The part of a forwarder's restarts that lose its state folder."""
    service_lose: float = 0.0
    """The same of the list service."""
    all_at_once: bool = False
    """Whether every forwarder may be out of use at the same time."""


@dataclass(frozen=True, slots=True)
class Fleet:
    """The processes, endpoints and links of an experiment."""

    forwarders: int
    destinations: tuple[int, ...]
    endpoints_per_destination: int
    zones: tuple[str, ...]
    slots: int = 8
    """Calls at once to one endpoint, as the forwarders' settings say."""
    durability: str = "process"
    endpoint_rate: float = 200.0
    """Calls a second that each endpoint is listed with, as its ``share``."""
    service: bool = False
    """Whether the list service is ``python -m rainfall.registry``, or a stand-in."""
    service_args: tuple[str, ...] = ()
    """Further options of its command line, such as ``["--lease-ms", "900"]``."""
    peers: bool = False
    """Whether each forwarder has a proxied link to each other one."""
    most_connections: int = 0
    """Proxied connections open at once; 0: as many as the lab's descriptors allow."""
    parts: Mapping[str, Any] = field(default_factory=dict)
    """Copied into the ``fleet`` object of every forwarder's configuration."""


@dataclass(frozen=True, slots=True)
class Experiment:
    """One experiment, as its file describes it."""

    name: str
    seed: int
    duration_s: float
    settle_s: float
    """How long after the load messages may take until the verdict."""
    fleet: Fleet
    load: Load
    faults: tuple[Fault, ...] = ()
    budgets: tuple[Budget, ...] = ()
    nemesis: Nemesis | None = None

    def forwarder_names(self) -> list[str]:
        """``f0``, ``f1``, ..."""
        return [f"f{number}" for number in range(self.fleet.forwarders)]

    def endpoint_names(self) -> list[str]:
        """``e0``, ``e1``, ...; those of one destination stand together."""
        destination_count = len(self.fleet.destinations)
        endpoint_count = destination_count * self.fleet.endpoints_per_destination
        return [f"e{number}" for number in range(endpoint_count)]

    def process_names(self) -> list[str]:
        """The forwarders, and the list service if it is a process."""
        names = self.forwarder_names()
        if self.fleet.service:
            names.append(LIST_SERVICE)
        return names

    def zone_of(self, member: str) -> str:
        """The zone of a forwarder or an endpoint.

        They are spread over the zones in turn: f0 and e0 are in the first, f1 and e1 in
        the second.
        """
        return self.fleet.zones[int(member[1:]) % len(self.fleet.zones)]

    def destination_of(self, endpoint: str) -> int:
        """The destination that an endpoint belongs to."""
        number = int(endpoint[1:])
        return self.fleet.destinations[number // self.fleet.endpoints_per_destination]

    def effects(self) -> dict[str, str]:
        """The effect of each class."""
        return {load_class.name: load_class.effect for load_class in self.load.classes}

    def deadlines_ns(self) -> dict[str, int]:
        """The deadline of each class."""
        return {
            load_class.name: int(load_class.deadline_s * NS_PER_S)
            for load_class in self.load.classes
        }


def link_names(experiment: Experiment) -> list[str]:
    """Every link's name.

    These are ``client>f0``, ``f0>list``, ``f0>e1``; with the list service as a process
    ``f0>fleet``; with peers ``f0>f1``.
    """
    names: list[str] = []
    for forwarder in experiment.forwarder_names():
        names.append(f"{CLIENT}>{forwarder}")
        names.append(f"{forwarder}>{LIST_SERVICE}")
        names += [f"{forwarder}>{endpoint}" for endpoint in experiment.endpoint_names()]
        if experiment.fleet.service:
            names.append(f"{forwarder}>{FLEET_ADDRESS}")
        if experiment.fleet.peers:
            names += [
                f"{forwarder}>{peer}"
                for peer in experiment.forwarder_names()
                if peer != forwarder
            ]
    return names


def matching_links(experiment: Experiment, fault: Fault) -> list[str]:
    """The links of a link fault: by glob, or all those with an end in its zone."""
    all_links = link_names(experiment)
    if fault.zone:
        return [name for name in all_links if _touches(experiment, name, fault.zone)]
    return [name for name in all_links if fnmatch.fnmatchcase(name, fault.target)]


def _touches(experiment: Experiment, link: str, zone: str) -> bool:
    """Whether an end of a link is in a zone."""
    return any(
        end not in (CLIENT, LIST_SERVICE, FLEET_ADDRESS)
        and experiment.zone_of(end) == zone
        for end in link.split(">")
    )
