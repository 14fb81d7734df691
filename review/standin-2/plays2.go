package main

import (
	"net/http"
	"sync/atomic"
	"time"
)

// playTimedLate has a job with many times that are not due for an hour, and lets the store answer slowly for 4.5 s.
func playTimedLate(c *Cell, trouble bool) []string {
	short := route("short", service, 0)
	short["slo_ms"], short["stretch"] = 300, 1.5
	c.Configure(1, []map[string]any{short, route("timed", service, 1)}, service)
	var slow atomic.Bool
	c.store.Filter = func(_ http.ResponseWriter, r *http.Request) bool {
		switch {
		case !slow.Load():
		case r.URL.Path == "/v1/rows-tx":
			time.Sleep(59 * (storeAnswer + storeTx))
		default:
			time.Sleep(59 * storeAnswer)
		}
		return false
	}
	c.Start()
	timed := c.Submit("timed", Spec{MS: 300, CPU: 500}, map[string]any{"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 300}, map[string]any{
		"times": 30000, "start_at_ms": time.Now().Add(time.Hour).UnixMilli(), "interval_ms": 60000,
	})
	c.rec.Say("job %s accepted: %v", timed.ID, !timed.Accepted.IsZero())
	c.traffic("short", 10*time.Second)
	if trouble {
		c.rec.Line("the store's answers take 60 times as long")
		slow.Store(true)
	}
	time.AfterFunc(4500*time.Millisecond, func() {
		slow.Store(false)
		c.rec.Line("the store answers as before")
	})
	c.traffic("short", 7*time.Second)
	broken := c.finish(standS + time.Second)
	c.sayQueue("short")
	return broken
}

// playReplaced replaces 38 hosts, one after the other, and submits one job then.
func playReplaced(c *Cell, trouble bool) []string {
	short := route("short", service, 0)
	short["advice"] = map[string]any{"decide_ms": 12.0, "each_ms": 0.17, "validity_ms": 2000}
	c.watch.ticketQueue = "short"
	c.watch.adviceTakes = func(n int) time.Duration { return 12*time.Millisecond + time.Duration(n)*170*time.Microsecond }
	c.Configure(1, []map[string]any{short}, service)
	c.Start()
	c.traffic("short", 4*time.Second)
	if trouble {
		for range 38 {
			c.replace(c.hosts[0])
			time.Sleep(600 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second)
	c.rec.Line("calm from here on")
	spec, phase := small()
	c.Submit("short", spec, phase, nil)
	broken := c.finish(12 * time.Second)
	c.sayQueue("short")
	return broken
}
