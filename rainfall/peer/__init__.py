"""Links between forwarders: what they say to each other, bounded, and what holds for
one link.
"""
