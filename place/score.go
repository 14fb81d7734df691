package place

import "github.com/corianderdrift/corianderdrift/unit"

// Weights of what a score adds up; lower scores are better.
const (
	strandedWeight = 4.0
	sameRackWeight = 8.0
)

// Tight scores how much of the fullest dimensions is left over, so that tasks fill workers one by one.
func Tight(size, free, capacity unit.Size) float64 {
	leftover := free.Sub(size)
	leftoverValues, capacityValues := leftover.Values(), capacity.Values()
	total, minShare, maxShare := 0.0, 1.0, 0.0
	for i := range leftoverValues {
		if capacityValues[i] == 0 {
			continue
		}
		share := float64(leftoverValues[i]) / float64(capacityValues[i])
		total += share
		// Connections are never what a worker runs out of first, so they do not tell its shape.
		if i < unit.Dimensions-1 {
			minShare, maxShare = min(minShare, share), max(maxShare, share)
		}
	}
	return total + (maxShare - minShare) + strandedPenalty(size, capacity)
}

// strandedPenalty scores work without accelerators on a worker that has some.
func strandedPenalty(size, capacity unit.Size) float64 {
	if size.Accelerators == 0 && capacity.Accelerators > 0 {
		return strandedWeight
	}
	return 0
}

// Spread scores how full a worker is, and adds a penalty for racks that have a task of the same work already.
func Spread(size, free, capacity unit.Size, numSameRack int) float64 {
	used := capacity.Sub(free).Add(size)
	return used.Share(capacity) + float64(numSameRack)*sameRackWeight + strandedPenalty(size, capacity)
}
