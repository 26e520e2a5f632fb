"""The fleet lab: many forwarders on loopback, faults between them, an open-loop load,
and a verdict on what was lost or doubled. ``python -m rainfall.lab --help``; design
in ``docs/parts.md``.
"""
