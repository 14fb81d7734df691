// Package node puts the parts of an entry host together and runs them until they stop together.
package node
