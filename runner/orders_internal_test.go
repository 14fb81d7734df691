package runner

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The orders of a job of many tasks used to hold up those of all other jobs to the same worker.
func TestOrdersOfJobsAreSentInTurn(t *testing.T) {
	c := qt.New(t)
	q := orderQueue{byJob: map[string][]func(){}}
	var sent []string
	for _, order := range []string{"a1", "a2", "a3", "b1", "c1", "b2"} {
		q.push(order[:1], func() { sent = append(sent, order) })
	}
	for send, ok := q.pop(); ok; send, ok = q.pop() {
		send()
	}
	c.Check(fmt.Sprint(sent), qt.Equals, "[a1 b1 c1 a2 b2 a3]")
	c.Check(q.byJob, qt.HasLen, 0)
}
