"""Which member owns which part of the key space.

Maps and their checks, planning, and the migration of keys from one member to another.
"""
