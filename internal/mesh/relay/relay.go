// Package relay gives an entry a second path to the metadata store: one hop
// through a peer that reaches it. The store may turn away some entries and serve
// the others; without the second path each of them would lose its cells. The peer
// makes the same call with the same conditions and decides nothing.
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
	// shunLeast is for how long the direct path is left alone after a call on it
	// had no answer; the time doubles with each trial that fails, up to shunMost.
	// A trial on a silent path costs its call half of its time.
	shunLeast = time.Second
	shunMost  = 4 * time.Second
	// restTime is for how long peers are left alone after one could not help: in
	// an outage of the store none can, and each call is paid for.
	restTime = time.Second
	// returnTime is left for a peer's answer, so that it says what came of the call
	// before the caller gives up.
	returnTime = 50 * time.Millisecond
	// peersTried is how many peers a call goes to; a third of the entries may be
	// turned away with this one.
	peersTried = 2
)

// Config sets up a Path.
type Config struct {
	// Direct is the entry's own path.
	Direct *store.Client
	// Peers returns the peers to ask, the best first.
	Peers func() []netip.AddrPort
	// Call makes a call to a peer.
	Call func(ctx context.Context, peer netip.AddrPort, request *wire.Request) (*wire.Response, error)
	Log  *logrus.Entry
}

// Path reaches the store by itself or through a peer. It is safe for concurrent
// use.
type Path struct {
	config Config

	mu sync.Mutex
	// shunned is until when the direct path is left alone, shunFor for how long
	// that is; 0 while it works.
	shunned time.Time
	shunFor time.Duration
	// resting is until when peers are left alone, turn counts those that could not
	// help, so that others are asked next.
	resting time.Time
	turn    int
}

// New returns a path; its Client uses it.
func New(config Config) *Path { return &Path{config: config} }

// Client returns a client of the store that uses both paths.
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

// do makes a call on the path that works, and on the other one if it does not.
func (p *Path) do(ctx context.Context, verb string, args arguments) answer {
	if !p.isShunned(verb) {
		first := p.direct(ctx, verb, args)
		if first.isAnswered() || ctx.Err() != nil || !p.mayDetour() {
			return first
		}
		return combine(first, p.detour(ctx, verb, args))
	}
	if !p.mayDetour() {
		return p.direct(ctx, verb, args)
	}
	first := p.detour(ctx, verb, args)
	if first.isAnswered() || ctx.Err() != nil {
		return first
	}
	return combine(first, p.direct(ctx, verb, args))
}

// combine returns the outcome of a call that was made a second time. One that may
// have been carried out the first time stays open unless the store has answered.
func combine(first, second answer) answer {
	if !second.isAnswered() && first.Failure == failureOpen {
		return first
	}
	return second
}

// direct makes a call on the entry's own path. It leaves half of the time for a
// peer, if one could help; a watch waits on purpose and needs all of it.
func (p *Path) direct(ctx context.Context, verb string, args arguments) answer {
	if deadline, isBounded := ctx.Deadline(); isBounded && verb != verbWatch && p.mayDetour() {
		limited, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
		ctx = limited
	}
	a := perform(ctx, p.config.Direct, verb, args)
	// A caller that has ended tells nothing of the path, and a watch that waits may
	// be cut by a store that serves all else.
	isTelling := verb != verbWatch && !errors.Is(ctx.Err(), context.Canceled)
	if a.isAnswered() || isTelling {
		p.noteDirect(a)
	}
	return a
}

// noteDirect takes in whether the direct path works.
func (p *Path) noteDirect(a answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.isAnswered() {
		if p.shunFor > 0 {
			event.PathDirect.Log(p.config.Log, nil)
		}
		p.shunFor = 0
		return
	}
	if p.shunFor == 0 {
		event.PathDetour.Log(p.config.Log, logrus.Fields{"error": a.Reason})
		p.shunFor = shunLeast
		p.shunned = boot.Now().Add(p.shunFor)
	}
}

// IsDetour tells whether the own path does not answer.
func (p *Path) IsDetour() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shunFor > 0
}

// isShunned tells whether a call should go to a peer. When the time is over, one
// call tries the own path again; a watch would take too long to find it silent.
func (p *Path) isShunned(verb string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := boot.Now()
	if p.shunFor == 0 {
		return false
	}
	if now.Before(p.shunned) || verb == verbWatch {
		return true
	}
	p.shunFor = min(2*p.shunFor, shunMost)
	p.shunned = now.Add(p.shunFor)
	return false
}

// mayDetour tells whether asking a peer is worth it.
func (p *Path) mayDetour() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !boot.Now().Before(p.resting) && len(p.config.Peers()) > 0
}

// detour makes a call through a peer.
func (p *Path) detour(ctx context.Context, verb string, args arguments) (result answer) {
	result = answer{Failure: failureRefused, Reason: "no peer could be asked"}
	for range peersTried {
		peers := p.config.Peers()
		if len(peers) == 0 || ctx.Err() != nil {
			break
		}
		p.mu.Lock()
		turn := p.turn
		p.mu.Unlock()
		result = combine(result, p.ask(ctx, peers[turn%len(peers)], verb, args))
		// A caller that has ended tells nothing of the peer.
		if result.isAnswered() || errors.Is(ctx.Err(), context.Canceled) {
			return result
		}
		event.DetourFailed.Log(p.config.Log, logrus.Fields{"verb": verb, "reason": result.Reason})
		p.mu.Lock()
		if p.turn == turn {
			p.turn++
		}
		p.mu.Unlock()
	}
	p.mu.Lock()
	p.resting = boot.Now().Add(restTime)
	p.mu.Unlock()
	return result
}

// ask has one peer make a call.
func (p *Path) ask(ctx context.Context, peer netip.AddrPort, verb string, args arguments) (result answer) {
	left := time.Duration(0)
	if deadline, isBounded := ctx.Deadline(); isBounded {
		left = max(time.Until(deadline)-returnTime, time.Millisecond)
		args.Wait = min(args.Wait, left/2)
	}
	data, err := json.Marshal(args)
	if err != nil {
		return answer{Failure: failureRefused, Reason: err.Error()}
	}
	relay := &wire.Relay{Verb: verb, Arguments: data, Milliseconds: uint32(left.Milliseconds())}
	response, err := p.config.Call(ctx, peer, &wire.Request{Body: &wire.Request_Relay{Relay: relay}})
	switch {
	case errors.Is(err, call.ErrNotSent):
		return answer{Failure: failureRefused, Reason: err.Error()}
	case err != nil:
		return answer{Failure: failureOpen, Reason: err.Error()}
	case response.GetOutcome() == call.Open:
		return answer{Failure: failureOpen, Reason: response.GetReason()}
	case response.GetOutcome() != call.Done:
		return answer{Failure: failureRefused, Reason: response.GetReason()}
	}
	if err := json.Unmarshal(response.GetAnswer(), &result); err != nil {
		return answer{Failure: failureOpen, Reason: err.Error()}
	}
	return result
}
