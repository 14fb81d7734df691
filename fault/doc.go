// Package fault holds a TCP proxy that puts faults between processes, for tests and experiments.
package fault
