// Package minion is the HTTP client for minions. It sends attempts and distinguishes
// those that the minion cannot have run from those that it may have run, pools
// connections, tracks the health of minions and selects the minion for an attempt.
package minion

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"
)

// Headers of the protocol between entries and minions.
const (
	// HeaderAttempt carries the ID of an attempt. The minion echoes it in its
	// response.
	HeaderAttempt = "Attempt-Id"
	// HeaderTeam carries the name of the team that the request is charged to.
	HeaderTeam = "Team"
	// HeaderOutcome with the value NotRun, in a response with status 503, states that
	// the minion has not run the request.
	HeaderOutcome = "Outcome"
	// NotRun is the value of HeaderOutcome for a request that was not run.
	NotRun = "not-run"
)

// maxBufferedBody is the size in bytes up to which a response body is read completely
// before any of it is passed on. Larger bodies are streamed.
const maxBufferedBody = 64 << 10

// Attempt is a single try to run a request on one minion.
type Attempt struct {
	// ID is unique to the attempt.
	ID     string
	Team   string
	Method string
	// Target holds the path and query; its scheme and host are ignored.
	Target *url.URL
	Header http.Header
	Body   []byte
	// IsAllowed is called immediately before the request is written. If it returns
	// false, nothing is sent.
	IsAllowed func() bool
}

// Response is the response of a minion to an attempt.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body if it is small enough to be buffered.
	Body []byte
	// Stream reads the whole body if it is larger, and is nil otherwise. A read error
	// means that the body is incomplete. The caller must close it.
	Stream io.ReadCloser
}

// Client sends attempts to minions over pooled connections. It is safe for concurrent
// use.
type Client struct {
	conns *conns
}

// NewClient returns a Client that gives up connecting to a minion after dialTimeout.
func NewClient(dialTimeout time.Duration) *Client {
	return &Client{conns: newConns(dialTimeout)}
}

// SetMaxIdle sets the maximum number of idle connections to a minion, initially 0, and
// closes those in excess.
func (c *Client) SetMaxIdle(address netip.AddrPort, maxIdle int) {
	c.conns.setMaxIdle(address, maxIdle)
}

// Close closes all idle connections. Connections in use are closed when their attempt
// ends.
func (c *Client) Close() { c.conns.close() }

// Do sends an attempt and reads the response. The error is a *NotRunError if the minion
// cannot have run the attempt, and an *UnknownOutcomeError otherwise. Do never sends an
// attempt twice.
func (c *Client) Do(ctx context.Context, address netip.AddrPort, attempt Attempt) (*Response, error) {
	conn, err := c.conns.acquire(ctx, address)
	if err != nil {
		return nil, &NotRunError{Reason: "dial", Err: err}
	}
	if !attempt.IsAllowed() {
		c.conns.release(conn)
		return nil, &NotRunError{Reason: "authority", Err: errors.New("the unit is no longer held")}
	}
	writtenBefore := conn.written()
	response, err := conn.http.RoundTrip(attempt.request(ctx, address)) //nolint:bodyclose // receive closes it.
	if err != nil {
		conn.close()
		if conn.written() == writtenBefore {
			return nil, &NotRunError{Reason: "connection", Err: err}
		}
		return nil, &UnknownOutcomeError{Err: err}
	}
	return c.receive(conn, attempt, response)
}

// request builds the HTTP request. It sets no GetBody, and Do sends the request over
// a connection that it selected itself, so that the HTTP transport cannot retry it.
func (a Attempt) request(ctx context.Context, address netip.AddrPort) *http.Request {
	target := *a.Target
	target.Scheme = "http"
	target.Host = address.String()
	header := a.Header.Clone()
	header.Set(HeaderAttempt, a.ID)
	header.Set(HeaderTeam, a.Team)
	r := (&http.Request{
		Method: a.Method,
		URL:    &target,
		Header: header,
		Host:   target.Host,
	}).WithContext(ctx)
	if len(a.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(a.Body))
		r.ContentLength = int64(len(a.Body))
	}
	return r
}

// receive checks a response and buffers its body if it is small. It releases or closes
// the connection, unless the returned Response streams the body.
func (c *Client) receive(conn *conn, attempt Attempt, response *http.Response) (*Response, error) {
	if id := response.Header.Get(HeaderAttempt); id != attempt.ID {
		conn.close()
		return nil, &UnknownOutcomeError{Err: &AttemptMismatchError{Sent: attempt.ID, Received: id}}
	}
	// A status below 100 cannot be forwarded, and after one of switched protocols the body
	// would have no end. The transport skips the other responses that are not final.
	if response.StatusCode < http.StatusOK {
		conn.close()
		return nil, &UnknownOutcomeError{Err: &InvalidStatusError{Status: response.StatusCode}}
	}
	result := &Response{Status: response.StatusCode, Header: response.Header}
	// If the body is delimited only by the end of the connection, a broken
	// connection cannot be distinguished from a complete body.
	isLengthUnknown := response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Close
	if isLengthUnknown && response.Body != http.NoBody {
		conn.close()
		return nil, &UnknownOutcomeError{Err: &MissingLengthError{}}
	}
	body := &bodyReader{body: response.Body, conn: conn, conns: c.conns, isReusable: !response.Close}
	buffered, err := io.ReadAll(io.LimitReader(body, maxBufferedBody+1))
	if err != nil {
		_ = body.Close()
		return nil, &UnknownOutcomeError{Err: err}
	}
	if len(buffered) > maxBufferedBody {
		result.Stream = &streamReader{Reader: io.MultiReader(bytes.NewReader(buffered), body), body: body}
		return result, nil
	}
	_ = body.Close()
	result.Body = buffered
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderOutcome) == NotRun {
		return nil, &NotRunError{Reason: "refused", Err: errors.New("the minion refused")}
	}
	return result, nil
}

// bodyReader reads a response body. Its Close returns the connection to the pool if the
// body was read to its end, and closes the connection otherwise.
type bodyReader struct {
	body       io.ReadCloser
	conn       *conn
	conns      *conns
	isReusable bool
	isAtEnd    bool
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (n int, err error) {
	n, err = b.body.Read(p)
	b.isAtEnd = b.isAtEnd || errors.Is(err, io.EOF)
	return n, err
}

// Close implements io.Closer.
func (b *bodyReader) Close() error {
	err := b.body.Close()
	if b.isAtEnd && b.isReusable {
		b.conns.release(b.conn)
	} else {
		b.conn.close()
	}
	return err
}

// streamReader reads the buffered start of a body and then the remainder.
type streamReader struct {
	io.Reader
	body *bodyReader
}

// Close implements io.Closer.
func (r *streamReader) Close() error { return r.body.Close() }
