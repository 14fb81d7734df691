// Package queue orders work that waits: weighted fair between owners, earliest deadline first within one.
package queue
