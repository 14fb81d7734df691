// Package metric defines the Prometheus metrics of an entry host.
package metric
