// Package fakes provides in-memory fakes of the platform and of its workers for tests, development and benchmarks.
package fakes
