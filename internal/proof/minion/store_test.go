package minion

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
)

// registrationPath is where endpoints register at the stand-in of the store. Their ID follows it.
const registrationPath = "/standin/servers/"

// storeItem is a key of the store as the protocol spells it.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Rev       int64  `json:"rev"`
	Created   int64  `json:"created"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func encodeItems(items []store.Item) []storeItem {
	list := make([]storeItem, len(items))
	for i, item := range items {
		list[i] = encodeItem(item)
	}
	return list
}

func encodeItem(item store.Item) storeItem {
	return storeItem{item.Key, item.Value, item.Revision, item.Created, int64(item.Lease), item.IsRemoved}
}

// storeHandler serves the calls of the store's protocol that entries make from a stand-in, and
// the registrations of endpoints.
type storeHandler struct {
	store  *keyvalue.Store
	client *store.Client
}

// newStoreHandler returns an http.Handler for a store.
func newStoreHandler(s *keyvalue.Store) http.Handler {
	h := &storeHandler{store: s, client: s.Client(nil)}
	mux := http.NewServeMux()
	for pattern, serve := range map[string]func(r *http.Request) (body any, err error){
		"GET /api/kv-key":                  h.get,
		"GET /api/kv-range":                h.readRange,
		"GET /api/kv-watch":                h.watch,
		"POST /api/kv-txn":                 h.commit,
		"POST /api/kv-lease":               h.grant,
		"POST /api/kv-keep/{id}":           h.renew,
		"DELETE /api/kv-lease-end/{id}":    h.release,
		"PUT " + registrationPath + "{id}": h.register,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { replyStore(w, r, serve) })
	}
	return mux
}

// replyStore serves a call and encodes its result.
func replyStore(w http.ResponseWriter, r *http.Request, serve func(r *http.Request) (body any, err error)) {
	body, err := serve(r)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, body)
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": encodeItems(conflict.Items)})
	case errors.Is(err, store.ErrNotFound):
		writeJSON(w, http.StatusNotFound, struct{}{})
	case errors.Is(err, store.ErrCompacted):
		writeJSON(w, http.StatusGone, struct{}{})
	default:
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (h *storeHandler) get(r *http.Request) (any, error) {
	item, err := h.client.Get(r.Context(), r.FormValue("key"))
	return encodeItem(item), err
}

func (h *storeHandler) readRange(r *http.Request) (any, error) {
	page, err := h.client.Range(r.Context(), r.FormValue("prefix"), r.FormValue("after"), false)
	return map[string]any{"items": encodeItems(page.Items), "hasMore": page.HasMore, "asOf": page.Revision}, err
}

func (h *storeHandler) watch(r *http.Request) (any, error) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	page, err := h.client.Watch(r.Context(), r.FormValue("prefix"), after, time.Duration(wait)*time.Millisecond)
	return map[string]any{"events": encodeItems(page.Items), "asOf": page.Revision}, err
}

func (h *storeHandler) commit(r *http.Request) (any, error) {
	var body struct {
		ExpectRev []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"expectRev"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return nil, err
	}
	change := store.Change{Remove: body.Remove}
	for _, c := range body.ExpectRev {
		change.If = append(change.If, store.Condition{Key: c.Key, Revision: c.Rev})
	}
	for _, p := range body.Puts {
		change.Puts = append(change.Puts, store.Put{Key: p.Key, Value: p.Value, Lease: store.Lease(p.Lease)})
	}
	revision, err := h.client.Commit(r.Context(), change)
	return map[string]int64{"rev": revision}, err
}

func (h *storeHandler) grant(r *http.Request) (any, error) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return nil, err
	}
	lease, ttl, err := h.client.Grant(r.Context(), time.Duration(body.TTLMs)*time.Millisecond)
	return map[string]int64{"lease": int64(lease), "ttlMs": ttl.Milliseconds()}, err
}

func (h *storeHandler) renew(r *http.Request) (any, error) {
	ttl, err := h.client.Renew(r.Context(), leaseOf(r))
	return map[string]int64{"ttlMs": ttl.Milliseconds()}, err
}

func (h *storeHandler) release(r *http.Request) (any, error) {
	return struct{}{}, h.client.Release(r.Context(), leaseOf(r))
}

func leaseOf(r *http.Request) store.Lease {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	return store.Lease(id)
}

func (h *storeHandler) register(r *http.Request) (any, error) {
	value, err := io.ReadAll(r.Body)
	if err == nil {
		h.store.Put("servers/"+r.PathValue("id"), value)
	}
	return struct{}{}, err
}
