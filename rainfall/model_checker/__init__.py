"""Exhaustive search of small models of the fleet's protocols, run on the cores that the
processes run.
"""
