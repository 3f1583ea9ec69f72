// Package relay gives an entry a second path to the metadata store: through a peer that
// can reach it. The store may refuse the connections of some entries while it serves the
// others; without the second path those entries would lose their cells. The peer makes
// the same call with the same conditions and takes no decisions of its own.
package relay

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/call"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
)

const (
	// minBackoff is how long the direct path is not used after a call on it got no
	// response. The time doubles with each failed retry, up to maxBackoff. A retry on an
	// unresponsive path uses up half of the time of its call.
	minBackoff = time.Second
	maxBackoff = 4 * time.Second
	// peerBackoff is how long no call is relayed after relaying failed. In an outage of
	// the store no peer can reach it, and each relayed call has a cost.
	peerBackoff = time.Second
	// replyMargin is how much earlier than the caller the peer gives up, so that its
	// response with the outcome of the call still arrives in time.
	replyMargin = 50 * time.Millisecond
	// maxPeersPerCall is the number of peers tried for a call. More than one is needed,
	// since up to a third of the entries may have lost the store at the same time.
	maxPeersPerCall = 2
)

// Config sets up a Path.
type Config struct {
	// Direct is a client that connects to the store directly.
	Direct *store.Client
	// Peers returns the peers that may relay calls, in order of preference. It is called
	// with a lock held and must not call methods of the Path.
	Peers func() []netip.AddrPort
	// Call sends a request to a peer; its errors are those of package call.
	Call func(ctx context.Context, peer netip.AddrPort, request *wire.Request) (*wire.Response, error)
	Log  *logrus.Entry
}

// Path makes calls to the store, directly or through a peer. It is safe for concurrent
// use.
type Path struct {
	config Config

	mu sync.Mutex
	// directRetryAt is when the direct path is tried again after a failure, on the clock
	// of package boot. backoff is the current interval, 0 while the path works.
	directRetryAt time.Time
	backoff       time.Duration
	// peersRetryAt is when calls may be relayed again. peerOffset counts the peers that
	// failed; it rotates the list, so that another one is tried next.
	peersRetryAt time.Time
	peerOffset   int
}

// New returns a Path. Calls are made with its Client.
func New(config Config) *Path { return &Path{config: config} }

// Client returns a client of the store that uses both paths. Its errors are those of
// package store.
func (p *Path) Client() *store.Client {
	return &store.Client{
		Get: func(ctx context.Context, key string) (item store.Item, err error) {
			a := p.do(ctx, verbGet, arguments{Key: key})
			if len(a.Items) > 0 {
				item = a.Items[0]
			}
			return item, a.err()
		},
		Range: func(ctx context.Context, prefix, after string, isStale bool) (store.Page, error) {
			a := p.do(ctx, verbRange, arguments{Prefix: prefix, After: after, IsStale: isStale})
			return store.Page{Items: a.Items, HasMore: a.HasMore, Revision: a.Revision}, a.err()
		},
		Watch: func(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Page, error) {
			a := p.do(ctx, verbWatch, arguments{Prefix: prefix, Revision: after, Wait: wait})
			return store.Page{Items: a.Items, Revision: a.Revision}, a.err()
		},
		Commit: func(ctx context.Context, change store.Change) (int64, error) {
			a := p.do(ctx, verbCommit, arguments{Change: change})
			return a.Revision, a.err()
		},
		Grant: func(ctx context.Context, ttl time.Duration) (store.Lease, time.Duration, error) {
			a := p.do(ctx, verbGrant, arguments{TTL: ttl})
			return a.Lease, a.TTL, a.err()
		},
		Renew: func(ctx context.Context, lease store.Lease) (time.Duration, error) {
			a := p.do(ctx, verbRenew, arguments{Lease: lease})
			return a.TTL, a.err()
		},
		Release: func(ctx context.Context, lease store.Lease) error {
			a := p.do(ctx, verbRelease, arguments{Lease: lease})
			return a.err()
		},
	}
}

// do makes a call on the path that is expected to work. If the store is not reached, it
// tries the other path, unless ctx is done or the other path is in back-off.
func (p *Path) do(ctx context.Context, verb string, args arguments) answer {
	if !p.isDirectSkipped(verb) {
		first := p.callDirect(ctx, verb, args)
		if first.isFromStore() || ctx.Err() != nil || !p.isRelayUsable() {
			return first
		}
		return combine(first, p.callThroughPeers(ctx, verb, args))
	}
	if !p.isRelayUsable() {
		return p.callDirect(ctx, verb, args)
	}
	first := p.callThroughPeers(ctx, verb, args)
	if first.isFromStore() || ctx.Err() != nil {
		return first
	}
	return combine(first, p.callDirect(ctx, verb, args))
}

// combine returns the outcome of a call that was tried twice. If the first try may have
// been carried out, the outcome stays indeterminate unless the store answered the second.
func combine(first, second answer) answer {
	if !second.isFromStore() && first.Failure == failureIndeterminate {
		return first
	}
	return second
}

// callDirect makes a call on the direct path. If the call could be relayed afterwards, it
// uses only half of the time left. A watch takes all of it, since it waits for changes.
func (p *Path) callDirect(ctx context.Context, verb string, args arguments) answer {
	if deadline, isBounded := ctx.Deadline(); isBounded && verb != verbWatch && p.isRelayUsable() {
		limited, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
		ctx = limited
	}
	a := perform(ctx, p.config.Direct, verb, args)
	// A call cancelled by its caller says nothing about the path. Neither does a failed
	// watch: the store may cut off watches while it serves all other calls.
	isConclusive := verb != verbWatch && !errors.Is(ctx.Err(), context.Canceled)
	if a.isFromStore() || isConclusive {
		p.recordDirect(a)
	}
	return a
}

// recordDirect updates the state of the direct path after a call on it and logs changes.
func (p *Path) recordDirect(a answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.isFromStore() {
		if p.backoff > 0 {
			event.StoreCallsDirect.Log(p.config.Log, nil)
		}
		p.backoff = 0
		return
	}
	if p.backoff == 0 {
		event.StoreCallsRelayed.Log(p.config.Log, logrus.Fields{"error": a.Reason})
		p.backoff = minBackoff
		p.directRetryAt = boot.Now().Add(p.backoff)
	}
}

// IsDirectDown reports whether the direct path is considered down, so that calls go through
// peers.
func (p *Path) IsDirectDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backoff > 0
}

// isDirectSkipped reports whether a call should go to a peer first. When the back-off has
// passed, it lets one call retry the direct path and doubles the back-off. Watches never
// retry it, since they would take too long to detect that it is unresponsive.
func (p *Path) isDirectSkipped(verb string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := boot.Now()
	if p.backoff == 0 {
		return false
	}
	if now.Before(p.directRetryAt) || verb == verbWatch {
		return true
	}
	p.backoff = min(2*p.backoff, maxBackoff)
	p.directRetryAt = now.Add(p.backoff)
	return false
}

// isRelayUsable reports whether there are peers and relaying is not in back-off.
func (p *Path) isRelayUsable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !boot.Now().Before(p.peersRetryAt) && len(p.config.Peers()) > 0
}

// callThroughPeers makes a call through a peer. It tries up to maxPeersPerCall peers and
// starts the back-off of relaying if none of them reaches the store.
func (p *Path) callThroughPeers(ctx context.Context, verb string, args arguments) (result answer) {
	result = answer{Failure: failureRefused, Reason: "no peer could be asked"}
	for range maxPeersPerCall {
		peers := p.config.Peers()
		if len(peers) == 0 || ctx.Err() != nil {
			break
		}
		p.mu.Lock()
		offset := p.peerOffset
		p.mu.Unlock()
		result = combine(result, p.callPeer(ctx, peers[offset%len(peers)], verb, args))
		// A call cancelled by its caller says nothing about the peer.
		if result.isFromStore() || errors.Is(ctx.Err(), context.Canceled) {
			return result
		}
		event.RelayFailed.Log(p.config.Log, logrus.Fields{"verb": verb, "reason": result.Reason})
		p.mu.Lock()
		if p.peerOffset == offset {
			p.peerOffset++
		}
		p.mu.Unlock()
	}
	p.mu.Lock()
	p.peersRetryAt = boot.Now().Add(peerBackoff)
	p.mu.Unlock()
	return result
}

// callPeer makes a call through one peer. The peer gets a shorter time-out than ctx has,
// and a watch half of it, so that the response arrives before ctx ends.
func (p *Path) callPeer(ctx context.Context, peer netip.AddrPort, verb string, args arguments) (result answer) {
	timeout := time.Duration(0)
	if deadline, isBounded := ctx.Deadline(); isBounded {
		timeout = max(time.Until(deadline)-replyMargin, time.Millisecond)
		args.Wait = min(args.Wait, timeout/2)
	}
	data, err := json.Marshal(args)
	if err != nil {
		return answer{Failure: failureRefused, Reason: err.Error()}
	}
	relay := &wire.Relay{Verb: verb, Arguments: data, Milliseconds: uint32(timeout.Milliseconds())}
	response, err := p.config.Call(ctx, peer, &wire.Request{Body: &wire.Request_Relay{Relay: relay}})
	switch {
	case errors.Is(err, call.ErrNotSent):
		return answer{Failure: failureRefused, Reason: err.Error()}
	case err != nil:
		return answer{Failure: failureIndeterminate, Reason: err.Error()}
	case response.GetOutcome() == call.Indeterminate:
		return answer{Failure: failureIndeterminate, Reason: response.GetReason()}
	case response.GetOutcome() != call.Done:
		return answer{Failure: failureRefused, Reason: response.GetReason()}
	}
	if err := json.Unmarshal(response.GetAnswer(), &result); err != nil {
		return answer{Failure: failureIndeterminate, Reason: err.Error()}
	}
	return result
}
