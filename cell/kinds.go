package cell

// sizeClass tells how large a job is among those of its kind.
type sizeClass int

const (
	// otherSize is every job that isn't large.
	otherSize sizeClass = iota
	// largeSize is the fifth of the jobs that are next to the largest.
	largeSize
	// largestSize is the tenth of the jobs with most work.
	largestSize
	numSizeClasses
)

// Parameters of what is known of a kind of jobs.
const (
	// maxWorkSamples is how many jobs count for the mean work and the sizes of a kind.
	maxWorkSamples = 100
	// minSizeSamples is how many jobs are needed to tell sizes apart.
	minSizeSamples = 10
	// largestTenth and largeFifth bound the size classes.
	largestTenth = 0.9
	largeFifth   = 0.7
	// minServedShare is the share of a kind's jobs that are in time of which each size class should have at least as much. Half is promised; the
	// rest is for the jobs that are chosen and still don't make it.
	minServedShare = 0.75
	// outcomeDecay is the weight of all outcomes before the last one of the same size class.
	outcomeDecay = 0.95
)

// kindStats is what is known of the jobs of a queue.
type kindStats struct {
	mean float64
	// works holds the work of the last jobs, the next one at position next.
	works []float64
	next  int
	// outcomes and inTime count the jobs whose outcome is known and those of them that were in time, by size class, the older ones less.
	outcomes, inTime [numSizeClasses]float64
}

// observe adds the work of a job, and returns its size class.
func (k *kindStats) observe(work float64) sizeClass {
	if len(k.works) < maxWorkSamples {
		k.works = append(k.works, work)
	} else {
		k.works[k.next] = work
		k.next = (k.next + 1) % maxWorkSamples
	}
	sum, smaller := 0.0, 0
	for _, w := range k.works {
		sum += w
		if w < work {
			smaller++
		}
	}
	k.mean = sum / float64(len(k.works))
	switch rank := float64(smaller) / float64(len(k.works)); {
	case len(k.works) < minSizeSamples:
		return otherSize
	case rank >= largestTenth:
		return largestSize
	case rank >= largeFifth:
		return largeSize
	default:
		return otherSize
	}
}

// count counts the outcome of a job.
func (k *kindStats) count(class sizeClass, inTime bool) {
	k.outcomes[class] = k.outcomes[class]*outcomeDecay + 1
	k.inTime[class] *= outcomeDecay
	if inTime {
		k.inTime[class]++
	}
}

// lags reports whether large jobs of a size class have been in time much less often than those of the kind that aren't large.
func (k *kindStats) lags(class sizeClass) bool {
	if class == otherSize || k.outcomes[class] == 0 || k.outcomes[otherSize] == 0 {
		return false
	}
	return k.inTime[class]/k.outcomes[class] < minServedShare*k.inTime[otherSize]/k.outcomes[otherSize]
}
