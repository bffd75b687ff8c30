//! The settings of a daemon, read from a JSON file.
