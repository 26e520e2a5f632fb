"""The engine: rounds of decisions, intake, startup, operations and shutdown."""
