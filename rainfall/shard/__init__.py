"""Sharding of the key space over the members.

Shard maps and their validation, planning, and the migration of keys between members.
"""
