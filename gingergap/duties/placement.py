"""Which member is to do a duty: weighted rendezvous hashing (Thaler and Ravishankar 1998; weights as in Schindelhauer and
Schomaker 2005). Everybody who knows the same members ranks alike, and a member that comes or goes moves only what it
takes or had."""

import math
from hashlib import blake2b


def score(member: str, weight: float, duty: str) -> float:
    """The higher, the nearer. Drawn from a hash, so alike in every process."""
    digest = blake2b(f"{member}\0{duty}".encode(), digest_size=8).digest()
    unit = (int.from_bytes(digest) + 1) / (2**64 + 1)
    return -weight / math.log(unit)


def rank_members(members: dict[str, int], duty: str) -> list[str]:
    """Members by how near the duty is to them, the owner first."""
    return sorted(members, key=lambda name: (-score(name, members[name], duty), name))
