// Package cmds holds the subcommands, one file each.
package cmds
