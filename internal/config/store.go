package config

import (
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

// Publication is one publication as read from the platform.
type Publication struct {
	Key      string
	Revision ids.Revision
	Value    []byte // nil when the key was deleted
}

// Refusal tells why a publication was not accepted.
type Refusal struct {
	Key      string
	Revision ids.Revision
	Err      error
}

// Store holds the documents by key, the resolved services and the revision in
// force. The zero value is empty and ready to use.
type Store struct {
	revision ids.Revision
}

// Apply merges documents received from a peer. The documents are complete from
// the revision asked for up to upto.
func (s *Store) Apply(docs []peerwire.Document, upto ids.Revision) (changed []ids.Service) {
	return nil
}

// Publish merges publications read from the platform, complete up to upto.
func (s *Store) Publish(p []Publication, upto ids.Revision) (changed []ids.Service, refused []Refusal) {
	return nil, nil
}

// Delta returns what changed after revision after, at most about maxBytes.
func (s *Store) Delta(after ids.Revision, maxBytes int) *peerwire.ConfigDelta {
	return &peerwire.ConfigDelta{}
}

// Resolved returns a service with its profile. It returns false when the
// service is unknown, deleted, or has never had a known profile.
func (s *Store) Resolved(service ids.Service) (*Resolved, bool) { return nil, false }

// Services returns the names of all resolved services, sorted.
func (s *Store) Services() []ids.Service { return nil }

// Revision returns the revision in force.
func (s *Store) Revision() ids.Revision { return s.revision }

// ParseProfile parses and validates a profile document.
func ParseProfile(name string, toml []byte) (Profile, error) { return Profile{}, nil }

// ParseService parses and validates a service document.
func ParseService(name string, toml []byte) (Service, error) { return Service{}, nil }
