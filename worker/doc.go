// Package worker is a client of the worker API: it holds leases on workers, runs tasks on them and reads their state.
package worker
