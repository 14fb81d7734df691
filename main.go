// Corianderdrift is a cluster scheduler that runs requests, services, batch jobs and gangs on one cell of modest size.
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
