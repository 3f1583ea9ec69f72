// Package platform is the client of the platform. It accesses the key-value service
// through the JSON gateway of the etcd v3 API, and the list of instances through
// Prometheus HTTP service discovery. docs/PLATFORM.md lists the parts of these APIs that
// are used.
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
	// DefaultCallsPerSecond is in calls per second.
	DefaultCallsPerSecond = 20
	// DefaultBurst is in calls.
	DefaultBurst = 40
)

const (
	// maxResponseSize is the maximum size of a response in bytes. A value has at most a
	// megabyte, which base64 encoding makes larger.
	maxResponseSize = 4 << 20
	// minRetryDelay and maxRetryDelay bound the delay of Retry before jitter is
	// applied.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// maxIdleConns is the number of idle connections kept per host: one for calls and
	// one for a watch.
	maxIdleConns = 2
)

// Config configures a Client.
type Config struct {
	// Addresses holds the addresses of the key-value service. The client uses one of
	// them until a call to it fails, and then the next.
	Addresses []netip.AddrPort
	// ListAddress is the address of the list of instances.
	ListAddress netip.AddrPort
	// Timeout is the time limit of one call, DefaultTimeout if zero. It does not apply
	// to watches.
	Timeout time.Duration
	// CallsPerSecond is the maximum rate of calls per second, with bursts of up to Burst
	// calls. Calls in excess wait. If CallsPerSecond is zero, both have their defaults.
	CallsPerSecond float64
	Burst          int
}

// Client makes calls to the platform. It is safe for concurrent use.
type Client struct {
	config        Config
	http          *http.Client
	limiter       *rate.Limiter
	callCount     atomic.Uint64
	endpointIndex atomic.Uint64
}

// NewClient returns a Client. It does not connect to the platform.
func NewClient(config Config) *Client {
	if config.Timeout == 0 {
		config.Timeout = DefaultTimeout
	}
	if config.CallsPerSecond == 0 {
		config.CallsPerSecond, config.Burst = DefaultCallsPerSecond, DefaultBurst
	}
	dialer := &net.Dialer{Timeout: config.Timeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns}
	return &Client{
		config:  config,
		http:    &http.Client{Transport: transport},
		limiter: rate.NewLimiter(rate.Limit(config.CallsPerSecond), config.Burst),
	}
}

// Calls returns the number of calls made so far, where a watch counts as one.
func (c *Client) Calls() uint64 { return c.callCount.Load() }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call makes a call to the key-value service and decodes the response.
func (c *Client) call(ctx context.Context, path string, request, response any) (err error) {
	defer fault.Annotate(&err, "calling the platform at %s", path)
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	body, err := c.send(ctx, path, request)
	if err != nil {
		return err
	}
	defer body.Close()
	return json.NewDecoder(io.LimitReader(body, maxResponseSize)).Decode(response)
}

// send makes a call to the key-value service and returns the body of the response, which
// the caller closes. After a failure the next call uses the next address.
func (c *Client) send(ctx context.Context, path string, request any) (body io.ReadCloser, err error) {
	if err = c.limiter.Wait(ctx); err != nil {
		return nil, &RateLimitError{}
	}
	payload, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	address := c.config.Addresses[c.endpointIndex.Load()%uint64(len(c.config.Addresses))]
	url := fmt.Sprintf("http://%s%s", address, path)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(payload))
	if err != nil {
		return nil, err
	}
	c.callCount.Add(1)
	response, err := c.http.Do(httpRequest)
	if err != nil {
		c.endpointIndex.Add(1)
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		c.endpointIndex.Add(1)
		return nil, &StatusError{Status: response.StatusCode}
	}
	return response.Body, nil
}

// Retry calls the function until it succeeds, fails with a *ConflictError, or the context
// ends. It backs off exponentially between calls, with full jitter.
func Retry(ctx context.Context, call func(ctx context.Context) error) error {
	maxDelay := minRetryDelay
	for {
		err := call(ctx)
		var conflict *ConflictError
		if err == nil || errors.As(err, &conflict) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(rand.N(maxDelay) + 1):
		}
		maxDelay = min(maxDelay*2, maxRetryDelay)
	}
}
