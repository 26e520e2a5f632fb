"""Tests of the running forwarder."""
