"""The list service's metrics, as JSON (`/_vars`) and as Prometheus text (`/metrics`).

The names and help texts that are sent stand here, in tables; the code has its own names.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

NAME_PREFIX = "lemonshunt_registry_"


@dataclass
class ServiceMetrics:
    """What the service counts itself, since its start unless it says `now`."""

    reads: int = 0
    """Reads of the endpoint list, watches included."""
    watches_held: int = 0
    """Watches held now, of the list and of the fleet."""
    watches_answered: int = 0
    watchers_left: int = 0
    """Watchers that disconnected before their answer."""
    changes: int = 0
    """Changes of the endpoint list that were stored."""
    rejected_calls: int = 0
    """Calls answered with a status from 400 to 499."""
    epochs: int = 0
    """Epochs of the endpoint list that were begun."""
    epochs_delayed: int = 0
    """Epochs that readers' claims asked for too soon after others."""
    fence_raises: int = 0
    notices: int = 0
    """Notices received."""
    slow_closed: int = 0
    """Connections aborted because their peers did not read the answers."""
    busy: int = 0
    """Calls and connections answered 503."""
    connections: int = 0
    """Connections open now."""
    write_failures: int = 0


@dataclass(frozen=True, slots=True)
class MetricDefinition:
    """How one field of `ServiceMetrics` is sent."""

    attribute: str
    name: str
    help_text: str
    is_gauge: bool = False


SERVICE_METRICS = (
    MetricDefinition("reads", "reads", "reads since the start"),
    MetricDefinition("watches_held", "watches_held", "watches held now", is_gauge=True),
    MetricDefinition(
        "watches_answered", "watches_answered", "watches answered since the start"
    ),
    MetricDefinition("watchers_left", "watchers_left", "watchers left since the start"),
    MetricDefinition("changes", "changes", "changes since the start"),
    MetricDefinition("rejected_calls", "refused", "refused since the start"),
    MetricDefinition("epochs", "epochs", "epochs since the start"),
    MetricDefinition(
        "epochs_delayed", "lifts_put_off", "lifts put off since the start"
    ),
    MetricDefinition("fence_raises", "fence_lifts", "fence lifts since the start"),
    MetricDefinition("notices", "notices", "notices since the start"),
    MetricDefinition("slow_closed", "slow_closed", "slow closed since the start"),
    MetricDefinition("busy", "busy", "busy since the start"),
    MetricDefinition("connections", "connections", "connections now", is_gauge=True),
    MetricDefinition(
        "write_failures", "write_failures", "write failures since the start"
    ),
)

GAUGE_HELP_TEXTS = {
    "epoch": "epoch now",
    "fence": "fence now",
    "seq": "seq now",
    "floor": "floor now",
    "listed": "listed now",
    "entries_kept": "entries kept now",
    "syncs": "syncs now",
    "queued": "queued now",
    "fleet_epoch": "fleet epoch now",
    "fleet_version": "fleet version now",
    "fleet_syncs": "fleet syncs now",
    "leases": "leases now",
    "members_alive": "members alive now",
    "members_suspect": "members suspect now",
    "frozen_ms": "frozen ms now",
    "map_generation": "map generation now",
    "map_ranges": "map ranges now",
    "map_holders": "map holders now",
    "map_moving": "map moving now",
}
"""Gauges that are read from the service's state, by the name that is sent."""

BUDGET_HELP_TEXTS = {
    "whole": "whole of a budget now",
    "counted": "counted of a budget now",
    "free": "free of a budget now",
    "cooling": "cooling of a budget now",
    "set_aside": "set aside of a budget now",
    "needed": "needed of a budget now",
    "shared": "shared of a budget now",
    "reserves": "reserves of a budget now",
    "holders": "holders of a budget now",
    "unacknowledged": "unacknowledged of a budget now",
    "scarce": "scarce of a budget now",
    "shut": "shut of a budget now",
}
"""Gauges of each budget, by the name that is sent."""


@dataclass(frozen=True, slots=True)
class GaugeTable:
    """The same gauges for several things, which a label tells apart."""

    name: str
    """Key in `/_vars`, and part of the names in `/metrics`."""
    label: str
    help_texts: Mapping[str, str]
    read: Callable[[], dict[str, dict[str, int]]]
    """The gauges by name, by value of the label."""


class MetricsCollector(Collector):
    """Collects the service's metrics for Prometheus.

    It has a registry of its own: the client library's global one adds metrics of the
    process, and would be shared by two services in a test.
    """

    def __init__(
        self,
        metrics: ServiceMetrics,
        read_gauges: Callable[[], Mapping[str, int]],
        tables: list[GaugeTable],
    ) -> None:
        self.metrics = metrics
        self.read_gauges = read_gauges
        self.tables = tables
        self.registry = CollectorRegistry()
        self.registry.register(self)

    def describe(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        """Nothing: the library then does not collect at registration."""
        return iter(())

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        """All metrics, in the order of the tables."""
        for definition in SERVICE_METRICS:
            family = GaugeMetricFamily if definition.is_gauge else CounterMetricFamily
            value = getattr(self.metrics, definition.attribute)
            yield family(NAME_PREFIX + definition.name, definition.help_text, value)
        for name, value in self.read_gauges().items():
            yield GaugeMetricFamily(NAME_PREFIX + name, GAUGE_HELP_TEXTS[name], value)
        for table in self.tables:
            yield from _table_families(table)

    def text(self) -> bytes:
        """The metrics in Prometheus's text format."""
        return generate_latest(self.registry)


def service_variables(metrics: ServiceMetrics) -> dict[str, int]:
    """The service's own metrics by the names that are sent, for `/_vars`."""
    return {
        definition.name: getattr(metrics, definition.attribute)
        for definition in SERVICE_METRICS
    }


def _table_families(table: GaugeTable) -> Iterator[GaugeMetricFamily]:
    rows = table.read()
    names = dict.fromkeys(name for gauges in rows.values() for name in gauges)
    for name in names:
        family = GaugeMetricFamily(
            f"{NAME_PREFIX}{table.name}_{name}",
            table.help_texts[name],
            labels=[table.label],
        )
        for label_value, gauges in rows.items():
            family.add_metric([label_value], gauges[name])
        yield family
