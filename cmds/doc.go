// Package cmds implements the command line.
package cmds
