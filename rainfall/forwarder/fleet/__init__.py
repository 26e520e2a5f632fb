"""The forwarder as a member of its fleet: heartbeats, quotas and their state file."""
