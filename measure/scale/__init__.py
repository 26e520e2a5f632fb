"""Measurements of how the program's needs grow with the size of its input.

The package contains the measurements, the growth fitted to their results, and the page
that compares the needs at the target's size with the limits.

A module registers its measurements in a tuple `MEASUREMENTS` of `results.Measurement`;
they are discovered by that name. `python -m measure.scale --list` lists all
measurements.
"""
