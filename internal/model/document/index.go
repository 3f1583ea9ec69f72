package document

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Index provides lookups in a document for the processing of requests. It is immutable
// and therefore safe for concurrent use.
type Index struct {
	Revision uint64
	// Document is the document with its defaults.
	Document Document

	services map[string]*Service
	teams    map[string]*Team
	keys     map[[sha256.Size]byte]*authEntry
}

// authEntry is the digest of a key with the team that the key belongs to.
type authEntry struct {
	digest [sha256.Size]byte
	team   *Team
}

// NewIndex returns the index of a checked document and its revision.
func NewIndex(revision uint64, parsed Document) *Index {
	x := &Index{
		Revision: revision,
		Document: parsed.withDefaults(),
		services: make(map[string]*Service),
		teams:    make(map[string]*Team),
		keys:     make(map[[sha256.Size]byte]*authEntry),
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
	for _, hexText := range t.KeyDigests {
		entry := &authEntry{team: t}
		if _, err := hex.Decode(entry.digest[:], []byte(hexText)); err == nil {
			x.keys[entry.digest] = entry
		}
	}
}

// Service returns the service with the given name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Team returns the team with the given name, or nil.
func (x *Index) Team(name string) *Team { return x.teams[name] }

// Authenticate returns the team that a key belongs to, or nil if the key is not valid.
func (x *Index) Authenticate(key string) *Team {
	digest := sha256.Sum256([]byte(key))
	entry := x.keys[digest]
	if entry == nil || subtle.ConstantTimeCompare(entry.digest[:], digest[:]) != 1 {
		return nil
	}
	return entry.team
}

// Digest returns the digest of a key as it is stored in documents: its SHA-256 digest in
// hexadecimal.
func Digest(key string) string { return hexDigest([]byte(key)) }
