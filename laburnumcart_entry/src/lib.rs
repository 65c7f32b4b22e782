//! Entry daemon: callers' requests, pipelines and routing.
