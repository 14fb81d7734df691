// Package queue orders waiting tasks: weighted fair queueing between owners, earliest deadline first within an owner.
package queue
