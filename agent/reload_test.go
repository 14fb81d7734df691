package agent

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/platform"
)

// Guards, under the race detector, against reading the settings while they are reloaded.
func TestSettingsAreReloadedDuringCampaign(t *testing.T) {
	c := qt.New(t)
	a := newTestAgent("host")
	c.Cleanup(a.hosts.close)
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := range 100 {
			a.applySettings(platform.Settings{ShutdownTimeout: time.Duration(i) * time.Second})
		}
	})
	for range 100 {
		a.groups.rank(testService)
	}
	wg.Wait()
	c.Assert(a.stopLimit(), qt.Equals, 99*time.Second)
}
