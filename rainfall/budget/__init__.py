"""Budgets: how many calls in a sliding span a whole fleet may make to one destination.

The list service divides them into shares, each member keeps to its share.
"""
