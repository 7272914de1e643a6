"""Experiments on emulated days: policies and levels of factors over the same seeds, stored as Parquet, compared in pairs."""
