package config

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

// A fixed seed keeps the normal run repeatable; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// noLimit is a size that no delta in the tests reaches.
const noLimit = 1 << 20

func profileDoc(queueLength int) []byte {
	return fmt.Appendf(nil, "[protect]\nqueue_length = %d\n", queueLength)
}

func serviceDoc(profile string) []byte {
	return fmt.Appendf(nil, "port = 5683\nprofile = %q\n", profile)
}

// applyPublication applies one publication read from the platform.
func applyPublication(s *Store, key string, r ids.Revision, value []byte) ([]ids.Service, []Refusal) {
	return s.ApplyPublications([]Publication{{key, r, value}}, r)
}

// Guards against a configuration that goes back when the service behind it is restored
// from an older copy, and against one that is not accepted afterwards. The service's
// revisions are this project's own: after a restore its counter continues above all that
// it gave out (docs/design.md, 2.5), so a revision has one meaning for ever.
func TestRestoredService(t *testing.T) {
	var s Store
	applyPublication(&s, "profile/standard", 1, profileDoc(50))
	applyPublication(&s, "service/counter", 2, serviceDoc("standard"))
	applyPublication(&s, "profile/standard", 7, profileDoc(100))
	queueLength := func() int {
		r, ok := s.Resolved("counter")
		assert.Assert(t, ok)
		return r.Profile.Protect.QueueLength
	}
	applyPublication(&s, "profile/standard", 1, profileDoc(50)) // the copy
	applyPublication(&s, "service/counter", 2, serviceDoc("standard"))
	assert.Equal(t, queueLength(), 100)
	assert.Equal(t, s.Revision(), ids.Revision(7))
	applyPublication(&s, "profile/standard", 1_000_008, profileDoc(100)) // written again
	assert.Equal(t, queueLength(), 100)
	applyPublication(&s, "profile/standard", 1_000_009, profileDoc(80))
	assert.Equal(t, queueLength(), 80, "the next change")
}

// Guards against a stale or invalid document that replaces the one in force, and
// against a service that is resolved without a profile or loses its profile.
func TestStoreKeepsValidDocuments(t *testing.T) {
	var s Store
	changed, _ := applyPublication(&s, "service/counter", 1, serviceDoc("standard"))
	assert.Equal(t, len(changed), 0, "profile missing: not served")
	changed, _ = applyPublication(&s, "profile/standard", 2, profileDoc(100))
	assert.DeepEqual(t, changed, []ids.Service{"counter"})
	queueLength := func() int {
		r, ok := s.Resolved("counter")
		assert.Assert(t, ok)
		return r.Profile.Protect.QueueLength
	}
	_, refused := applyPublication(&s, "profile/standard", 3, []byte("[protect]\nqueue_length = -1\n"))
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, queueLength(), 100)
	applyPublication(&s, "profile/standard", 1, profileDoc(50))
	assert.Equal(t, queueLength(), 100, "stale platform")
	assert.Equal(t, s.Revision(), ids.Revision(3))
	applyPublication(&s, "profile/standard", 4, nil)
	assert.Equal(t, queueLength(), 100, "profile deleted while in use")
	applyPublication(&s, "service/counter", 5, serviceDoc("unknown"))
	assert.Equal(t, queueLength(), 100, "the new profile is missing")

	changed, _ = applyPublication(&s, "service/counter", 6, nil)
	assert.DeepEqual(t, changed, []ids.Service{"counter"})
	applyPublication(&s, "service/counter", 5, serviceDoc("standard"))
	s.ApplyDocuments([]peerwire.Document{{Key: "service/counter", Revision: 1, Value: serviceDoc("standard")}}, 1)
	_, ok := s.Resolved("counter")
	assert.Assert(t, !ok, "a deleted service came back")
	_, refused = applyPublication(&s, "servce/x", 7, nil)
	assert.Equal(t, len(refused), 0, "a deletion needs no valid document")
	_, refused = applyPublication(&s, "servce/x", 8, serviceDoc("x"))
	assert.Equal(t, len(refused), 1)
}

// Guards against an instance that reads only a refused revision from the
// platform and never receives the last valid value, which its peers have.
func TestMissedGoodValue(t *testing.T) {
	var a, b Store
	applyPublication(&a, "profile/standard", 1, profileDoc(100))
	applyPublication(&a, "profile/standard", 2, []byte("x"))
	applyPublication(&b, "profile/standard", 2, []byte("x"))
	assert.Assert(t, a.Delta(0, noLimit).Documents[0].Unconfirmed == false)
	assert.Equal(t, a.Revision(), b.Revision())
	after, ok := b.UnconfirmedAfter()
	assert.Assert(t, ok)
	d := a.Delta(after, noLimit)
	b.ApplyDocuments(d.Documents, d.Upto)
	assert.DeepEqual(t, b.Documents(), a.Documents())
	_, ok = b.UnconfirmedAfter()
	assert.Assert(t, !ok)
}

// Guards against deltas that exceed their size limit, documents lost between two
// parts, and a document above the limit that is never sent.
func TestDeltaParts(t *testing.T) {
	var a, b Store
	for r := ids.Revision(1); r <= 50; r++ {
		applyPublication(&a, fmt.Sprintf("service/s%02d", r), r, serviceDoc("p"))
	}
	large := append(serviceDoc("p"), "# "+strings.Repeat("x", 5000)...)
	applyPublication(&a, "service/large", 51, large)
	for parts := 0; b.Revision() < a.Revision(); parts++ {
		d := a.Delta(b.Revision(), 1000)
		assert.Assert(t, len(d.Documents) == 1 || len(d.Documents) < 20)
		assert.Assert(t, parts < 10)
		b.ApplyDocuments(d.Documents, d.Upto)
	}
	assert.DeepEqual(t, a.Documents(), b.Documents())
}

// drawPublications draws the publications of the platform, some of which are
// invalid or deletions.
func drawPublications(t *rapid.T) []Publication {
	var list []Publication
	for r := ids.Revision(1); r <= 30; r++ {
		key := rapid.SampledFrom([]string{"profile/a", "profile/b", "service/x", "service/y"}).Draw(t, "key")
		p := Publication{Key: key, Revision: r}
		switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
		case kind == 0:
		case kind <= 2:
			p.Value = []byte("x")
		case strings.HasPrefix(key, profilePrefix):
			p.Value = profileDoc(int(r))
		default:
			p.Value = serviceDoc(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "profile"))
		}
		list = append(list, p)
	}
	return list
}

// Guards against a state that depends on the order, delay or repetition of
// reads and deltas, and against a revision that decreases.
func TestStoresConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		platform := drawPublications(t)
		read := func(s *Store, upto int) {
			// Some reads return only the latest publication of each key.
			latest := rapid.Bool().Draw(t, "latest only")
			var p []Publication
			for i, x := range platform[:upto] {
				later := slices.ContainsFunc(platform[i+1:upto], func(o Publication) bool { return o.Key == x.Key })
				if x.Revision > s.Revision() && !(latest && later) {
					p = append(p, x)
				}
			}
			s.ApplyPublications(p, ids.Revision(max(upto, 0)))
		}
		stores := []*Store{{}, {}, {}, {}}
		type delivery struct {
			to    int
			delta *peerwire.ConfigDelta
		}
		var sent []delivery
		node := rapid.IntRange(0, len(stores)-1)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			before := make([]ids.Revision, len(stores))
			for i, s := range stores {
				before[i] = s.Revision()
			}
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				read(stores[node.Draw(t, "reader")], rapid.IntRange(0, len(platform)).Draw(t, "platform's age"))
			case 1:
				to, from := node.Draw(t, "to"), node.Draw(t, "from")
				sent = append(sent, delivery{to, stores[from].Delta(stores[to].Revision(), rapid.IntRange(0, 400).Draw(t, "bytes"))})
			case 2:
				if len(sent) > 0 {
					d := rapid.SampledFrom(sent).Draw(t, "delivery")
					stores[d.to].ApplyDocuments(d.delta.Documents, d.delta.Upto)
				}
			}
			for i, s := range stores {
				assert.Assert(t, s.Revision() >= before[i])
			}
		}
		for _, s := range stores {
			read(s, len(platform))
		}
		for range 2 {
			for _, s := range stores {
				if after, ok := s.UnconfirmedAfter(); ok {
					for _, peer := range stores {
						d := peer.Delta(after, noLimit)
						s.ApplyDocuments(d.Documents, d.Upto)
					}
				}
			}
		}
		for _, s := range stores[1:] {
			assert.DeepEqual(t, s.Documents(), stores[0].Documents())
		}
	})
}
