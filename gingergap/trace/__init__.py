"""Trace files: every event that entered the decision module and every action it asked for, in order, to be replayed."""
