"""rainfall: the decisions of a dispatcher of notifications to outside receivers."""

from rainfall.choice import Dispatcher

__all__ = ["Dispatcher"]
