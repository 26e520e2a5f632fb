"""The configuration: reading, checking and comparing it."""
