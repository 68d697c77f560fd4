package overload

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is told to return.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// returnGrace is how much later than told a caller may return and keeps its place.
	returnGrace = 2 * time.Second
	// maxPlaces bounds the places in one line. Callers beyond it are told to return without a place.
	maxPlaces = 512
	// jitterShare is the largest part of the time of return that is added at random.
	jitterShare = 0.25
)

// lineKey identifies the submissions that are admitted in the order of their arrival.
type lineKey struct {
	queue      string
	bestEffort bool
	class      int
}

// place is that of a caller who was refused and told to return.
type place struct {
	id string
	at time.Duration
}

// line holds the places of the refused callers of one queue and size class, in the order of their first refusals.
type line struct {
	places []place
	// last is the latest time of return that was given out.
	last time.Duration
}

// expire drops the places of callers who have not returned in time.
func (l *line) expire(now time.Duration) {
	l.places = slices.DeleteFunc(l.places, func(p place) bool { return now > p.at+returnGrace })
}

func (l *line) find(id string) int {
	return slices.IndexFunc(l.places, func(p place) bool { return p.id == id })
}

// holdsBack reports whether a caller has to wait for others. One who returns at the time that it was told does not.
func (l *line) holdsBack(id string, now time.Duration) bool {
	i := l.find(id)
	if i < 0 {
		return len(l.places) > 0
	}
	return i > 0 && now < l.places[i].at
}

// leave drops the place of a caller.
func (l *line) leave(id string) {
	if i := l.find(id); i >= 0 {
		l.places = slices.Delete(l.places, i, i+1)
	}
}

// join gives the caller a place, or a new time of return in the one that it has, and returns the time until then in whole
// seconds. The times follow each other by about the time that the capacity needs for one such submission (turn), so that those who return
// find room, and each differs at random.
func (l *line) join(id string, wait, turn, now time.Duration, r *rand.Rand) time.Duration {
	wait = max(wait, minRetryAfter)
	wait += time.Duration(jitterShare * r.Float64() * float64(wait))
	i := l.find(id)
	if i >= 0 {
		// A caller that comes too early keeps its time.
		wait = max(min(wait, maxRetryAfter), l.places[i].at-now)
		l.places[i].at = now + wholeSeconds(wait)
		l.last = max(l.last, now+wait)
		return wholeSeconds(wait)
	}
	if len(l.places) > 0 {
		wait = max(wait, l.last-now+time.Duration((0.5+r.Float64())*float64(turn)))
	}
	if wait > maxRetryAfter || len(l.places) >= maxPlaces {
		return wholeSeconds(maxRetryAfter - time.Duration(jitterShare*r.Float64()*float64(maxRetryAfter)))
	}
	// The platform's answers give whole seconds; last keeps the exact time, so that rounding does not add up.
	l.last = now + wait
	l.places = append(l.places, place{id, now + wholeSeconds(wait)})
	return wholeSeconds(wait)
}

func wholeSeconds(d time.Duration) time.Duration { return (d + time.Second - 1).Truncate(time.Second) }
