// Package claim makes work that must not repeat run at most once per idempotency key.
package claim
