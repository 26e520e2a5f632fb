"""Links between forwarders: their frames, and the state of one link."""
