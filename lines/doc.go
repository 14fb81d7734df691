// Package lines writes log lines without ever making their writers wait, and within a budget for each kind.
package lines
