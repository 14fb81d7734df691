package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// small is an ordinary short job.
func small() (Spec, map[string]any) {
	return Spec{MS: 300, CPU: 500}, map[string]any{"count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": 300}
}

// traffic submits an ordinary job each second for a time, and returns them.
func (c *Cell) traffic(queue string, d time.Duration) []*Job {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var jobs []*Job
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		wg.Go(func() {
			spec, phase := small()
			j := c.Submit(queue, spec, phase, nil)
			mu.Lock()
			jobs = append(jobs, j)
			mu.Unlock()
		})
	}
	wg.Wait()
	return jobs
}

// finish ends the traffic, waits for finish_s, asks for the accepted jobs, and looks for a time at what runs.
func (c *Cell) finish(look time.Duration) []string {
	c.watch.endTraffic()
	time.Sleep(finishS)
	var broken []string
	c.watch.mu.Lock()
	var accepted []*Job
	for _, j := range c.watch.jobs {
		if !j.Accepted.IsZero() {
			accepted = append(accepted, j)
		}
	}
	c.watch.mu.Unlock()
	unknown := 0
	var wg sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, 8)
	for _, j := range accepted {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if _, status := c.State(j, 3); status != http.StatusOK {
				mu.Lock()
				unknown++
				mu.Unlock()
			}
		})
	}
	time.Sleep(look)
	wg.Wait()
	if unknown > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d accepted jobs are not known or got no answer", unknown, len(accepted)))
	}
	standing := c.watch.standingLate()
	if len(standing) > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d accepted jobs stood for 3 s and more, finish_s after the end of the traffic, as %s",
			len(standing), len(accepted), standing[0]))
	}
	return broken
}

func (c *Cell) sayQueue(queue string) {
	accepted, complete, starts, stops := c.watch.summary(queue)
	c.rec.Say("queue %s: %d jobs accepted, %d of them have run to their end; %d starts, %d stops", queue, accepted, complete, starts, stops)
}

// playTimes submits one job that is due once a minute for a year, or for an hour.
func playTimes(c *Cell, trouble bool) []string {
	c.Configure(1, []map[string]any{route("short", service, 0), route("timed", service, 1)}, service)
	c.Start()
	c.traffic("short", 5*time.Second)
	times := 60
	if trouble {
		times = 365 * 24 * 60
	}
	timed := c.Submit("timed", Spec{MS: 300, CPU: 500}, map[string]any{"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 300}, map[string]any{
		"times": times, "start_at_ms": time.Now().Add(time.Hour).UnixMilli(), "interval_ms": 60000,
	})
	c.rec.Say("job %s with times = %d accepted: %v", timed.ID, times, !timed.Accepted.IsZero())
	c.traffic("short", 25*time.Second)
	c.Cancel(timed)
	c.traffic("short", 25*time.Second)
	broken := c.finish(standS + time.Second)
	ended := 0
	for _, h := range c.hosts {
		if h.Own >= 3 {
			ended++
		}
	}
	if ended >= 2 {
		broken = append([]string{fmt.Sprintf("Fault: on %d of %d machines in use processes ended by themselves three times and more", ended, len(c.hosts))}, broken...)
	}
	c.sayQueue("short")
	return broken
}

// playLargeRow submits one job of many lasting tasks, or the same tasks as eight jobs.
func playLargeRow(c *Cell, trouble bool) []string {
	c.Configure(1, []map[string]any{route("short", service, 0), route("keep", service, 1)}, service)
	c.Start()
	c.traffic("short", 5*time.Second)
	jobs, count := 8, 250
	if trouble {
		jobs, count = 1, 2000
	}
	for range jobs {
		j := c.Submit("keep", Spec{CPU: 8}, map[string]any{"count": count, "cpu": 8, "mem_mb": 4, "daemon": true}, nil)
		c.rec.Say("job %s of %d tasks that last accepted: %v", j.ID, count, !j.Accepted.IsZero())
	}
	c.traffic("short", 30*time.Second)
	broken := c.finish(standS + time.Second)
	c.sayQueue("short")
	c.sayQueue("keep")
	c.store.mu.Lock()
	c.rec.Say("transactions that the store refused, by status: %v", c.store.Refused)
	c.store.mu.Unlock()
	return broken
}

// playIdle submits jobs whose tasks use next to no processor for a part of their time, or none of them.
func playIdle(c *Cell, trouble bool) []string {
	c.Configure(1, []map[string]any{route("short", service, 0), route("copy", service, 1)}, service)
	c.Start()
	c.traffic("short", 5*time.Second)
	spec := Spec{MS: 4000, CPU: 1000}
	if trouble {
		spec.CPU = 20
	}
	for range 2 {
		j := c.Submit("copy", spec, map[string]any{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 4000, "requires": "b"}, nil)
		c.rec.Say("job %s accepted: %v", j.ID, !j.Accepted.IsZero())
	}
	c.traffic("short", 20*time.Second)
	broken := c.finish(12 * time.Second)
	c.sayQueue("short")
	c.sayQueue("copy")
	return broken
}
