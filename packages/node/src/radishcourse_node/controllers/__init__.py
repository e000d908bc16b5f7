"""Controllers: each owns one part of the node's state.

A controller may have a background task, `run`, which the node starts.
"""
