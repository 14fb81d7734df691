// Package test holds integration tests that run real processes behind fault-injecting proxies.
package test
