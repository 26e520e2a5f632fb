"""The endpoint-facing side: connections, calls and their responses."""
