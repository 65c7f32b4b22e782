//! Agent daemon: the one process of the system beside each target.
