//! Settles writes whose answer was lost.
