"""Chance by purpose: each purpose has a generator of its own, drawn from the seed and its name, so that a change in one part of a
day leaves all other draws alike (common random numbers; Law, Simulation Modeling and Analysis, ch. 11)."""

import hashlib

import numpy as np

BUFFER = 512


class Stream:
    """Draws of one purpose, made many at a time."""

    def __init__(self, seed: int, purpose: str) -> None:
        words = np.frombuffer(hashlib.blake2s(f"{seed} {purpose}".encode()).digest(), dtype=np.uint32)
        self.generator = np.random.Generator(np.random.PCG64(np.random.SeedSequence(words.tolist())))
        self.uniforms: list[float] = []
        self.exponentials: list[float] = []
        self.normals: list[float] = []

    def uniform(self) -> float:
        """In [0, 1)."""
        if not self.uniforms:
            self.uniforms = self.generator.random(BUFFER).tolist()
        return self.uniforms.pop()

    def exponential(self) -> float:
        """Of mean 1."""
        if not self.exponentials:
            self.exponentials = self.generator.standard_exponential(BUFFER).tolist()
        return self.exponentials.pop()

    def normal(self) -> float:
        if not self.normals:
            self.normals = self.generator.standard_normal(BUFFER).tolist()
        return self.normals.pop()

    def pick(self, cumulative: list[float]) -> int:
        """A place by cumulative weights."""
        from bisect import bisect_right

        return min(bisect_right(cumulative, self.uniform() * cumulative[-1]), len(cumulative) - 1)
