package ledger_test

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/corianderdrift/corianderdrift/ledger"
	"github.com/corianderdrift/corianderdrift/unit"
)

// model is a reference ledger that sums all items on each call.
type model map[string]ledger.Item

func (m model) used(longOnly bool) unit.Size {
	var sum unit.Size
	for _, item := range m {
		if !item.Suspended && (item.Long || !longOnly) {
			sum = sum.Add(item.Size)
		}
	}
	return sum
}

func drawSize(t *rapid.T) unit.Size {
	return unit.Size{
		CPUMilli: rapid.Int64Range(0, 4000).Draw(t, "cpu"), MemoryMiB: rapid.Int64Range(0, 8000).Draw(t, "memory"),
		Accelerators: rapid.Int64Range(0, 2).Draw(t, "accelerators"), Slots: 1,
	}
}

func TestLedgerMatchesModel(t *testing.T) {
	capacity := unit.Size{CPUMilli: 16000, MemoryMiB: 32000, Accelerators: 4, Slots: 8, Connections: 8}
	headroom := unit.Size{CPUMilli: 4000, Slots: 2}
	rapid.Check(t, func(t *rapid.T) {
		l, m := ledger.New(capacity), model{}
		l.SetHeadroom(headroom)
		task := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "n")) })
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				item := ledger.Item{Task: task.Draw(t, "task"), Size: drawSize(t), Long: rapid.Bool().Draw(t, "long")}
				_, known := m[item.Task]
				free := l.Free(item.Long)
				err := l.Reserve(item)
				var full *ledger.FullError
				if known || item.Size.Fits(free) {
					if err != nil {
						t.Fatalf("Reserve failed although the task fits: %v", err)
					}
					if !known {
						m[item.Task] = item
					}
				} else if !errors.As(err, &full) {
					t.Fatalf("reserving %v with only %v free did not return a FullError", item.Size, free)
				}
			},
			"release": func(t *rapid.T) {
				id := task.Draw(t, "task")
				l.Release(id)
				delete(m, id)
			},
			"suspend": func(t *rapid.T) {
				id := task.Draw(t, "task")
				l.Suspend(id)
				if item, ok := m[id]; ok {
					item.Suspended = true
					m[id] = item
				}
			},
			"resume": func(t *rapid.T) {
				id := task.Draw(t, "task")
				if item, ok := m[id]; ok && item.Suspended && l.Resume(id) == nil {
					item.Suspended = false
					m[id] = item
				}
			},
			"mark long": func(t *rapid.T) {
				id := task.Draw(t, "task")
				l.MarkLong(id)
				if item, ok := m[id]; ok {
					item.Long = true
					m[id] = item
				}
			},
			"": func(t *rapid.T) {
				if l.Used() != m.used(false) {
					t.Fatalf("used %v, model %v", l.Used(), m.used(false))
				}
				if !l.Used().Fits(capacity) {
					t.Fatalf("used more than the capacity: %v", l.Used())
				}
				if l.Len() != len(m) {
					t.Fatalf("%d tasks, model %d", l.Len(), len(m))
				}
			},
		})
	})
}

func TestHeadroomIsKeptForShortWork(t *testing.T) {
	c := qt.New(t)
	l := ledger.New(unit.Size{CPUMilli: 1000, MemoryMiB: 1000, Slots: 4})
	l.SetHeadroom(unit.Size{Slots: 1})
	size := unit.Size{Slots: 1}
	for i := range 3 {
		c.Assert(l.Reserve(ledger.Item{Task: fmt.Sprint("long", i), Size: size, Long: true}), qt.IsNil)
	}
	err := l.Reserve(ledger.Item{Task: "long3", Size: size, Long: true})
	var full *ledger.FullError
	c.Assert(errors.As(err, &full), qt.IsTrue)
	c.Check(full.Dimension, qt.Equals, "slots")
	c.Check(l.Reserve(ledger.Item{Task: "short", Size: size}), qt.IsNil)
}

func TestAdoptedTasksMayExceedCapacity(t *testing.T) {
	c := qt.New(t)
	l := ledger.New(unit.Size{Slots: 1})
	l.Adopt(ledger.Item{Task: "a", Size: unit.Size{Slots: 1}})
	l.Adopt(ledger.Item{Task: "b", Size: unit.Size{Slots: 1}})
	c.Check(l.Free(false).Slots, qt.Equals, int64(-1))
	c.Check(l.Reserve(ledger.Item{Task: "c", Size: unit.Size{Slots: 1}}), qt.IsNotNil)
	l.Release("a")
	c.Check(l.Reserve(ledger.Item{Task: "c", Size: unit.Size{Slots: 1}}), qt.IsNotNil)
	l.Release("b")
	c.Check(l.Reserve(ledger.Item{Task: "c", Size: unit.Size{Slots: 1}}), qt.IsNil)
}
