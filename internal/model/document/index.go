package document

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Index answers the questions of the request path about one document. It is
// never changed once made.
type Index struct {
	Revision uint64
	Document Document

	services map[string]*Service
	teams    map[string]*Team
	keys     map[[sha256.Size]byte]*keyEntry
}

type keyEntry struct {
	digest [sha256.Size]byte
	team   *Team
}

// NewIndex returns the index of a checked document.
func NewIndex(revision uint64, parsed Document) *Index {
	x := &Index{
		Revision: revision,
		Document: parsed.withDefaults(),
		services: make(map[string]*Service),
		teams:    make(map[string]*Team),
		keys:     make(map[[sha256.Size]byte]*keyEntry),
	}
	for i := range x.Document.Services {
		s := &x.Document.Services[i]
		x.services[s.Name] = s
	}
	for i := range x.Document.Teams {
		t := &x.Document.Teams[i]
		x.teams[t.Name] = t
		x.addKeys(t)
	}
	return x
}

func (x *Index) addKeys(t *Team) {
	for _, text := range t.Keys {
		entry := &keyEntry{team: t}
		if _, err := hex.Decode(entry.digest[:], []byte(text)); err == nil {
			x.keys[entry.digest] = entry
		}
	}
}

// Service returns the service of the name, nil if there is none.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Team returns the team of the name, nil if there is none.
func (x *Index) Team(name string) *Team { return x.teams[name] }

// Authenticate returns the team of a key, nil if no team has it.
func (x *Index) Authenticate(key string) *Team {
	digest := sha256.Sum256([]byte(key))
	entry := x.keys[digest]
	if entry == nil || subtle.ConstantTimeCompare(entry.digest[:], digest[:]) != 1 {
		return nil
	}
	return entry.team
}

// Digest returns the digest of a key as documents hold it.
func Digest(key string) string { return digest([]byte(key)) }
