"""Tests of the model checker."""
