// Package platform speaks to the platform: to its key-value service through
// the JSON form of the etcd v3 API, and to its list of instances through
// Prometheus HTTP service discovery. docs/PLATFORM.md states what is used.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
)

// Defaults of Config.
const (
	DefaultTimeout = 2 * time.Second
	DefaultBudget  = 20
	DefaultBurst   = 40
)

const (
	// maxReply bounds a reply: a value is at most a megabyte, in base64.
	maxReply = 4 << 20
	// retryFirst and retryMost bound the wait between two calls that fail.
	retryFirst = 50 * time.Millisecond
	retryMost  = 2 * time.Second
	// maxIdleConns keeps one connection for calls and one for a watch.
	maxIdleConns = 2
)

// Config sets up a Client. Zero values take the defaults.
type Config struct {
	// Endpoints are the addresses of the key-value service.
	Endpoints []netip.AddrPort
	// List is the address of the list of instances.
	List netip.AddrPort
	// Timeout bounds one call.
	Timeout time.Duration
	// Budget is how many calls a second the client makes, with a burst of
	// Burst; a call above it waits.
	Budget float64
	Burst  int
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	config  Config
	http    *http.Client
	limiter *rate.Limiter
	calls   atomic.Uint64
	next    atomic.Uint64
}

// NewClient returns a Client. It makes no call yet.
func NewClient(config Config) *Client {
	if config.Timeout == 0 {
		config.Timeout = DefaultTimeout
	}
	if config.Budget == 0 {
		config.Budget, config.Burst = DefaultBudget, DefaultBurst
	}
	dialer := &net.Dialer{Timeout: config.Timeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns}
	return &Client{
		config:  config,
		http:    &http.Client{Transport: transport},
		limiter: rate.NewLimiter(rate.Limit(config.Budget), config.Burst),
	}
}

// Calls returns how many calls were made so far; a watch counts as one.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call makes one call and decodes its reply.
func (c *Client) call(ctx context.Context, path string, request, reply any) (err error) {
	defer fault.Annotate(&err, "calling the platform at %s", path)
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	body, err := c.open(ctx, path, request)
	if err != nil {
		return err
	}
	defer body.Close()
	return json.NewDecoder(io.LimitReader(body, maxReply)).Decode(reply)
}

// open makes a call and returns the body of its reply.
func (c *Client) open(ctx context.Context, path string, request any) (body io.ReadCloser, err error) {
	if err = c.limiter.Wait(ctx); err != nil {
		return nil, &BudgetError{}
	}
	payload, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	endpoint := c.config.Endpoints[c.next.Load()%uint64(len(c.config.Endpoints))]
	url := fmt.Sprintf("http://%s%s", endpoint, path)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(payload))
	if err != nil {
		return nil, err
	}
	c.calls.Add(1)
	response, err := c.http.Do(r)
	if err != nil {
		c.next.Add(1)
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		c.next.Add(1)
		return nil, &StatusError{Status: response.StatusCode}
	}
	return response.Body, nil
}

// Retry calls the function until it succeeds, the context ends, or it fails
// with a ConflictError. The waits in between grow and have full jitter.
func Retry(ctx context.Context, call func(ctx context.Context) error) error {
	wait := retryFirst
	for {
		err := call(ctx)
		var conflict *ConflictError
		if err == nil || errors.As(err, &conflict) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(rand.N(wait) + 1):
		}
		wait = min(wait*2, retryMost)
	}
}
