// Package clock provides the time since boot and a sleep that a context can cancel.
package clock
