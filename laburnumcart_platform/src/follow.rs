//! Keeps a prefix mirrored.
