"""Experiments on emulated days: policies and levels of factors over the same seeds, kept as Parquet, compared in pairs."""
