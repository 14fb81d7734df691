// Corianderdrift is a cluster scheduler for requests, services, batch runs and gangs on one modest cell.
package main

import (
	_ "embed"
	"os"

	"github.com/corianderdrift/corianderdrift/cmds"
)

//go:embed version.txt
var version string

func main() {
	os.Exit(cmds.Main(version, os.Args[1:]))
}
