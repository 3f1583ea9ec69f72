package operator

import (
	"crypto/rand"
	"crypto/subtle"
	"net/http"
	"sync"
	"time"
)

const (
	sessionCookie = "chicorypin"
	sessionAge    = 8 * time.Hour
	// maxSessions bounds the memory; the oldest session goes first.
	maxSessions = 100
)

// sessions holds the operators that have signed in at the console of this entry.
type sessions struct {
	mu    sync.Mutex
	known map[string]session
}

// session is one sign-in. Its token is in every form, so that another site
// cannot make a browser post one.
type session struct {
	token string
	ends  time.Time
}

func newSessions() *sessions { return &sessions{known: make(map[string]session)} }

// begin starts a session and sets its cookie.
func (s *sessions) begin(w http.ResponseWriter, now time.Time) {
	id := rand.Text()
	s.mu.Lock()
	s.known[id] = session{token: rand.Text(), ends: now.Add(sessionAge)}
	s.trim(now)
	s.mu.Unlock()
	// The listener speaks plain HTTP; a proxy that adds TLS adds Secure too.
	http.SetCookie(w, &http.Cookie{ //nolint:gosec // See above.
		Name: sessionCookie, Value: id, Path: "/console", MaxAge: int(sessionAge / time.Second),
		HttpOnly: true, SameSite: http.SameSiteStrictMode,
	})
}

// trim drops sessions that have ended and, above the bound, the oldest.
func (s *sessions) trim(now time.Time) {
	oldest := ""
	for id, each := range s.known {
		if now.After(each.ends) {
			delete(s.known, id)
		} else if oldest == "" || each.ends.Before(s.known[oldest].ends) {
			oldest = id
		}
	}
	if len(s.known) > maxSessions {
		delete(s.known, oldest)
	}
}

// find returns the session of a request.
func (s *sessions) find(r *http.Request, now time.Time) (found session, ok bool) {
	cookie, err := r.Cookie(sessionCookie)
	if err != nil {
		return session{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok = s.known[cookie.Value]
	return found, ok && now.Before(found.ends)
}

// matches returns whether a posted form came from a page of the session.
func (s session) matches(r *http.Request) bool {
	return subtle.ConstantTimeCompare([]byte(r.PostFormValue("token")), []byte(s.token)) == 1
}
