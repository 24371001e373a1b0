"""Base class of the components that an application runs."""

import trio


class Component:
    """A subsystem with its own tasks, sockets and state.

    The methods do nothing by default.
    """

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the tasks of the component.

        Returns once components that start later may use this one.

        :param nursery: nursery that runs the tasks until the application ends.
        """

    async def drain(self) -> None:
        """Finish work in progress; called once, before ``stop``."""

    async def stop(self) -> None:
        """Release the resources held outside of this process."""
