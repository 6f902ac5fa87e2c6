"""Carries the router's questions and news about prefixes to their home nodes and back."""

from wheelslip.peers.messages import (
    MemberInfo,
    PrefixAnswer,
    PrefixAsk,
    PrefixMessage,
    PrefixTell,
)
from wheelslip.peers.task import MembershipTask
from wheelslip.routing import rendezvous
from wheelslip.routing.model import HomeLookup, HomeUpdate
from wheelslip.routing.prefix_registry import PrefixHint
from wheelslip.routing.task import RouterTask


class PrefixLink:
    """Finds a prefix's home among the nodes of this region and talks to it."""

    def __init__(self, me: MemberInfo, membership: MembershipTask):
        self._me = me
        self._membership = membership

    def home_address(self, head: int) -> str | None:
        """Return the address of a prefix's home, or ``None`` when it is this node."""
        members = {
            member.name: member.address
            for member in self._membership.view.members
            if member.region == self._me.region
        }
        name = rendezvous.owner(str(head), members)
        return None if name in (None, self._me.name) else members[name]

    def send(self, address: str, message: HomeLookup | HomeUpdate) -> None:
        """Send a question or news."""
        if isinstance(message, HomeLookup):
            ask = PrefixAsk(self._me.address, message.head, message.plan)
            self._membership.send_prefix(address, ask)
        else:
            self._membership.send_prefix(address, PrefixTell(message.head, message.plan))

    def reply(self, address: str, head: int, hints: tuple[PrefixHint, ...]) -> None:
        """Send an answer."""
        self._membership.send_prefix(address, PrefixAnswer(head, hints))

    @staticmethod
    def receive(message: PrefixMessage, router: RouterTask) -> None:
        """Hand a received message to the router, which owns the registry."""
        if isinstance(message, PrefixAsk):
            router.handle_home_lookup(message.address, message.head, message.plan)
        elif isinstance(message, PrefixAnswer):
            router.handle_home_reply(message.head, message.hints)
        else:
            router.handle_home_update(message.head, message.plan)
