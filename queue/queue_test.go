package queue_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/corianderdrift/corianderdrift/queue"
)

func push(q *queue.Queue[string], owner string, weight int64, cost float64, n int) {
	for i := range n {
		q.Push(&queue.Item[string]{Value: fmt.Sprint(owner, i), Owner: owner, Cost: cost}, weight)
	}
}

// acceptN accepts n items and counts them by owner.
func acceptN(q *queue.Queue[string], n int) map[string]int {
	got := map[string]int{}
	q.Scan(1, func(item *queue.Item[string]) queue.Verdict {
		if n == 0 {
			return queue.EndScan
		}
		n--
		got[item.Owner]++
		return queue.Accepted
	})
	return got
}

func TestOwnersAreServedByWeightAndCost(t *testing.T) {
	tests := []struct {
		name    string
		weights [2]int64
		costs   [2]float64
		want    [2]int
	}{
		{"equal", [2]int64{1, 1}, [2]float64{1, 1}, [2]int{60, 60}},
		{"weighted", [2]int64{3, 1}, [2]float64{1, 1}, [2]int{90, 30}},
		{"costly", [2]int64{1, 1}, [2]float64{3, 1}, [2]int{30, 90}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			q := queue.New[string]()
			push(q, "a", test.weights[0], test.costs[0], 200)
			push(q, "b", test.weights[1], test.costs[1], 200)
			got := acceptN(q, 120)
			for i, owner := range []string{"a", "b"} {
				diff := got[owner] - test.want[i]
				c.Check(diff >= -2 && diff <= 2, qt.IsTrue, qt.Commentf("%s got %d, want about %d", owner, got[owner], test.want[i]))
			}
		})
	}
}

func TestNewOwnerDoesNotWaitForBacklog(t *testing.T) {
	c := qt.New(t)
	q := queue.New[string]()
	push(q, "flood", 1, 1, 1000)
	acceptN(q, 500)
	push(q, "late", 1, 1, 1)
	c.Check(acceptN(q, 2)["late"], qt.Equals, 1)
	c.Check(q.PredictWait("another", 1, 1) < q.PredictWait("flood", 1, 1)/100, qt.IsTrue)
}

func TestEarliestDeadlineAndUrgencyGoFirst(t *testing.T) {
	c := qt.New(t)
	q := queue.New[string]()
	now := time.Now()
	for _, item := range []*queue.Item[string]{
		{Value: "none", Owner: "o"},
		{Value: "later", Owner: "o", Deadline: now.Add(time.Hour)},
		{Value: "soon", Owner: "o", Deadline: now.Add(time.Minute)},
		{Value: "urgent", Owner: "o", Urgent: true},
	} {
		q.Push(item, 1)
	}
	var order []string
	q.Scan(1, func(item *queue.Item[string]) queue.Verdict {
		order = append(order, item.Value)
		return queue.Accepted
	})
	c.Check(order, qt.DeepEquals, []string{"urgent", "soon", "later", "none"})
}

func TestQueueTotalsMatchItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New[int]()
		waiting := map[int]*queue.Item[int]{}
		nextValue := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				owner := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "owner"))
				item := &queue.Item[int]{Value: nextValue, Owner: owner, Cost: float64(rapid.IntRange(1, 9).Draw(t, "cost"))}
				q.Push(item, rapid.Int64Range(1, 4).Draw(t, "weight"))
				waiting[nextValue] = item
				nextValue++
			},
			"remove": func(t *rapid.T) {
				value := rapid.IntRange(0, nextValue).Draw(t, "item")
				if item, ok := waiting[value]; ok {
					if !q.Remove(item) || q.Remove(item) {
						t.Fatal("an item was not removed exactly once")
					}
					delete(waiting, value)
				}
			},
			"scan": func(t *rapid.T) {
				remaining := rapid.IntRange(0, 4).Draw(t, "left")
				q.Scan(2, func(item *queue.Item[int]) queue.Verdict {
					if remaining == 0 {
						return queue.Blocked
					}
					remaining--
					if waiting[item.Value] != item {
						t.Fatal("offered an item that is not waiting")
					}
					delete(waiting, item.Value)
					return queue.Verdict(rapid.IntRange(0, 1).Draw(t, "verdict"))
				})
			},
			"": func(t *rapid.T) {
				sum := 0.0
				for _, item := range waiting {
					sum += item.Cost
				}
				if q.Len() != len(waiting) || q.Cost() != sum {
					t.Fatalf("%d items with total cost %v, want %d with %v", q.Len(), q.Cost(), len(waiting), sum)
				}
			},
		})
	})
}
