"""Named hooks through which features subscribe to events of the core."""

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

EventT = TypeVar('EventT')


class Hook(Generic[EventT]):
    """A named event with its subscribers."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.subscribers: list[Callable[[EventT], None]] = []

    def subscribe(self, subscriber: Callable[[EventT], None]) -> None:
        self.subscribers.append(subscriber)

    def unsubscribe(self, subscriber: Callable[[EventT], None]) -> None:
        self.subscribers.remove(subscriber)

    def fire(self, event: EventT) -> None:
        """Call the subscribers in order of subscription."""
        for subscriber in tuple(self.subscribers):
            subscriber(event)
