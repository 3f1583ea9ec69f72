package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"
)

// expiryInterval is how often a waiting watch expires leases that were not renewed, so
// that it reports the removal of their keys.
const expiryInterval = 100 * time.Millisecond

type header struct {
	Revision int64 `json:"revision,string"`
}

type keyValue struct {
	Key      []byte `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"mod_revision,string"`
	Lease    int64  `json:"lease,string,omitempty"`
}

type rangeReply struct {
	Header header     `json:"header"`
	Values []keyValue `json:"kvs"`
}

type rangeRequest struct {
	Key []byte `json:"key"`
	End []byte `json:"range_end"`
}

// decode reads the JSON body of a request. If it is not valid, decode responds with
// status 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(r.Body).Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// readRange returns the records in a range, sorted by key. The caller holds the mutex.
func (s *Server) readRange(request rangeRequest) rangeReply {
	s.expireOverdue()
	result := rangeReply{Header: header{s.revision}}
	for key, r := range s.records {
		if isInRange(key, string(request.Key), string(request.End)) {
			result.Values = append(result.Values, keyValue{[]byte(key), r.value, r.revision, r.lease})
		}
	}
	slices.SortFunc(result.Values, func(a, b keyValue) int { return slices.Compare(a.Key, b.Key) })
	return result
}

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request rangeRequest
	if !decode(w, r, &request) {
		return
	}
	s.mu.Lock()
	result := s.readRange(request)
	s.mu.Unlock()
	reply(w, result)
}

// serveTxn serves the one form of transaction that the client sends: it compares the
// revision of one key and puts one key, or else returns the compared key.
func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request struct {
		Compare []struct {
			Key      []byte `json:"key"`
			Revision int64  `json:"mod_revision,string"`
		} `json:"compare"`
		Success []struct {
			Put struct {
				Key   []byte `json:"key"`
				Value []byte `json:"value"`
				Lease int64  `json:"lease,string"`
			} `json:"request_put"`
		} `json:"success"`
	}
	if !decode(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.expireOverdue()
	compare, put := request.Compare[0], request.Success[0].Put
	_, isLeased := s.leases[put.Lease]
	if put.Lease != 0 && !isLeased {
		s.mu.Unlock()
		http.Error(w, "lease not found", http.StatusNotFound)
		return
	}
	type response struct {
		Range rangeReply `json:"response_range"`
	}
	var result struct {
		Header    header     `json:"header"`
		Succeeded bool       `json:"succeeded"`
		Responses []response `json:"responses"`
	}
	isReplyLost := false
	if s.records[string(compare.Key)].revision == compare.Revision {
		s.put(string(put.Key), put.Value, put.Lease)
		result.Succeeded = true
		isReplyLost = s.takeLostReply()
	} else {
		result.Responses = []response{{s.readRange(rangeRequest{Key: compare.Key})}}
	}
	result.Header.Revision = s.revision
	s.mu.Unlock()
	if isReplyLost {
		panic(http.ErrAbortHandler)
	}
	reply(w, result)
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request rangeRequest
	if !decode(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.remove(string(request.Key))
	s.mu.Unlock()
	reply(w, struct{}{})
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request struct {
		Seconds int64 `json:"TTL,string"`
	}
	if !decode(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.nextLease++
	id := s.nextLease
	ttl := time.Duration(request.Seconds) * time.Second
	s.leases[id] = &lease{ttl: ttl, expiry: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, struct {
		ID int64 `json:"ID,string"`
	}{id})
}

func (s *Server) serveRenew(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request struct {
		ID int64 `json:"ID,string"`
	}
	if !decode(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.expireOverdue()
	seconds := int64(0)
	if l := s.leases[request.ID]; l != nil {
		l.expiry = time.Now().Add(l.ttl)
		seconds = int64(l.ttl / time.Second)
	}
	s.mu.Unlock()
	type result struct {
		Seconds int64 `json:"TTL,string"`
	}
	reply(w, struct {
		Result result `json:"result"`
	}{result{seconds}})
}

func (s *Server) serveRevoke(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request struct {
		ID int64 `json:"ID,string"`
	}
	if !decode(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.revoke(request.ID)
	s.mu.Unlock()
	reply(w, struct{}{})
}

type watchEvent struct {
	Type string   `json:"type,omitempty"`
	KV   keyValue `json:"kv"`
}

// serveWatch streams the changes from a revision on. It ends when the client
// disconnects, and breaks the connection when an outage begins.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request struct {
		Create struct {
			Key   []byte `json:"key"`
			End   []byte `json:"range_end"`
			Start int64  `json:"start_revision,string"`
		} `json:"create_request"`
	}
	if !decode(w, r, &request) {
		return
	}
	from, end := string(request.Create.Key), string(request.Create.End)
	s.mu.Lock()
	outage := s.outage
	s.mu.Unlock()
	next := 0
	for {
		s.mu.Lock()
		s.expireOverdue()
		var events []watchEvent
		for ; next < len(s.history); next++ {
			c := s.history[next]
			if c.record.revision >= request.Create.Start && isInRange(c.key, from, end) {
				events = append(events, newWatchEvent(c))
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if !sendEvents(w, events) {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-outage:
			panic(http.ErrAbortHandler)
		case <-changed:
		case <-time.After(expiryInterval):
		}
	}
}

func newWatchEvent(c change) watchEvent {
	e := watchEvent{KV: keyValue{[]byte(c.key), c.record.value, c.record.revision, c.record.lease}}
	if c.isDeleted {
		e.Type = "DELETE"
	}
	return e
}

// sendEvents sends the events, if any, and returns whether the client is still
// connected.
func sendEvents(w http.ResponseWriter, events []watchEvent) bool {
	if len(events) > 0 {
		type result struct {
			Events []watchEvent `json:"events"`
		}
		reply(w, struct {
			Result result `json:"result"`
		}{result{events}})
	}
	return http.NewResponseController(w).Flush() == nil
}

func (s *Server) serveInstances(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	instances := s.instances
	if s.faults.FreezeInstances {
		instances = s.frozenInstances
	}
	s.mu.Unlock()
	if instances == nil {
		instances = []TargetGroup{}
	}
	reply(w, instances)
}

func (s *Server) putInstances(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var instances []TargetGroup
	if decode(w, r, &instances) {
		s.SetInstances(instances)
	}
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var faults Faults
	if decode(w, r, &faults) {
		s.SetFaults(faults)
	}
}

func (s *Server) postReset(_ http.ResponseWriter, _ *http.Request, _ httprouter.Params) { s.Reset() }

func (s *Server) postSave(_ http.ResponseWriter, _ *http.Request, _ httprouter.Params) { s.Save() }

func (s *Server) postRestore(_ http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.Restore()
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	reply(w, struct {
		Calls int `json:"calls"`
	}{s.Calls()})
}
