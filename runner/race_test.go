//go:build race

package runner_test

import "runtime"

// The runtime of the race detector crashes in tests of this package, in varying checks of its own, when a bubble's goroutines run on several threads.
func init() { runtime.GOMAXPROCS(1) }
