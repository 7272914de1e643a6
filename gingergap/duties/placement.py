"""Assignment of duties to members: weighted rendezvous hashing (Thaler and Ravishankar 1998; weights as in Schindelhauer and
Schomaker 2005). All members that know the same group compute the same ranking, and a member that joins or leaves moves only
the duties that it gains or had."""

import math
from hashlib import blake2b


def score(member: str, weight: float, duty: str) -> float:
    """The member with the highest score is preferred. Derived from a hash, so equal in every process."""
    digest = blake2b(f"{member}\0{duty}".encode(), digest_size=8).digest()
    unit = (int.from_bytes(digest) + 1) / (2**64 + 1)
    return -weight / math.log(unit)


def rank_members(members: dict[str, int], duty: str) -> list[str]:
    """Members in order of preference for the duty. `members` maps names to weights."""
    return sorted(members, key=lambda name: (-score(name, members[name], duty), name))
