"""Endpoints: connections, calls and responses."""
