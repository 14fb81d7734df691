package place

import "github.com/corianderdrift/corianderdrift/unit"

// Weights of the penalties in a score; lower scores are better.
const (
	strandedWeight = 4.0
	sameRackWeight = 8.0
)

// PackScore scores a worker by the shares that a task leaves free in its dimensions, and by how uneven they are, so that tasks
// fill workers one by one.
func PackScore(size, free, capacity unit.Size) float64 {
	leftover := free.Sub(size)
	leftoverValues, capacityValues := leftover.Values(), capacity.Values()
	total, minShare, maxShare := 0.0, 1.0, 0.0
	for i := range leftoverValues {
		if capacityValues[i] == 0 {
			continue
		}
		share := float64(leftoverValues[i]) / float64(capacityValues[i])
		total += share
		// A worker never runs out of connections first, so they don't count as uneven use.
		if i < unit.Dimensions-1 {
			minShare, maxShare = min(minShare, share), max(maxShare, share)
		}
	}
	return total + (maxShare - minShare) + strandedPenalty(size, capacity)
}

// strandedPenalty returns a penalty for a task without accelerators on a worker that has some.
func strandedPenalty(size, capacity unit.Size) float64 {
	if size.Accelerators == 0 && capacity.Accelerators > 0 {
		return strandedWeight
	}
	return 0
}

// SpreadScore scores a worker by how full it is with the task, with a penalty for each task of the same work on its rack.
func SpreadScore(size, free, capacity unit.Size, numSameRack int) float64 {
	used := capacity.Sub(free).Add(size)
	return used.Share(capacity) + float64(numSameRack)*sameRackWeight + strandedPenalty(size, capacity)
}
