"""How the program's needs grow with the size of its input.

Here are measurements at rising sizes, the growth fitted to them, and the page that
compares the needs at the target's size with the limits.

A module of this package takes part by having a tuple `MEASUREMENTS` of
`results.Measurement`; nothing else has to name it. `python -m measure.scale --list`
names all measurements.
"""
