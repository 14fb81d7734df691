// Package order defines the orders that a scheduler sends to workers and its calls to the advisor, independent of any wire format.
package order
