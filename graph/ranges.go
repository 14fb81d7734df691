package graph

import (
	"cmp"
	"slices"
)

// RangeSet is a set of numbers as sorted, disjoint and non-adjacent half-open ranges [from, to).
type RangeSet [][2]int

// Contains reports whether n is in the set.
func (s RangeSet) Contains(n int) bool {
	i, found := s.search(n)
	return found || (i > 0 && n < s[i-1][1])
}

// Len returns how many numbers are in the set.
func (s RangeSet) Len() int {
	n := 0
	for _, r := range s {
		n += r[1] - r[0]
	}
	return n
}

// Add adds n to the set.
func (s *RangeSet) Add(n int) {
	if s.Contains(n) {
		return
	}
	i, _ := s.search(n)
	joinsLeft := i > 0 && (*s)[i-1][1] == n
	joinsRight := i < len(*s) && (*s)[i][0] == n+1
	switch {
	case joinsLeft && joinsRight:
		(*s)[i-1][1] = (*s)[i][1]
		*s = slices.Delete(*s, i, i+1)
	case joinsLeft:
		(*s)[i-1][1] = n + 1
	case joinsRight:
		(*s)[i][0] = n
	default:
		*s = slices.Insert(*s, i, [2]int{n, n + 1})
	}
}

// NextMissing returns the lowest number from n on that is not in the set.
func (s RangeSet) NextMissing(n int) int {
	i, found := s.search(n)
	if !found {
		i--
	}
	if i >= 0 && n < s[i][1] {
		return s[i][1]
	}
	return n
}

// valid reports whether the ranges are sorted, disjoint and non-empty, and hold no number below 0.
func (s RangeSet) valid() bool {
	end := 0
	for _, r := range s {
		if r[0] < end || r[1] <= r[0] {
			return false
		}
		end = r[1]
	}
	return true
}

// search returns the index of the first range that begins at n or later, and whether it begins at n.
func (s RangeSet) search(n int) (i int, found bool) {
	return slices.BinarySearchFunc(s, n, func(r [2]int, n int) int { return cmp.Compare(r[0], n) })
}
