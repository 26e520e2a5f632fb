"""How what the program needs grows with what it is given: measurements at rising sizes,
their fitted shapes, and the page that compares the needs at the target's size with what
is allowed.

A module of this package takes part by having a tuple `MEASUREMENTS` of
`results.Measurement`; nothing else needs to name it. `python -m measure.scale --list`
names all there are.
"""
