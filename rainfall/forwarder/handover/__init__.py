"""Handover of the journal from a running forwarder process to its replacement."""
