// Package order defines what a scheduler asks of workers, of the advisor and of the pool of machines, in its own words.
package order
