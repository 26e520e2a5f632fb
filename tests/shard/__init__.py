"""Tests of the shard map."""
