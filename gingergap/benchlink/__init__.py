"""The adapter that feeds the decision module from the simulator's wire."""
