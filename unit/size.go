package unit

import (
	"fmt"
	"math"
)

// Size is an amount of resources in every dimension: a worker's capacity or a task's requirement.
type Size struct {
	CPUMilli     int64 `json:"cpu-milli"`
	MemoryMiB    int64 `json:"memory-mib"`
	Accelerators int64 `json:"accelerators"`
	Slots        int64 `json:"slots"`
	Connections  int64 `json:"connections"`
}

// Dimensions is the number of dimensions of a Size.
const Dimensions = 5

// Names lists the dimensions in the order of Values.
var Names = [Dimensions]string{"cpu-milli", "memory-mib", "accelerators", "slots", "connections"}

// Values returns the amounts in the order of Names.
func (s Size) Values() [Dimensions]int64 {
	return [Dimensions]int64{s.CPUMilli, s.MemoryMiB, s.Accelerators, s.Slots, s.Connections}
}

// Add returns the sum of s and o.
func (s Size) Add(o Size) Size {
	s.CPUMilli += o.CPUMilli
	s.MemoryMiB += o.MemoryMiB
	s.Accelerators += o.Accelerators
	s.Slots += o.Slots
	s.Connections += o.Connections
	return s
}

// Sub returns s minus o; amounts of the result can be negative.
func (s Size) Sub(o Size) Size {
	s.CPUMilli -= o.CPUMilli
	s.MemoryMiB -= o.MemoryMiB
	s.Accelerators -= o.Accelerators
	s.Slots -= o.Slots
	s.Connections -= o.Connections
	return s
}

// Fits reports whether s is at most o in every dimension.
func (s Size) Fits(o Size) bool {
	return s.CPUMilli <= o.CPUMilli && s.MemoryMiB <= o.MemoryMiB &&
		s.Accelerators <= o.Accelerators && s.Slots <= o.Slots && s.Connections <= o.Connections
}

// Share returns the dominant share: the largest fraction that s is of total in any dimension.
func (s Size) Share(total Size) float64 {
	share := 0.0
	sv, tv := s.Values(), total.Values()
	for i := range sv {
		if tv[i] > 0 {
			share = max(share, float64(sv[i])/float64(tv[i]))
		}
	}
	return share
}

// Max returns the maximum of s and o in each dimension.
func (s Size) Max(o Size) Size {
	return Size{
		CPUMilli:     max(s.CPUMilli, o.CPUMilli),
		MemoryMiB:    max(s.MemoryMiB, o.MemoryMiB),
		Accelerators: max(s.Accelerators, o.Accelerators),
		Slots:        max(s.Slots, o.Slots),
		Connections:  max(s.Connections, o.Connections),
	}
}

// Shortfall returns the name of the first dimension in which s exceeds o, or "".
func (s Size) Shortfall(o Size) string {
	sv, ov := s.Values(), o.Values()
	for i := range sv {
		if sv[i] > ov[i] {
			return Names[i]
		}
	}
	return ""
}

// String implements fmt.Stringer.
func (s Size) String() string {
	return fmt.Sprintf("%dm cpu, %d MiB, %d accelerators, %d slots, %d connections",
		s.CPUMilli, s.MemoryMiB, s.Accelerators, s.Slots, s.Connections)
}

// NumFitting returns how many times o fits into s, math.MaxInt32 if o is zero in every dimension.
func (s Size) NumFitting(o Size) int {
	n := int64(math.MaxInt32)
	for _, d := range [Dimensions][2]int64{
		{s.CPUMilli, o.CPUMilli},
		{s.MemoryMiB, o.MemoryMiB},
		{s.Accelerators, o.Accelerators},
		{s.Slots, o.Slots},
		{s.Connections, o.Connections},
	} {
		if d[1] > 0 {
			n = min(n, d[0]/d[1])
		}
	}
	return int(n)
}

// Scale returns s times f, rounded towards zero.
func (s Size) Scale(f float64) Size {
	scale := func(n int64) int64 { return int64(f * float64(n)) }
	return Size{scale(s.CPUMilli), scale(s.MemoryMiB), scale(s.Accelerators), scale(s.Slots), scale(s.Connections)}
}

// Min returns the minimum of s and o in each dimension.
func (s Size) Min(o Size) Size {
	return Size{
		min(s.CPUMilli, o.CPUMilli), min(s.MemoryMiB, o.MemoryMiB), min(s.Accelerators, o.Accelerators), min(s.Slots, o.Slots),
		min(s.Connections, o.Connections),
	}
}

// Mask returns s restricted to the dimensions in which o is positive; the others are zero.
func (s Size) Mask(o Size) Size {
	mask := func(n, requested int64) int64 {
		if requested > 0 {
			return n
		}
		return 0
	}
	return Size{
		mask(s.CPUMilli, o.CPUMilli), mask(s.MemoryMiB, o.MemoryMiB), mask(s.Accelerators, o.Accelerators), mask(s.Slots, o.Slots),
		mask(s.Connections, o.Connections),
	}
}
