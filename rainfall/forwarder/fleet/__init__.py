"""The forwarder as a member of a fleet: heartbeats, quotas and their state file."""
