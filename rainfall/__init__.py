"""rainfall, a message forwarder."""

from rainfall.dispatch import Dispatcher

__all__ = ["Dispatcher"]
