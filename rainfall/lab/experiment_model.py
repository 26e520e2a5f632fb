"""Data classes of an experiment: fleet, links, load, faults and budgets.

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
"""Most forwarders of an experiment; each is a process on this machine."""
MAX_PEERS = 32
"""Most forwarders with links to each other; the links grow with their square."""
MAX_RATE = 20_000.0
"""Highest load, in messages a second."""
LIST_SERVICE = "list"
"""Name of the list service's process and, in link names, of its discovery address."""
FLEET_ADDRESS = "fleet"
"""Name of the list service's heartbeat address in link names."""
NS_PER_S = 1e9
CLIENT = "client"
"""Name of the clients in link names."""


@dataclass(frozen=True, slots=True)
class LoadClass:
    """A class of messages."""

    name: str
    share: float
    """Weight of the class in the load, relative to the other classes."""
    deadline_s: float
    """Time within which a message must be delivered."""
    effect: str
    """One of ``EFFECTS``: whether an endpoint may execute a message twice."""
    ordered: bool = False
    """Whether messages carry a session key and are delivered in session order."""


@dataclass(frozen=True, slots=True)
class Load:
    """The messages that clients send."""

    rate_per_s: float
    classes: tuple[LoadClass, ...]
    answer_timeout_s: float = 0.4
    max_lag_ms: float = 50.0
    """The run is invalid if the load lags further behind its schedule."""
    body_bytes: int = 64
    forwarders: int = 0
    """How many forwarders, starting at ``f0``, receive messages from clients; 0: all."""
    sessions: int = 0
    """Number of sessions."""
    sessions_at: str = "home"
    """``home``: a session's clients use one forwarder; ``any``: they use all."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of the timeline.

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
    """Concurrent calls that an endpoint with the fault ``limit`` accepts."""
    restart: str = ""
    """Restart with the state folder (``keep``) or without (``lose``); empty: no restart."""
    after_s: float = 0.5
    """Time between the end of a process and its restart."""


@dataclass(frozen=True, slots=True)
class Budget:
    """A destination's rate limit over all forwarders: ``calls`` in any sliding ``span_ms``.

    With ``enforce``, the endpoints reject calls over the limit with 429 and a wait time.
    """

    destination: int
    calls: int
    span_ms: int
    enforce: bool = True


@dataclass(frozen=True, slots=True)
class RandomFaults:
    """Settings of the faults drawn from the seed: the table ``[nemesis]``.

    The module ``nemesis`` draws them.
    """

    rate_per_s: float
    """Upper limit of the rate of faults, per second."""
    kinds: tuple[str, ...]
    longest_s: float = 2.0
    """Longest duration of a fault."""
    quiet_s: float = 2.0
    """Time without faults before the end of the load."""
    lose: float = 0.0
    """Probability that a forwarder's restart loses its state folder."""
    service_lose: float = 0.0
    """Probability that the list service's restart loses its state folder."""
    all_at_once: bool = False
    """Whether all forwarders may be unavailable at the same time."""


@dataclass(frozen=True, slots=True)
class Fleet:
    """The processes, endpoints and links of an experiment."""

    forwarders: int
    destinations: tuple[int, ...]
    endpoints_per_destination: int
    zones: tuple[str, ...]
    slots: int = 8
    """Concurrent calls of a forwarder to one endpoint, in the forwarders' settings."""
    durability: str = "process"
    endpoint_rate: float = 200.0
    """Calls per second that each endpoint is listed with, as its ``share``."""
    service: bool = False
    """True: the list service is ``python -m rainfall.registry``; False: a stand-in."""
    service_args: tuple[str, ...] = ()
    """Further options of the list service, such as ``["--lease-ms", "900"]``."""
    peers: bool = False
    """Whether each forwarder has a proxied link to each other one."""
    most_connections: int = 0
    """Limit of open proxied connections; 0: as many as the file descriptors allow."""
    parts: Mapping[str, Any] = field(default_factory=dict)
    """Copied into the ``fleet`` object of every forwarder's configuration."""


@dataclass(frozen=True, slots=True)
class Experiment:
    """One experiment, as its file describes it."""

    name: str
    seed: int
    duration_s: float
    settle_s: float
    """Time after the load for messages to reach a final state before the verdict."""
    fleet: Fleet
    load: Load
    faults: tuple[Fault, ...] = ()
    budgets: tuple[Budget, ...] = ()
    random_faults: RandomFaults | None = None

    def forwarder_names(self) -> list[str]:
        """``f0``, ``f1``, ..."""
        return [f"f{number}" for number in range(self.fleet.forwarders)]

    def endpoint_names(self) -> list[str]:
        """``e0``, ``e1``, ...; endpoints of one destination have consecutive numbers."""
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

        Members are assigned round-robin: f0 and e0 are in the first zone, f1 and e1 in
        the second.
        """
        return self.fleet.zones[int(member[1:]) % len(self.fleet.zones)]

    def destination_of(self, endpoint: str) -> int:
        """The destination that an endpoint belongs to."""
        number = int(endpoint[1:])
        return self.fleet.destinations[number // self.fleet.endpoints_per_destination]

    def effects(self) -> dict[str, str]:
        """The effect of each class, by name."""
        return {load_class.name: load_class.effect for load_class in self.load.classes}

    def deadlines_ns(self) -> dict[str, int]:
        """The deadline of each class in ns, by name."""
        return {
            load_class.name: int(load_class.deadline_s * NS_PER_S)
            for load_class in self.load.classes
        }


def link_names(experiment: Experiment) -> list[str]:
    """The names of all links.

    Examples: ``client>f0``, ``f0>list`` and ``f0>e1``; ``f0>fleet`` if the list service
    is a process; ``f0>f1`` if the forwarders are peers.
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
    """The links that a link fault affects: by its zone, else by its glob."""
    all_links = link_names(experiment)
    if fault.zone:
        return [name for name in all_links if _touches(experiment, name, fault.zone)]
    return [name for name in all_links if fnmatch.fnmatchcase(name, fault.target)]


def _touches(experiment: Experiment, link: str, zone: str) -> bool:
    """Whether either end of a link is in a zone."""
    return any(
        end not in (CLIENT, LIST_SERVICE, FLEET_ADDRESS)
        and experiment.zone_of(end) == zone
        for end in link.split(">")
    )
