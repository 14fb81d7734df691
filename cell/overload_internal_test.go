package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// job10 is a job of average size that needs a tenth of the capacity for 5 s and can wait for 5 s.
func job10() demand {
	return demand{share: 0.1, work: 0.5, size: 1, remaining: 5 * time.Second, deadline: 10 * time.Second}
}

func with(d demand, change func(d *demand)) demand {
	change(&d)
	return d
}

func count(chosen []bool) (n int) {
	for _, c := range chosen {
		if c {
			n++
		}
	}
	return n
}

// Guards against jobs that are deferred although there is room for all.
func TestAllJobsAreChosenIfThereIsRoom(t *testing.T) {
	waiting := slices.Repeat([]demand{job10()}, 8)
	qt.Check(t, count(choose(nil, waiting)), qt.Equals, 8)
}

// Guards against an overload that makes all jobs a little late, instead of some of them.
func TestAsManyJobsAreChosenAsCanBeInTime(t *testing.T) {
	n := count(choose(nil, slices.Repeat([]demand{job10()}, 100)))
	// Half of what runs until the deadline would be too few, and all of it leaves nothing for failed runs.
	qt.Check(t, n >= 8 && n <= 15, qt.IsTrue, qt.Commentf("%d chosen", n))
}

// Guards against an overload in which the jobs of least value are in time.
func TestChoiceIsByValue(t *testing.T) {
	small := with(job10(), func(d *demand) { d.share, d.work, d.size = 0.02, 0.1, 0.2 })
	large := with(job10(), func(d *demand) { d.share, d.work, d.size = 0.4, 2, 4 })
	for _, test := range []struct {
		name          string
		better, worse demand
	}{
		{"small before large", small, large},
		{"urgent before others", with(job10(), func(d *demand) { d.priority = 1 }), with(job10(), func(d *demand) { d.priority = 2 })},
		{"team within its part", with(job10(), func(d *demand) { d.priority = 2 }), with(job10(), func(d *demand) { d.standing = beyondPart })},
		{"size class that lags behind", with(large, func(d *demand) { d.lagging = true }), small},
		{"chosen before", with(job10(), func(d *demand) { d.chosen = true }), job10()},
		{"can be in time", job10(), with(job10(), func(d *demand) { d.deadline = 4 * time.Second })},
	} {
		t.Run(test.name, func(t *testing.T) {
			waiting := append(slices.Repeat([]demand{test.worse}, 60), slices.Repeat([]demand{test.better}, 60)...)
			chosen := choose(nil, waiting)
			qt.Check(t, count(chosen[60:]) > 0, qt.IsTrue)
			qt.Check(t, float64(count(chosen[60:]))*test.better.work >= 2*float64(count(chosen[:60]))*test.worse.work, qt.IsTrue, qt.Commentf(
				"%d of the better, %d of the worse", count(chosen[60:]), count(chosen[:60])))
		})
	}
}

// Guards against a job of most value that makes a chosen one with a later deadline late.
func TestChosenJobsStayInTime(t *testing.T) {
	// The job with the later deadline leaves room for 4 s of work before it.
	later := with(job10(), func(d *demand) {
		d.share, d.work, d.size, d.remaining, d.deadline = 0.8, 1, 0.1, time.Second, 6*time.Second
	})
	sooner := with(job10(), func(d *demand) { d.remaining, d.deadline = time.Second, 5*time.Second })
	chosen := choose(nil, append([]demand{later}, slices.Repeat([]demand{sooner}, 20)...))
	qt.Check(t, chosen[0], qt.IsTrue)
	qt.Check(t, count(chosen[1:]), qt.Equals, 8)
	qt.Check(t, count(choose(nil, slices.Repeat([]demand{sooner}, 20))) > 8, qt.IsTrue)
}

// Guards against new jobs that make those late which have started.
func TestStartedJobsCountFirst(t *testing.T) {
	started := slices.Repeat([]demand{with(job10(), func(d *demand) { d.deadline = 0 })}, 8)
	before := count(choose(nil, slices.Repeat([]demand{job10()}, 100)))
	n := count(choose(started, slices.Repeat([]demand{job10()}, 100)))
	qt.Check(t, n < before && n > 0, qt.IsTrue, qt.Commentf("%d chosen, %d without started ones", n, before))
}

// Guards against large jobs that are starved as small ones have more value per work.
func TestSizeClassesThatLagAreNoticed(t *testing.T) {
	k := &kindStats{}
	classes := map[sizeClass]int{}
	for i := range 200 {
		classes[k.observe(float64(1+i*37%100))]++
	}
	qt.Check(t, classes[largestSize] > 10 && classes[largestSize] < 35, qt.IsTrue, qt.Commentf("%v", classes))
	qt.Check(t, classes[largeSize] > 25 && classes[largeSize] < 60, qt.IsTrue, qt.Commentf("%v", classes))
	for range 10 {
		k.count(otherSize, true)
		k.count(largeSize, true)
		k.count(largestSize, false)
	}
	qt.Check(t, k.lags(largestSize), qt.IsTrue)
	qt.Check(t, k.lags(largeSize), qt.IsFalse)
	qt.Check(t, k.lags(otherSize), qt.IsFalse)
	for range 100 {
		k.count(largestSize, true)
	}
	qt.Check(t, k.lags(largestSize), qt.IsFalse)
}

// BenchmarkChoose measures the choice among many waiting jobs.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprintf("%d jobs", n), func(b *testing.B) {
			waiting := make([]demand, n)
			for i := range waiting {
				waiting[i] = with(job10(), func(d *demand) {
					d.priority, d.size, d.deadline = i%3, 0.1+float64(i%17)/4, time.Duration(1+i%29)*time.Second
					d.remaining, d.share, d.work = d.deadline/3, 0.01*d.size, 0.05*d.size
				})
			}
			for b.Loop() {
				choose(nil, waiting)
			}
		})
	}
}
