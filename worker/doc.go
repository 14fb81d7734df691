// Package worker speaks to workers: their leases, the tasks they run and what they report.
package worker
