"""All decisions. Types, events and actions: rainfall/interface.py.

Begin at dispatcher.py.

A module here imports only those named before it: `shares` < `books` < `queues` <
`health` < `limits` < `giving` < `learning`, `order`, `routes`, `memory` < `dispatcher`.
"""

from rainfall.choice.dispatcher import Dispatcher

__all__ = ["Dispatcher"]
