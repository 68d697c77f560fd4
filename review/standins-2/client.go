package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const requestDeadline = 3 * time.Second

// step is a step of a submission, as PROTOCOL.md has it.
type step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu"`
	MemoryMB    int64  `json:"memoryRequestMb"`
	EstimatedMS int64  `json:"estimatedMs"`
	Label       string `json:"requirements,omitempty"`
	DependsOn   []int  `json:"dependsOn,omitempty"`
	LongRunning bool   `json:"longRunning,omitempty"`
}

// client is a requester. Each call uses a connection of its own.
type client struct{ f *fleet }

// call sends a request to an entry and returns the status, 0 if there was no complete answer in time.
func (c *client) call(method, address, path string, body any) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return 0, nil
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+c.f.route.Prefix+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, nil
	}
	req.Host = c.f.route.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(requestDeadline.Milliseconds()))
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

func (c *client) entry(n int) string {
	return c.f.entries[n%len(c.f.entries)].requests
}

// submit hands a submission in at one entry after the other until one accepts it.
func (c *client) submit(id string, work time.Duration, cpu int64, steps ...step) bool {
	body := map[string]any{"specification": specification(work, cpu), "steps": steps}
	for n := range 20 {
		status, _ := c.call(http.MethodPost, c.entry(n), id, body)
		c.f.rec.log("client: POST %s to entry %d: %d", id, n%len(c.f.entries)+1, status)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state returns the state of a submission as an entry tells it, empty if no entry answers with one.
func (c *client) state(id string) string {
	for n := range c.f.entries {
		status, b := c.call(http.MethodGet, c.entry(n), id, nil)
		var body struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(b, &body) == nil {
			return body.State
		}
		c.f.rec.log("client: GET %s from entry %d: %d", id, n+1, status)
	}
	return ""
}

// await asks for the state until it is final, and returns the last one.
func (c *client) await(id string, limit time.Duration) string {
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if s := c.state(id); s != "" && s != last {
			c.f.rec.log("client: GET %s: %s", id, s)
			last = s
		}
		if last == "completed" || last == "failed" || last == "cancelled" {
			return last
		}
	}
	return last
}

// ready waits until an entry accepts a submission that runs to its end.
func (c *client) ready(id string, label string) bool {
	const work, cpu = 300 * time.Millisecond, 500
	return c.submit(id, work, cpu, step{Count: 1, CPU: cpu, MemoryMB: 100, EstimatedMS: work.Milliseconds(), Label: label}) &&
		c.await(id, 15*time.Second) == "completed"
}
