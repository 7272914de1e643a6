"""Random number streams, one for each purpose, seeded from the day's seed and the purpose's name: a change in one part of a day
leaves the draws of all other parts alike (common random numbers; Law, Simulation Modeling and Analysis, ch. 11)."""

import hashlib

import numpy as np

BUFFER_SIZE = 512


class Stream:
    """Draws for one purpose, generated in batches of `BUFFER_SIZE`."""

    def __init__(self, seed: int, purpose: str) -> None:
        seed_words = np.frombuffer(hashlib.blake2s(f"{seed} {purpose}".encode()).digest(), dtype=np.uint32)
        self.generator = np.random.Generator(np.random.PCG64(np.random.SeedSequence(seed_words.tolist())))
        self.uniforms: list[float] = []
        self.exponentials: list[float] = []
        self.normals: list[float] = []

    def uniform(self) -> float:
        """Uniform in [0, 1)."""
        if not self.uniforms:
            self.uniforms = self.generator.random(BUFFER_SIZE).tolist()
        return self.uniforms.pop()

    def exponential(self) -> float:
        """Exponential with mean 1."""
        if not self.exponentials:
            self.exponentials = self.generator.standard_exponential(BUFFER_SIZE).tolist()
        return self.exponentials.pop()

    def normal(self) -> float:
        """Standard normal."""
        if not self.normals:
            self.normals = self.generator.standard_normal(BUFFER_SIZE).tolist()
        return self.normals.pop()

    def pick_index(self, cumulative_weights: list[float]) -> int:
        """An index, drawn with the given cumulative weights."""
        from bisect import bisect_right

        return min(bisect_right(cumulative_weights, self.uniform() * cumulative_weights[-1]), len(cumulative_weights) - 1)
