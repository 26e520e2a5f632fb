"""The protocol between forwarders: frames, and the state machine of one link."""
