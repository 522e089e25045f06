// Package servicedoc parses and validates the service document. Each section is
// a TOML text that a team owns; together, the sections must describe one
// consistent service. Check reports every problem of every section.
package servicedoc
