// Package clock holds what the parts of a host share about waiting.
package clock
