// Package unit defines Size, the vector of resources that a worker has or a task requires.
package unit
