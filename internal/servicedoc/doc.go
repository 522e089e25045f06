// Package servicedoc parses and checks the service document. Each section is
// one TOML text that belongs to a team; the sections together must describe
// one service. Check reports every problem of every section.
package servicedoc
