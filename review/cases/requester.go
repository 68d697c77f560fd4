package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	requestDeadline = 3 * time.Second
	requestRetries  = 4
	retryPause      = 300 * time.Millisecond
)

type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu,omitempty"`
	MemoryMB      int64  `json:"memoryRequestMb,omitempty"`
	EstimatedMS   int64  `json:"estimatedMs,omitempty"`
	DependsOn     []int  `json:"dependsOn,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	AntiAffinity  int    `json:"antiAffinity,omitempty"`
	LongRunning   bool   `json:"longRunning,omitempty"`
	Gang          bool   `json:"gangScheduled,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Image         string `json:"image,omitempty"`
	TargetMS      int64  `json:"targetMs,omitempty"`
	FillRatio     int    `json:"fillRatio,omitempty"`
}

type submission struct {
	Specification string `json:"specification"`
	Steps         []step `json:"steps"`
	RepeatCount   int    `json:"repeatCount,omitempty"`
	StartAtMS     int64  `json:"startAtMs,omitempty"`
	IntervalMS    int64  `json:"intervalMs,omitempty"`
}

// newID returns the id of a new submission.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// requester calls the entries in turn, like the platform's requesters.
type requester struct {
	d      *deployment
	client *http.Client
}

func newRequester(d *deployment) *requester {
	return &requester{d: d, client: &http.Client{Timeout: requestDeadline}}
}

// call sends one request to an entry. A status of 0 means that there was no answer.
func (q *requester) call(entry int, method, id string, body any) (int, []byte) {
	address := q.d.address(partEntry, entry%entryCount+1, requestPort)
	status, b, err := send(context.Background(), q.client, method, "http://"+address+routePrefix+id, routeHost, body)
	if err != nil {
		q.d.rec.line("requester: %s %s at entry %d: no answer (%v)", method, id, entry%entryCount+1, err)
		return 0, nil
	}
	return status, b
}

// submit hands a submission in, with retries after no answer, 502 and 504. It reports whether it was accepted.
func (q *requester) submit(id string, s submission) bool {
	status, first := 0, rand.IntN(entryCount)
	for i := range 1 + requestRetries {
		status, _ = q.call(first+i, http.MethodPost, id, s)
		q.d.rec.line("requester: POST %s at entry %d: %d", id, (first+i)%entryCount+1, status)
		if status/100 == 2 {
			return true
		}
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			return false
		}
		time.Sleep(retryPause)
	}
	return false
}

// state returns the state of a submission, or the status of the last answer.
func (q *requester) state(id string) string {
	status, answer := 0, ""
	for i := range entryCount {
		var b []byte
		status, b = q.call(i, http.MethodGet, id, nil)
		var body struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(b, &body) == nil {
			answer = body.State
			break
		}
		answer = fmt.Sprintf("status %d", status)
	}
	q.d.rec.line("requester: GET %s: %s", id, answer)
	return answer
}

// send sends a request with a JSON body, or without one if body is nil.
func send(ctx context.Context, c *http.Client, method, target, host string, body any) (int, []byte, error) {
	var encoded bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&encoded).Encode(body); err != nil {
			return 0, nil, err
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, target, &encoded)
	if err != nil {
		return 0, nil, err
	}
	if host != "" {
		r.Host = host
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(requestDeadline.Milliseconds()))
	resp, err := c.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}
