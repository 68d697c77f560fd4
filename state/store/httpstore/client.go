// Package httpstore is the HTTP client of the platform's table service and object store.
package httpstore

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/state/store"
)

// Paths and headers of the service.
const (
	PathGet     = "/v1/table/get"
	PathScan    = "/v1/table/scan"
	PathCommit  = "/v1/table/commit"
	PathObjects = "/v1/objects/"
	HeaderKind  = "X-Error-Kind"
)

// MaxObject is the largest request or object body in bytes.
const MaxObject = 16 << 20

// requestTimeout bounds one call. It is shorter than the 5 s renewal interval of shard
// leases, so that a slow store leaves time for a second renewal.
const requestTimeout = 4 * time.Second

// GetRequest is the body of PathGet.
type GetRequest struct {
	Keys []string `msgpack:"k"`
}

// ScanRequest is the body of PathScan.
type ScanRequest struct {
	Prefix string `msgpack:"p"`
	After  string `msgpack:"a"`
	Limit  int    `msgpack:"l"`
}

// Client implements store.Table and store.Objects. Objects returns the latter.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// New returns a client of the service at base, for example http://127.0.0.1:7000.
// A nil transport uses a dedicated transport with default settings.
func New(base string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute, DisableCompression: true}
	}
	// A redirect is not part of the protocol; following one could apply a commit twice.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{baseURL: strings.TrimSuffix(base, "/"),
		httpClient: &http.Client{Transport: transport, Timeout: requestTimeout, CheckRedirect: noRedirect}}
}

// Get implements store.Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	var rows []store.Row
	err := c.post(ctx, PathGet, GetRequest{Keys: keys}, &rows)
	return rows, asUnavailable(err)
}

// Scan implements store.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	var rows []store.Row
	err := c.post(ctx, PathScan, ScanRequest{Prefix: prefix, After: after, Limit: limit}, &rows)
	return rows, asUnavailable(err)
}

// Commit implements store.Table.
func (c *Client) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	var versions []uint64
	err := c.post(ctx, PathCommit, txn, &versions)
	if err == nil && len(versions) != len(txn.Writes) {
		err = errkind.New(errkind.StoreAmbiguous, "reply to the commit has %d row versions, want %d", len(versions), len(txn.Writes))
	}
	if err != nil {
		return nil, asAmbiguous(err)
	}
	return versions, nil
}

// asAmbiguous converts every error that does not prove that a write had no effect to
// errkind.StoreAmbiguous, for example a proxy's error response, which carries no kind.
func asAmbiguous(err error) error {
	if err != nil && errkind.Of(err).Attributes().Execution != errkind.ExecutionNotRun {
		return errkind.Wrap(errkind.StoreAmbiguous, err, "write may have taken effect")
	}
	return err
}

// asUnavailable converts ambiguous errors of reads to errkind.StoreUnavailable, since reads have no effect.
func asUnavailable(err error) error {
	if k := errkind.Of(err); k == errkind.StoreAmbiguous || k == errkind.Internal {
		return errkind.Wrap(errkind.StoreUnavailable, err, "read failed")
	}
	return err
}

func (c *Client) post(ctx context.Context, path string, request, result any) error {
	data, err := msgpack.Marshal(request)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode request")
	}
	out, err := c.do(ctx, http.MethodPost, path, data)
	if err != nil {
		return err
	}
	return errkind.Wrap(errkind.Internal, msgpack.Unmarshal(out, result), "decode response")
}

func (c *Client) do(ctx context.Context, method, path string, data []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(data))
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "build request")
	}
	// An entry polls every second, so a 30-byte header would take 1.5% of its control traffic budget.
	req.Header.Set("User-Agent", "")
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, errkind.Wrap(transportErrorKind(err), err, "%s %s", method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(io.LimitReader(resp.Body, MaxObject))
	if err != nil {
		return nil, errkind.Wrap(errkind.StoreAmbiguous, err, "%s %s: response body truncated", method, path)
	}
	if resp.StatusCode != http.StatusOK {
		kind := errkind.Parse(resp.Header.Get(HeaderKind))
		if kind == errkind.None {
			kind = errkind.Internal
		}
		return nil, errkind.New(kind, "%s %s: status %d: %s", method, path, resp.StatusCode, strings.TrimSpace(string(out)))
	}
	return out, nil
}

// transportErrorKind is StoreUnavailable when the connection could not be opened, so
// that nothing was sent, and StoreAmbiguous otherwise.
func transportErrorKind(err error) errkind.Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errkind.StoreUnavailable
	}
	return errkind.StoreAmbiguous
}

// Objects returns the client as an object store.
func (c *Client) Objects() store.Objects { return objects{c} }

type objects struct{ c *Client }

func (o objects) Put(ctx context.Context, key string, data []byte) error {
	_, err := o.c.do(ctx, http.MethodPut, PathObjects+url.PathEscape(key), data)
	return asAmbiguous(err)
}

func (o objects) Get(ctx context.Context, key string) ([]byte, error) {
	out, err := o.c.do(ctx, http.MethodGet, PathObjects+url.PathEscape(key), nil)
	return out, asUnavailable(err)
}

func (o objects) Delete(ctx context.Context, key string) error {
	_, err := o.c.do(ctx, http.MethodDelete, PathObjects+url.PathEscape(key), nil)
	return asAmbiguous(err)
}
