// Package lease determines by the monotonic clock whether a granted lease is still valid.
package lease
