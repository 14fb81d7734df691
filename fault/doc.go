// Package fault provides TCP proxies that inject network faults between processes, for tests and experiments.
package fault
