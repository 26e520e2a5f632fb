"""The configuration: loading, validation, and comparison with a new one."""
