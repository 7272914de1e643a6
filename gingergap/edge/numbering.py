"""Maps dialled numbers to exchanges by the longest matching prefix."""


class NumberingPlan:
    """Prefixes of digits with the number of their exchange. A lookup takes one dict lookup per prefix length."""

    def __init__(self, prefixes: dict[str, int]) -> None:
        self.prefixes = {prefix.lstrip("+"): number for prefix, number in prefixes.items()}
        self.lengths = sorted({len(prefix) for prefix in self.prefixes}, reverse=True)

    def exchange_of(self, number: str) -> int:
        """The exchange that serves a number, -1 if none does. Visual separators are ignored (RFC 3966)."""
        digits = number.lstrip("+").translate({45: None, 46: None, 40: None, 41: None})
        for length in self.lengths:
            exchange = self.prefixes.get(digits[:length])
            if exchange is not None and len(digits) >= length:
                return exchange
        return -1
