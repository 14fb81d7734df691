package cmds

import "fmt"

var cmdVersion = command{
	name:  "version",
	short: "Print the version",
	action: func(inv invocation) error {
		_, err := fmt.Fprintln(inv.out, inv.version)
		return err
	},
}
