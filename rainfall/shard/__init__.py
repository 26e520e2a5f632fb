"""The shard map: its form and checks, how a new one is planned, and how a range moves
between two owners.
"""
