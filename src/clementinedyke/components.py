"""Base class of the parts that an application runs."""

import trio


class Component:
    """A subsystem with its own tasks, sockets and state."""

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the tasks of the component.

        Returns once the component is usable by the components started after it.

        :param nursery: nursery that runs the tasks until the application ends.
        """

    async def drain(self) -> None:
        """Finish work in progress; called once, before ``stop``."""

    async def stop(self) -> None:
        """Release what the component holds outside of this process."""
