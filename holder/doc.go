// Package holder holds workers by their leases and decides what starts on them, when, and what is refused.
package holder
