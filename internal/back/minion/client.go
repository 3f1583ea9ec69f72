// Package minion speaks HTTP to the minions: it sends attempts, tells apart
// what did not run from what may have run, keeps connections, and chooses the
// minion for the next attempt.
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
	// HeaderAttempt carries the id of an attempt; a minion echoes it.
	HeaderAttempt = "Attempt-Id"
	// HeaderTeam carries the team that the work is for.
	HeaderTeam = "Team"
	// HeaderOutcome with the value NotRun tells that a minion ran nothing.
	HeaderOutcome = "Outcome"
	// NotRun is the outcome of a request that was not run.
	NotRun = "not-run"
)

// maxWhole is the largest answer that is read whole before any of it is passed
// on, in bytes.
const maxWhole = 64 << 10

// Attempt is one try to run a request on one minion.
type Attempt struct {
	// ID is unique to the attempt.
	ID     string
	Team   string
	Method string
	// Target is the path and query.
	Target *url.URL
	Header http.Header
	Body   []byte
	// IsAllowed is asked last before anything is written.
	IsAllowed func() bool
}

// Answer is the answer of a minion to an attempt.
type Answer struct {
	Status int
	Header http.Header
	// Whole is the body if it is small.
	Whole []byte
	// Rest is the body if it is large: an error while reading it means that the
	// answer is not complete. It must be closed. It is nil if Whole is used.
	Rest io.ReadCloser
}

// Client sends attempts. It is safe for concurrent use.
type Client struct {
	conns *conns
}

// NewClient returns a Client. A dial takes at most dialTimeout.
func NewClient(dialTimeout time.Duration) *Client {
	return &Client{conns: newConns(dialTimeout)}
}

// SetIdle bounds the idle connections to a minion; those above it are closed.
func (c *Client) SetIdle(address netip.AddrPort, most int) { c.conns.setIdle(address, most) }

// Close closes all idle connections.
func (c *Client) Close() { c.conns.close() }

// Do sends an attempt and reads its answer. The error is a *NotRunError if the
// minion cannot have run it, else a *BrokenError. Nothing is ever sent twice.
func (c *Client) Do(ctx context.Context, address netip.AddrPort, attempt Attempt) (*Answer, error) {
	conn, err := c.conns.take(ctx, address)
	if err != nil {
		return nil, &NotRunError{Reason: "dial", Err: err}
	}
	if !attempt.IsAllowed() {
		c.conns.put(conn)
		return nil, &NotRunError{Reason: "authority", Err: errors.New("the unit is no longer held")}
	}
	before := conn.written()
	response, err := conn.http.RoundTrip(attempt.request(ctx, address)) //nolint:bodyclose // receive closes it.
	if err != nil {
		conn.close()
		if conn.written() == before {
			return nil, &NotRunError{Reason: "connection", Err: err}
		}
		return nil, &BrokenError{Err: err}
	}
	return c.receive(conn, attempt, response)
}

// request builds the HTTP request. It has no GetBody, and it is sent over a
// connection of its own, so that the transport cannot repeat it.
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

// receive checks an answer and reads it, if it is small.
func (c *Client) receive(conn *conn, attempt Attempt, response *http.Response) (*Answer, error) {
	if id := response.Header.Get(HeaderAttempt); id != attempt.ID {
		conn.close()
		return nil, &BrokenError{Err: &CrossedError{Sent: attempt.ID, Received: id}}
	}
	answer := &Answer{Status: response.StatusCode, Header: response.Header}
	// Without a length the end of the connection would pass for the end of
	// the answer.
	isUnbounded := response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Close
	if isUnbounded && response.Body != http.NoBody {
		conn.close()
		return nil, &BrokenError{Err: &LengthError{}}
	}
	body := &bodyReader{body: response.Body, conn: conn, conns: c.conns, reusable: !response.Close}
	whole, err := io.ReadAll(io.LimitReader(body, maxWhole+1))
	if err != nil {
		_ = body.Close()
		return nil, &BrokenError{Err: err}
	}
	if len(whole) > maxWhole {
		answer.Rest = &restReader{Reader: io.MultiReader(bytes.NewReader(whole), body), body: body}
		return answer, nil
	}
	_ = body.Close()
	answer.Whole = whole
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderOutcome) == NotRun {
		return nil, &NotRunError{Reason: "refused", Err: errors.New("the minion refused")}
	}
	return answer, nil
}

// bodyReader gives the connection back at the end of the body and closes it
// if the body is left or breaks off before.
type bodyReader struct {
	body     io.ReadCloser
	conn     *conn
	conns    *conns
	reusable bool
	ended    bool
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (n int, err error) {
	n, err = b.body.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// Close implements io.Closer.
func (b *bodyReader) Close() error {
	err := b.body.Close()
	if b.ended && b.reusable {
		b.conns.put(b.conn)
	} else {
		b.conn.close()
	}
	return err
}

type restReader struct {
	io.Reader
	body *bodyReader
}

// Close implements io.Closer.
func (r *restReader) Close() error { return r.body.Close() }
