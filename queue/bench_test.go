package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/corianderdrift/corianderdrift/queue"
)

func BenchmarkAdmission(b *testing.B) {
	for _, waiting := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("%d waiting of 170 owners", waiting), func(b *testing.B) {
			q := queue.New[int]()
			now := time.Now()
			owners := make([]string, 170)
			for i := range owners {
				owners[i] = fmt.Sprint("team-", i)
			}
			for i := range waiting {
				q.Push(&queue.Item[int]{Value: i, Owner: owners[i%170], Cost: 1, Deadline: now.Add(time.Duration(i))}, 1)
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				owner := owners[i%170]
				_ = q.PredictWait(owner, 1, 1)
				q.Push(&queue.Item[int]{Value: i, Owner: owner, Cost: 1, Deadline: now.Add(time.Duration(i))}, 1)
				accepted := false
				q.Scan(1, func(*queue.Item[int]) queue.Verdict {
					if accepted {
						return queue.EndScan
					}
					accepted = true
					return queue.Accepted
				})
			}
		})
	}
}
