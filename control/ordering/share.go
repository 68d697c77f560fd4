package ordering

// Claim is a pending step, with what its tasks that wait ask for.
type Claim struct {
	Queue      string
	Priority   int
	Timeliness Timeliness
	// CPU is in thousandths of a processor.
	CPU int64
	// LongRunning steps go first, whatever their queue holds.
	LongRunning bool
}

// Share returns the positions of claims in the order in which they get executors while they ask for more than there is: max-min
// fair among the queues of one priority. Of the steps that can be on time, the first one of the queue that holds least goes next. The claims are in
// the order of Less, which stands within each queue, between priorities and for late work. held is what the runs of each queue hold, in
// thousandths of a processor.
func Share(claims []Claim, held map[string]int64) []int {
	out := make([]int, 0, len(claims))
	for from := 0; from < len(claims); {
		to := from + 1
		for to < len(claims) && claims[to].together(&claims[from]) {
			to++
		}
		out = appendShared(out, claims, from, to, held)
		from = to
	}
	return out
}

// together reports whether two neighbors share the capacity.
func (c *Claim) together(d *Claim) bool {
	return c.Timeliness == OnTime && d.Timeliness == OnTime && c.Priority == d.Priority && !c.LongRunning && !d.LongRunning
}

// appendShared appends the positions from one to another in their shared order.
func appendShared(out []int, claims []Claim, from, to int, held map[string]int64) []int {
	next := make(map[string][]int)
	var queues []string
	got := make(map[string]int64)
	for i := from; i < to; i++ {
		q := claims[i].Queue
		if next[q] == nil {
			queues = append(queues, q)
			got[q] = held[q]
		}
		next[q] = append(next[q], i)
	}
	for range to - from {
		least := ""
		found := false
		for _, q := range queues {
			if len(next[q]) > 0 && (!found || got[q] < got[least]) {
				least, found = q, true
			}
		}
		i := next[least][0]
		next[least] = next[least][1:]
		got[least] += claims[i].CPU
		out = append(out, i)
	}
	return out
}
