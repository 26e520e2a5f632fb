"""Shared test support: loopback peers, simulated worlds and pytest plugins."""
