package backlog

import (
	"math"
	"time"
)

const (
	// Classes is the number of size classes of submissions.
	Classes = 12
	// smallestClass is the bound of the first class in processor seconds. Each class reaches to twice the bound of the
	// one before; the last is unbounded.
	smallestClass = 0.5

	// SlackBuckets is the number of ranges of slack in which late work is counted.
	SlackBuckets = 9
	// smallestSlack is the bound of the first range. Each range reaches to twice the bound of the one before.
	smallestSlack = time.Second
)

// ClassOf returns the size class of a submission by its estimated work in processor seconds.
func ClassOf(work float64) int {
	return doublings(work/smallestClass, Classes)
}

// SlackBucket returns the range of a slack.
func SlackBucket(slack time.Duration) int {
	return doublings(float64(slack)/float64(smallestSlack), SlackBuckets)
}

// SlackRange returns the bounds of a range of slack.
func SlackRange(bucket int) (from, to time.Duration) {
	if bucket > 0 {
		from = smallestSlack << (bucket - 1)
	}
	if bucket == SlackBuckets-1 {
		return from, math.MaxInt64
	}
	return from, smallestSlack << bucket
}

// doublings returns how often 1 has to be doubled to reach the ratio, less than n.
func doublings(ratio float64, n int) int {
	i := 0
	for i < n-1 && ratio > 1 {
		ratio /= 2
		i++
	}
	return i
}
