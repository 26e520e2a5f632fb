"""The list service's metrics, as JSON (`/_vars`) and as Prometheus text (`/metrics`).

The tables here map the attributes of the code to the exported names and help texts.
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
    """Counters since the start of the service, and gauges of the current state."""

    reads: int = 0
    """Reads of the endpoint list, watches included."""
    watches_held: int = 0
    """Gauge: open watches of the list and of the fleet."""
    watches_answered: int = 0
    watchers_left: int = 0
    """Watchers that disconnected before their answer."""
    changes: int = 0
    """Changes of the endpoint list that were stored."""
    rejected_calls: int = 0
    """Requests rejected with a status from 400 to 499."""
    epochs: int = 0
    """Epochs of the endpoint list that were begun."""
    epochs_delayed: int = 0
    """Epochs for readers' claims that the rate limit delayed."""
    fence_raises: int = 0
    notices: int = 0
    """Notices received."""
    slow_closed: int = 0
    """Connections aborted because their peers did not read the answers."""
    busy: int = 0
    """Requests and connections answered 503."""
    connections: int = 0
    """Gauge: open connections."""
    write_failures: int = 0


@dataclass(frozen=True, slots=True)
class MetricDefinition:
    """The exported name, help text and type of one field of `ServiceMetrics`."""

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
"""Help texts of the gauges read from the service's state, by exported name."""

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
"""Help texts of the gauges of each budget, by exported name."""


@dataclass(frozen=True, slots=True)
class GaugeTable:
    """A set of gauges that is exported for each value of a label."""

    name: str
    """Key in `/_vars`, and part of the names in `/metrics`."""
    label: str
    help_texts: Mapping[str, str]
    read: Callable[[], dict[str, dict[str, int]]]
    """Returns the gauges by label value, then by name."""


class MetricsCollector(Collector):
    """Collects the service's metrics for Prometheus.

    Uses a registry of its own: the client library's global registry adds process
    metrics, and two services in one test would share it.
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
        """Return nothing, so that the library does not collect at registration."""
        return iter(())

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        """Yield all metrics, in the order of the tables."""
        for definition in SERVICE_METRICS:
            family = GaugeMetricFamily if definition.is_gauge else CounterMetricFamily
            value = getattr(self.metrics, definition.attribute)
            yield family(NAME_PREFIX + definition.name, definition.help_text, value)
        for name, value in self.read_gauges().items():
            yield GaugeMetricFamily(NAME_PREFIX + name, GAUGE_HELP_TEXTS[name], value)
        for table in self.tables:
            yield from _table_families(table)

    def text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)


def service_variables(metrics: ServiceMetrics) -> dict[str, int]:
    """Return the service's counters and gauges by exported name, for `/_vars`."""
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
