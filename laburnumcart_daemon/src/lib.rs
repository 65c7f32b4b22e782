//! What the daemons share: start, settings, logs, traces, metrics and stop.
