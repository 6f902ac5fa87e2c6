"""Messages between the router and the home nodes of prefixes."""

from wheelslip.peers.messages import (
    MemberInfo,
    PrefixLookup,
    PrefixMessage,
    PrefixReply,
    PrefixUpdate,
)
from wheelslip.peers.task import MembershipTask
from wheelslip.routing import rendezvous
from wheelslip.routing.caches.prefix_registry import PrefixHint
from wheelslip.routing.model import HomeLookup, HomeUpdate
from wheelslip.routing.task import RouterTask


class PrefixLink:
    """Selects the home node of a prefix in the local region and exchanges messages with it.

    :param local_member: the local member.
    :param membership: provides the live members and sends the messages.
    """

    def __init__(self, local_member: MemberInfo, membership: MembershipTask):
        self._local_member = local_member
        self._membership = membership

    def home_address(self, head: int) -> str | None:
        """Return the address of the home node of a prefix; ``None`` if it is the local node."""
        members = {
            member.name: member.address
            for member in self._membership.view.live_members
            if member.region == self._local_member.region
        }
        name = rendezvous.owner(str(head), members)
        return None if name in (None, self._local_member.name) else members[name]

    def send(self, address: str, message: HomeLookup | HomeUpdate) -> None:
        """Send a lookup or an update to a home node."""
        if isinstance(message, HomeLookup):
            lookup = PrefixLookup(self._local_member.address, message.head, message.plan)
            self._membership.send_prefix_message(address, lookup)
        else:
            self._membership.send_prefix_message(address, PrefixUpdate(message.head, message.plan))

    def reply(self, address: str, head: int, hints: tuple[PrefixHint, ...]) -> None:
        """Send the reply to a lookup."""
        self._membership.send_prefix_message(address, PrefixReply(head, hints))

    @staticmethod
    def receive(message: PrefixMessage, router: RouterTask) -> None:
        """Pass a received message to the router, which owns the prefix registry."""
        if isinstance(message, PrefixLookup):
            router.handle_home_lookup(message.address, message.head, message.plan)
        elif isinstance(message, PrefixReply):
            router.handle_home_reply(message.head, message.hints)
        else:
            router.handle_home_update(message.head, message.plan)
