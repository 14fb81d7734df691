// Package lease tells by the monotonic clock whether a lease that was granted is still in force.
package lease
