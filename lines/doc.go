// Package lines writes log lines without blocking the callers, and limits the lines of each message per second.
package lines
