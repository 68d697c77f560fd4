package main

import (
	"encoding/base64"
	"fmt"
	"strings"
	"time"
)

// owner returns the entry that owns the work, by the row that it writes.
func (d *deployment) owner() *process {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	for _, r := range d.store.rows {
		if r.Table != "owner" {
			continue
		}
		value, err := base64.StdEncoding.DecodeString(r.Value)
		if err != nil {
			return nil
		}
		first := -1
		var owner *process
		for _, p := range d.entries {
			if i := strings.Index(string(value), p.name); i >= 0 && (first < 0 || i < first) {
				first, owner = i, p
			}
		}
		return owner
	}
	return nil
}

// checkNoStartAfterDone reports each start of a task after one of its runs has ended done, if that end
// was taken note of, and each start while another run is at work.
func (d *deployment) checkNoStartAfterDone() {
	d.history.mu.Lock()
	defer d.history.mu.Unlock()
	done := make(map[string]*endEvent)
	ended := make(map[string]time.Duration)
	for _, e := range d.history.ends {
		ended[fmt.Sprint(e.task, e.run)] = e.at
		if e.how == "done" && e.noted != 0 && done[e.task] == nil {
			done[e.task] = e
		}
	}
	last := make(map[string]startEvent)
	for _, s := range d.history.starts {
		if e := done[s.task]; e != nil && s.at > e.at {
			d.rec.violate("TWICE: %s run %d starts at %d ms, although run %d has ended done at %d ms, which was taken note of at %d ms",
				s.task, s.run, s.at.Milliseconds(), e.run, e.at.Milliseconds(), e.noted.Milliseconds())
		}
		if l, ok := last[s.task]; ok && l.run != s.run {
			if at, over := ended[fmt.Sprint(l.task, l.run)]; !over || at > s.at {
				d.rec.violate("TWICE: %s run %d starts at %d ms while run %d is at work", s.task, s.run, s.at.Milliseconds(), l.run)
			}
		}
		last[s.task] = s
	}
}
