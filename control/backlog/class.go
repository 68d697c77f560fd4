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
	SlackBuckets = 20
	// smallestSlack is the bound of the first range. Each range reaches to slackGrowth times the bound of the one before.
	smallestSlack = time.Second / 2
	slackGrowth   = math.Sqrt2
)

// ClassOf returns the size class of a submission by its estimated work in processor seconds.
func ClassOf(work float64) int {
	i := 0
	for bound := smallestClass; i < Classes-1 && work > bound; bound *= 2 {
		i++
	}
	return i
}

// SlackBucket returns the range of a slack.
func SlackBucket(slack time.Duration) int {
	i := 0
	for i < SlackBuckets-1 && slack > slackBounds[i] {
		i++
	}
	return i
}

// SlackBound returns the upper bound of a range of slack.
func SlackBound(bucket int) time.Duration { return slackBounds[bucket] }

// slackBounds are the upper bounds of the ranges of slack.
var slackBounds = func() (b [SlackBuckets]time.Duration) {
	bound := float64(smallestSlack)
	for i := range b {
		b[i] = time.Duration(bound)
		bound *= slackGrowth
	}
	b[SlackBuckets-1] = math.MaxInt64
	return b
}()
