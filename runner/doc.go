// Package runner carries out what a group's scheduler decides: it holds the lease, looks at workers, sends orders and
// makes progress durable.
package runner
