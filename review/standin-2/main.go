// Command standin2 plays the scripted cases of the second review: it starts the system's hosts as processes, with stand-ins of the store, the
// workers, the advice and the clients, and judges what these see. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// play is a case: it returns what broke the rule, or nothing.
type play func(c *Cell, trouble bool) []string

// scene is a case with its deployment.
type scene struct {
	hosts   int
	zones   []string
	workers func() []*Worker
	play    play
}

var scenes = map[string]scene{
	"times":      {3, threeZones, plainWorkers, playTimes},
	"large-row":  {3, threeZones, plainWorkers, playLargeRow},
	"idle":       {3, threeZones, plainWorkers, playIdle},
	"timed-late": {3, threeZones, plainWorkers, playTimedLate},
	"replaced":   {2, oneZone, plainWorkers, playReplaced},
}

const service = "desk"

var (
	oneZone    = []string{"zone-a"}
	threeZones = []string{"zone-a", "zone-b", "zone-c"}
)

// plainWorkers returns four workers of 16 cores, the last of them of kind b.
func plainWorkers() []*Worker {
	var list []*Worker
	for i := range 4 {
		list = append(list, &Worker{
			ID: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), Service: service, Zone: []string{"zone-a", "zone-b", "zone-c"}[i%3], Rack: "r1-1",
			Kind: []string{"a", "a", "a", "b"}[i], CPU: 16000, MemMB: 32768,
		})
	}
	return list
}

func main() {
	if len(os.Args) != 3 {
		fatal(fmt.Errorf("usage: standin2 CASE FOLDER"))
	}
	s, ok := scenes[os.Args[1]]
	if !ok {
		fatal(fmt.Errorf("no case %s", os.Args[1]))
	}
	root, err := os.Getwd()
	if err != nil {
		fatal(err)
	}
	if _, err := os.Stat(filepath.Join(root, "target", "corianderdrift")); err != nil {
		fatal(err)
	}
	rec := newRecord(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	c := newCell(root, rec, s.workers(), s.hosts, s.zones)
	cleanUp = c.Stop
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		c.Stop()
		rec.close()
		os.Exit(2)
	}()
	rec.Say("case %s, trouble %v", os.Args[1], trouble)
	broken := s.play(c, trouble)
	for _, h := range c.hosts {
		rec.Say("host %s: %d own ends, %d of them for memory; peak %d MB", h.Name, h.Own, h.OverMemory, h.peakMB)
	}
	c.Stop()
	for _, b := range broken {
		rec.Say("BROKEN %s", b)
	}
	if len(broken) == 0 {
		rec.Say("the rule held")
	}
	rec.close()
	if len(broken) > 0 {
		os.Exit(1)
	}
}
