"""Clients: their connections and requests."""
