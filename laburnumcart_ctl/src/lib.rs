//! Operator command line.
