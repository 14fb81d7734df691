// Package graph holds jobs of steps that follow one another, and what is known of their tasks.
package graph
