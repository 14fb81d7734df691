// Package claim executes non-repeatable work at most once per idempotency key.
package claim
