"""The size up to which nodes share all their tasks and messages."""

__all__ = ["SMALL_FLEET_NODES"]

# Up to this many nodes, each one watches the store, sends every update to all peers and
# answers evidence on prompt sections: the messages are few, and no node depends on
# another one.
SMALL_FLEET_NODES = 16
