"""Tests of links between forwarders."""
