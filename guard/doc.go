// Package guard protects a server from misbehaving clients: it enforces limits on requests while their bytes arrive, bounds the memory of all
// requests that are incomplete or being handled, and bounds the number of connections. See docs/design/door.md.
package guard
