package relay

import (
	"context"
	"encoding/json"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/call"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
)

// maxConcurrentCalls bounds the calls that an entry makes for peers at the same time.
// An entry usually has four calls in progress, most of them watches, and several peers
// may relay through the same entry.
const maxConcurrentCalls = 64

// Server makes calls to the store on behalf of peers. It uses only the direct path, so
// that calls are never relayed twice. It is safe for concurrent use.
type Server struct {
	direct    *store.Client
	semaphore chan struct{}
}

// NewServer returns a Server that calls the store with the client direct.
func NewServer(direct *store.Client) *Server {
	return &Server{direct: direct, semaphore: make(chan struct{}, maxConcurrentCalls)}
}

// Serve makes the call of a peer and returns its result. The time that the peer waits
// bounds the call. If too many calls are in progress or the arguments cannot be decoded,
// no call is made and the outcome is call.Unavailable.
func (s *Server) Serve(ctx context.Context, relay *wire.Relay) *wire.Response {
	select {
	case s.semaphore <- struct{}{}:
		defer func() { <-s.semaphore }()
	default:
		return &wire.Response{Outcome: call.Unavailable, Reason: "too many calls of peers are under way"}
	}
	var args arguments
	if err := json.Unmarshal(relay.GetArguments(), &args); err != nil {
		return &wire.Response{Outcome: call.Unavailable, Reason: err.Error()}
	}
	if timeout := relay.GetMilliseconds(); timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, time.Duration(timeout)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	data, err := json.Marshal(perform(ctx, s.direct, relay.GetVerb(), args))
	if err != nil {
		return &wire.Response{Outcome: call.Indeterminate, Reason: err.Error()}
	}
	return &wire.Response{Outcome: call.Done, Answer: data}
}
