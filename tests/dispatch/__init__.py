"""Tests of rainfall.dispatch, which makes every decision about a message."""
