// Package claim runs work that must not repeat at most once per idempotency key.
package claim
