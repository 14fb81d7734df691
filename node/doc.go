// Package node assembles the components of an entry host and runs them until it stops.
package node
