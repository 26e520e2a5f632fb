"""Budgets: the calls that the fleet may make to a destination in a sliding span.

The list service divides a budget into shares; each member enforces its own share.
"""
