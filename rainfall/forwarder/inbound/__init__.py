"""The client-facing side: connections, HTTP requests and submitted messages."""
