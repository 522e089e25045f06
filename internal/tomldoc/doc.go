// Package tomldoc reads TOML into tables whose keys know their lines, and
// collects every fault of a document instead of stopping at the first. Typed
// reads name the key, its line and what is expected; keys that nobody read are
// unknown keys.
package tomldoc
