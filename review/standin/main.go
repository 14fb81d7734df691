// Standin plays one case of the review: stand-ins of the platform, the workers and the clients around hosts of the project that run as
// processes of their own. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// limit ends a case that hangs.
const limit = 115 * time.Second

// playCase plays a case on a deployment and returns its exit code.
type playCase func(r *rig, trouble bool) int

var cases = map[string]playCase{
	"ends-at-takeover": endsAtTakeover,
	"removed-route":    removedRoute,
	"late-acceptance":  lateAcceptance,
	"moved-route":      movedRoute,
	"frozen-holder":    frozenHolder,
	"large-job":        largeJob,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNoRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) int {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer rec.close()
	r, err := newRig(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		rec.log("%v", err)
		return exitNoRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, disruption: %v", name, trouble)
	result := make(chan int, 1)
	go func() { result <- cases[name](r, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
		rec.log("ended by a signal")
		return exitNoRun
	case code := <-result:
		fmt.Printf("%s: %s\n", name, []string{"the rule held", "the rule was broken", "could not run"}[code])
		rec.log("exit %d", code)
		return code
	case <-time.After(limit):
		rec.log("the case took too long")
		return exitNoRun
	}
}
