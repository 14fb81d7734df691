package intake_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/intake"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/runner"
)

// defaultNumFaults is the length of the sequences of faults; by hand, FAULT_SEQUENCE sets another one.
const defaultNumFaults = 3

// lateCommitsDone is when all late commits have been performed.
const lateCommitsDone = 10 * time.Second

// sequenceFaults are the faults of a call to the table, with their names in failures.
var sequenceFaults = []struct {
	name  string
	fault fakes.TableFault
}{
	{"ok", fakes.TableOK},
	{"refused", fakes.TableUnavailable},
	{"reply-lost", fakes.TableReplyLost},
	{"late", fakes.TableLate},
}

// earlierRequest is what other hosts did about a job before a request.
type earlierRequest struct {
	name string
	// queue is that to which the job was submitted; nil if it wasn't.
	queue *queues.Queue
	// commitFaults are those of the submission's commits, in order; the last one repeats.
	commitFaults []fakes.TableFault
	cancelled    bool
}

var earlierRequests = []earlierRequest{
	{"nothing", nil, nil, false},
	{"cancelled", nil, nil, true},
	{"stored", queue, nil, false},
	{"stored and cancelled", queue, nil, true},
	{"stored for another queue", laterQueue, nil, false},
	{"stored for another service", movedQueue, nil, false},
	{"reference stored", movedQueue, []fakes.TableFault{fakes.TableOK, fakes.TableUnavailable}, false},
	{"reference stored, cancelled", movedQueue, []fakes.TableFault{fakes.TableOK, fakes.TableUnavailable}, true},
	{"late", queue, []fakes.TableFault{fakes.TableLate}, false},
	{"late, cancelled", queue, []fakes.TableFault{fakes.TableLate}, true},
	{"late reference", movedQueue, []fakes.TableFault{fakes.TableLate}, false},
	{"reference stored, late", movedQueue, []fakes.TableFault{fakes.TableOK, fakes.TableLate}, false},
	{"reference stored, late, cancelled", movedQueue, []fakes.TableFault{fakes.TableOK, fakes.TableLate}, true},
}

// prepare carries out the earlier request through a host, on behalf of a caller.
func (e *earlierRequest) prepare(host *intake.Intake, store *fakes.Table, caller queues.Caller) {
	if e.queue != nil {
		n := 0
		store.SetFault(func(op string) fakes.TableFault {
			if op != "commit" || e.commitFaults == nil {
				return fakes.TableOK
			}
			n++
			return e.commitFaults[min(n, len(e.commitFaults))-1]
		})
		_ = host.Submit(context.Background(), e.queue, jobOf(e.queue, caller), caller)
		store.SetFault(nil)
	}
	if e.cancelled {
		_ = host.Cancel(context.Background(), queue, id, caller)
	}
}

// jobState is what the table holds of a job.
type jobState struct {
	stored, marks int
}

func stateOf(store *fakes.Table) jobState {
	s := jobState{stored: numStored(store, "desk", "eyes")}
	for _, service := range []string{"desk", "eyes"} {
		if _, ok := store.Get(runner.CancelKey(runner.JobKey(service, id))); ok {
			s.marks++
		}
	}
	return s
}

// checkAnswer returns what is false of the answer to a request, or nil. The states of the table are those before and after the request, and
// when all late commits have been performed. served says that a commit of the request was not refused.
func checkAnswer(op string, got intake.Outcome, served bool, before, after, later jobState) error {
	switch {
	case later.stored > 1:
		return errors.New("stored for two services")
	case got == intake.Unknown && !served:
		return errors.New("unknown, though nothing was sent but refused commits")
	case op == "cancel" && got == intake.Refused && (after.marks > before.marks || later.marks > before.marks):
		return errors.New("refused and cancelled")
	case op == "cancel" && (got == intake.Done || got == intake.NotFound) && after.marks == 0:
		return errors.New("acknowledged without a mark")
	case op == "cancel" && got == intake.NotFound && later.stored > 0:
		return errors.New("not found and stored")
	case op == "submit" && got == intake.Refused && served && later.stored > 0:
		return errors.New("refused and stored")
	case op == "submit" && got == intake.Done && after.stored != 1:
		return errors.New("accepted and not stored")
	}
	return nil
}

// Guards against answers that are false of what a request, or an earlier one, has sent to the table: all sequences of faults after all kinds of
// earlier requests.
func TestAnswerIsTrueAfterEverySequenceOfFaults(t *testing.T) {
	numFaults := defaultNumFaults
	if text := os.Getenv("FAULT_SEQUENCE"); text != "" {
		var err error
		numFaults, err = strconv.Atoi(text)
		qt.Assert(t, err, qt.IsNil)
	}
	numSequences := 1
	for range numFaults {
		numSequences *= len(sequenceFaults)
	}
	for _, op := range []string{"submit", "cancel"} {
		for _, q := range []*queues.Queue{queue, movedQueue} {
			for _, earlier := range earlierRequests {
				for _, bare := range []bool{false, true} {
					if bare && op == "cancel" {
						// Conflicts are only read for what they mean to submissions.
						continue
					}
					t.Run(fmt.Sprintf("%s/%s/%s/bare=%v", op, q.Name, earlier.name, bare), func(t *testing.T) {
						for n := range numSequences {
							testSequence(t, op, q, earlier, bare, n, numFaults)
						}
					})
				}
			}
		}
	}
}

// testSequence tests the nth sequence of faults of a request's calls to the table, from its first commit on; the last fault of a sequence repeats.
func testSequence(t *testing.T, op string, q *queues.Queue, earlier earlierRequest, bare bool, n, numFaults int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		in, store, _ := newIntake()
		store.BareConflicts = bare
		c := qt.New(t)
		for _, each := range []*queues.Queue{queue, movedQueue, q} {
			// The host has registered the queue, and has read the record last for it.
			submitEarlier(c, in, each)
		}
		host, _ := newHost(store)
		earlier.prepare(host, store, anyone)
		before := stateOf(store)
		var calls []string
		served := false
		store.SetFault(func(call string) fakes.TableFault {
			if len(calls) == 0 && call == "read" {
				return fakes.TableOK
			}
			i := n
			for range min(len(calls), numFaults-1) {
				i /= len(sequenceFaults)
			}
			f := sequenceFaults[i%len(sequenceFaults)]
			calls = append(calls, call+" "+f.name)
			served = served || call == "commit" && f.fault != fakes.TableUnavailable
			return f.fault
		})
		var err error
		if op == "submit" {
			err = in.Submit(context.Background(), q, jobFor(q), anyone)
		} else {
			err = in.Cancel(context.Background(), q, id, anyone)
		}
		store.SetFault(nil)
		after := stateOf(store)
		time.Sleep(lateCommitsDone)
		later := stateOf(store)
		if fault := checkAnswer(op, intake.OutcomeOf(err), served, before, after, later); fault != nil {
			t.Errorf("%v: %s; error %v; before %+v, after %+v, later %+v", fault, strings.Join(calls, ", "), err, before, after, later)
		}
	})
}
