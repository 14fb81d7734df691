// Package test holds the tests that run real processes behind a fault-injecting proxy.
package test
