"""A message forwarder: accepts messages over HTTP and delivers them to endpoints."""

from rainfall.dispatch import Dispatcher

__all__ = ["Dispatcher"]
