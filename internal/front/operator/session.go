package operator

import (
	"crypto/rand"
	"crypto/subtle"
	"net/http"
	"sync"
	"time"
)

const (
	sessionCookie   = "chicorypin"
	sessionLifetime = 8 * time.Hour
	// maxSessions bounds the memory of sessions. Above it the oldest one is removed.
	maxSessions = 100
)

// sessions holds the sessions of the operators that have signed in at the console of
// this entry. It is safe for concurrent use.
type sessions struct {
	mu   sync.Mutex
	byID map[string]session
}

// session is the session of one signed-in operator.
type session struct {
	// token is included in every form as protection against cross-site request
	// forgery: another site does not know it.
	token   string
	expires time.Time
}

func newSessions() *sessions { return &sessions{byID: make(map[string]session)} }

// create creates a session and sets its cookie on the response.
func (s *sessions) create(w http.ResponseWriter, now time.Time) {
	id := rand.Text()
	s.mu.Lock()
	s.byID[id] = session{token: rand.Text(), expires: now.Add(sessionLifetime)}
	s.evict(now)
	s.mu.Unlock()
	// The listener serves plain HTTP; a proxy that terminates TLS adds Secure.
	http.SetCookie(w, &http.Cookie{ //nolint:gosec // See above.
		Name: sessionCookie, Value: id, Path: "/console", MaxAge: int(sessionLifetime / time.Second),
		HttpOnly: true, SameSite: http.SameSiteStrictMode,
	})
}

// evict removes expired sessions, and the oldest one if there are more than
// maxSessions. The caller holds the mutex.
func (s *sessions) evict(now time.Time) {
	oldest := ""
	for id, candidate := range s.byID {
		if now.After(candidate.expires) {
			delete(s.byID, id)
		} else if oldest == "" || candidate.expires.Before(s.byID[oldest].expires) {
			oldest = id
		}
	}
	if len(s.byID) > maxSessions {
		delete(s.byID, oldest)
	}
}

// find returns the session of a request, and false if it has none or an expired one.
func (s *sessions) find(r *http.Request, now time.Time) (found session, ok bool) {
	cookie, err := r.Cookie(sessionCookie)
	if err != nil {
		return session{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok = s.byID[cookie.Value]
	return found, ok && now.Before(found.expires)
}

// hasToken reports whether a posted form carries the token of the session.
func (s session) hasToken(r *http.Request) bool {
	return subtle.ConstantTimeCompare([]byte(r.PostFormValue("token")), []byte(s.token)) == 1
}
