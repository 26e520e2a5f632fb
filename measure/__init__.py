"""Measurements of what the program costs, each run as `python -m measure.NAME`."""
