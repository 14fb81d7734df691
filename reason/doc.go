// Package reason defines the outcomes of work, the reasons for refusals, and an error type that carries both.
package reason
