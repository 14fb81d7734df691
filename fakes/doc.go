// Package fakes holds small stand-ins of the platform and of its workers, for tests, trials and measurements.
package fakes
