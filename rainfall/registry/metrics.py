"""The list service's figures: counted in one place, told as JSON (`/_vars`) and as
Prometheus text.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, fields

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

GAUGES = (
    "watches_held",
    "connections",
)  # what stands, and falls again; all else only grows


@dataclass
class ServiceMetrics:
    reads: int = 0
    watches_held: int = 0
    watches_answered: int = 0
    watchers_left: int = 0
    changes: int = 0
    refused: int = 0
    epochs: int = 0
    lifts_put_off: int = 0
    fence_lifts: int = 0
    notices: int = 0
    slow_closed: int = 0
    busy: int = 0
    connections: int = 0
    write_failures: int = 0


class MetricsCollector(Collector):
    """`/metrics`: the figures, and what `state` tells at that moment, from a registry
    of its own (the client library's global one would add the process's, and would be
    shared by two services in a test).
    """

    def __init__(
        self,
        figures: ServiceMetrics,
        state: Callable[[], Mapping[str, int]],
        tables: Mapping[str, tuple[str, Callable[[], dict[str, dict[str, int]]]]],
    ) -> None:
        self.metrics, self.gauges, self.tables = figures, state, tables
        self.registry = CollectorRegistry()
        self.registry.register(self)

    def describe(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        return iter(())

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        for field in fields(self.metrics):
            value = getattr(self.metrics, field.name)
            name = f"lemonshunt_registry_{field.name}"
            description = field.name.replace("_", " ")
            if field.name in GAUGES:
                yield GaugeMetricFamily(name, f"{description} now", value)
            else:
                yield CounterMetricFamily(name, f"{description} since the start", value)
        for name, value in self.gauges().items():
            yield GaugeMetricFamily(
                f"lemonshunt_registry_{name}", f"{name.replace('_', ' ')} now", value
            )
        for part, (label, read_table) in self.tables.items():
            yield from _gauge_families(part, label, read_table())

    def text(self) -> bytes:
        return generate_latest(self.registry)


def _gauge_families(
    part: str, label: str, told: Mapping[str, Mapping[str, int]]
) -> Iterator[GaugeMetricFamily]:
    names = {name: None for figures in told.values() for name in figures}
    for name in names:
        family = GaugeMetricFamily(
            f"lemonshunt_registry_{part}_{name}",
            f"{name.replace('_', ' ')} of a {part} now",
            labels=[label],
        )
        for which, figures in told.items():
            family.add_metric([which], figures[name])
        yield family
