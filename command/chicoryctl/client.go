package chicoryctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/ingress/entry"
)

// Bounds of a call. It is retried when the response was lost, as every operation is idempotent.
const (
	maxAttempts      = 3
	retryDelay       = 300 * time.Millisecond
	maxResponseBytes = 64 << 20
)

// client calls the operator API.
type client struct {
	base string
	http *http.Client
}

// call sends v as JSON when it is not nil and decodes the response into out.
func (c *client) call(ctx context.Context, method, path string, v, out any) error {
	var body []byte
	if v != nil {
		var err error
		if body, err = json.Marshal(v); err != nil {
			return errkind.Wrap(errkind.Internal, err, "encode")
		}
	}
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(retryDelay):
			}
		}
		err = c.sendOnce(ctx, method, path, body, out)
		if errkind.Of(err) != errkind.OutcomeUnknown || ctx.Err() != nil {
			break
		}
	}
	if ctx.Err() != nil {
		return errkind.New(errkind.Cancelled, "interrupted; a change that was already sent may be in effect; the command may be repeated safely")
	}
	return err
}

func (c *client) sendOnce(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.base, "/")+path, bytes.NewReader(body))
	if err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "--server")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return transportError(err, method)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return transportError(err, method)
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(resp, data)
	}
	return errkind.Wrap(errkind.Internal, json.Unmarshal(data, out), "decode the response")
}

func transportError(err error, method string) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errkind.Wrap(errkind.NotReady, err, "cannot connect to the server; nothing was done")
	}
	if method == http.MethodGet {
		return errkind.Wrap(errkind.OutcomeUnknown, err, "no response from the server")
	}
	return errkind.Wrap(errkind.OutcomeUnknown, err, "the response was lost; the change may be in effect; the command may be repeated safely")
}

func responseError(resp *http.Response, data []byte) error {
	var b entry.ErrorBody
	if err := json.Unmarshal(data, &b); err != nil || b.Kind == "" {
		return errkind.New(errkind.Internal, "unexpected response from the server: %s without an error body of an entry", resp.Status)
	}
	return errkind.New(errkind.Parse(b.Kind), "%s", strings.TrimPrefix(b.Message, b.Kind+": "))
}
