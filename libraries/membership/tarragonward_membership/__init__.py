"""Decisions, without I/O, about which hosts are there and what they tell each other."""

from .membership import Membership
from .messages import ListedHost, Member, MemberState

__all__ = ["ListedHost", "Member", "MemberState", "Membership"]
