package runner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// A commit that drops a worker from the record and gets no answer may take effect at any time. If the worker is listed again, the next
// runner must find it in the record all the same.
func TestWorkerThatReturnsStaysInTheRecord(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault fakes.TableFault
	}{
		{"answer lost", fakes.TableReplyLost},
		{"carried out late", fakes.TableLate},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCluster(t, 2, bigWorker)
				s.workers.Outcome = func(worker string, _ graph.TaskID, _ int) (time.Duration, order.EndKind) {
					if worker == "w0" {
						return 30 * time.Second, order.EndDone
					}
					return 500 * time.Millisecond, order.EndDone
				}
				_, kill := s.runner()
				time.Sleep(time.Second)
				s.store.SetFault(func(op string) fakes.TableFault {
					if op == "commit" {
						return test.fault
					}
					return fakes.TableOK
				})
				s.registry.changes <- func(_ func(order.Worker), gone func(string)) { gone("w0") }
				time.Sleep(50 * time.Millisecond)
				w0 := s.workers.Worker("w0")
				s.registry.changes <- func(changed func(order.Worker), _ func(string)) { changed(w0) }
				s.store.SetFault(nil)
				time.Sleep(8 * time.Second)
				s.submit("00000000000000aa", graph.Step{Count: 8, Size: cores(4)})
				time.Sleep(200 * time.Millisecond)
				kill()
				s.workers.SetUnreachable("w0", true)
				s.registry.workers = s.registry.workers[1:]
				r, stop := s.runner()
				defer stop()
				s.awaitState(r, "00000000000000aa", graph.Completed, 90*time.Second)
				s.assertNoFaults()
			})
		})
	}
}
