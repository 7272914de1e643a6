"""Dialled number to exchange: the longest prefix that fits."""


class Numbering:
    """Prefixes of digits, each leading to an exchange's number. A look costs one dict look a digit at most."""

    def __init__(self, prefixes: dict[str, int]) -> None:
        self.prefixes = {prefix.lstrip("+"): number for prefix, number in prefixes.items()}
        self.lengths = sorted({len(prefix) for prefix in self.prefixes}, reverse=True)

    def exchange(self, number: str) -> int:
        """The exchange that serves a number; -1 where none does. Visual separators are ignored (RFC 3966)."""
        digits = number.lstrip("+").translate({45: None, 46: None, 40: None, 41: None})
        for length in self.lengths:
            found = self.prefixes.get(digits[:length])
            if found is not None and len(digits) >= length:
                return found
        return -1
