// Package metric holds the counters and gauges of a process.
package metric
