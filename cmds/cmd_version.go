package cmds

import "fmt"

var cmdVersion = command{
	name:  "version",
	short: "Print the version",
	action: func(in call) error {
		_, err := fmt.Fprintln(in.out, in.version)
		return err
	},
}
