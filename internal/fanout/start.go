package fanout

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/follow"
	"arbutusdock.example/arbutusdock/internal/ids"
)

const (
	// platformHeadStart is the share of the timeout of a full read during which a
	// starting instance waits for the platform alone. When all instances start
	// together, the platform is slower and no other instance has a state yet.
	platformHeadStart = 0.5
	// startConnectTimeout and startPeerTimeout bound the time for which a starting
	// instance that has read the platform waits for a connection to other instances and
	// for what they know beyond that. Callers wait meanwhile: after a loss of power of
	// all instances, 300 ms for both cost a tenth of the requests of the next 2 s.
	startConnectTimeout = 40 * time.Millisecond
	startPeerTimeout    = 120 * time.Millisecond
	// latePeerTimeout bounds the time within which an answer is taken into account
	// although the instance serves already.
	latePeerTimeout = 700 * time.Millisecond
	// maxMemoryAge is the age up to which the state of another instance may know what
	// the platform lost in a restore.
	maxMemoryAge = 30 * time.Second
	// hedgeDelay is the time without a response after which the state, which is large,
	// is also requested from the next instance.
	hedgeDelay = 100 * time.Millisecond
)

// errNoSource is returned at start-up when no source responded in time.
var errNoSource = eris.New("no response from the platform or any instance")

// ReadAll implements follow.Source. It reads the platform first. If that fails or
// takes too long, it accepts the state of any instance, preferably of the same data
// centre and regardless of age: an instance cannot serve without a state, and reads
// the changes made since then afterwards. The read of the platform continues in
// parallel as long as it makes progress. Of the first read of the platform in an era,
// another instance is asked what a restore may have lost.
func (s *Source) ReadAll(ctx context.Context, timeout time.Duration) (follow.Update, error) {
	u, source, err := s.readAll(ctx, timeout)
	if err != nil {
		return u, err
	}
	if u.Era > s.askedEra && source == platformName { // without eras there are no restores
		s.askedEra = u.Era
		s.completeFromPeers(ctx, &u)
	}
	s.setCurrent(source, nil)
	return u, nil
}

// completeFromPeers adds to a full read of the platform what another instance knows
// beyond it. An answer that takes too long is returned by ReadChanges.
func (s *Source) completeFromPeers(ctx context.Context, u *follow.Update) {
	known := make(chan *follow.Update, 1)
	s.askedAt = time.Now()
	go s.askPeers(context.WithoutCancel(ctx), *u, known)
	select {
	case peer := <-known:
		addKnowledge(u, peer)
	case <-time.After(startPeerTimeout):
		s.late = known
		u.CurrentAt = time.Time{} // the platform may lack what the answer tells
	}
}

// addKnowledge adds the answer of another instance, which may be nil, to an update.
func addKnowledge(u, peer *follow.Update) {
	switch {
	case peer == nil:
	case peer.Complete:
		u.Before = peer
	default:
		u.Config = peer.Config
	}
}

// askPeers sends to known what another instance knows beyond u: its full state, or a
// configuration. It sends nil if none knows more.
func (s *Source) askPeers(ctx context.Context, u follow.Update, known chan<- *follow.Update) {
	ctx, cancel := context.WithTimeout(ctx, latePeerTimeout)
	defer cancel()
	version := uint64(0)
	if u.Config != nil {
		version = u.Config.Version
	}
	results := s.hedgedReads(ctx, 0, func(ctx context.Context, i Instance) (follow.Update, error) {
		c := client{instance: i, configVersion: func() uint64 { return version }, connectTimeout: startConnectTimeout}
		defer c.close()
		return c.readStarting(ctx, u.Position())
	})
	for result := range results {
		peer := &result.update
		switch {
		case result.err != nil, peer.Age > maxMemoryAge:
			continue // it has no state yet, is unreachable or has been cut off
		case peer.Complete:
		case peer.Config != nil && peer.Config.Version > version:
		case peer.ConfigDelta != nil && peer.ConfigDelta.Version > version && peer.ConfigDelta.Base == version:
			peer.Config, peer.ConfigDelta = applyDelta(u.Config, peer.ConfigDelta), nil
		default:
			continue // it may have started after the restore too
		}
		known <- peer
		return
	}
	known <- nil
}

// lateKnowledge waits for an answer of another instance that did not come in time for
// the full read. It returns false if there is none.
func (s *Source) lateKnowledge(after follow.Position) (follow.Update, bool) {
	if s.late == nil {
		return follow.Update{}, false
	}
	peer := <-s.late // within latePeerTimeout
	s.late = nil
	u := follow.Update{Era: after.Era, Revision: after.Revision, Direct: true, Age: time.Since(s.askedAt)}
	addKnowledge(&u, peer)
	return u, peer != nil
}

// readAll returns a full state and its source.
func (s *Source) readAll(ctx context.Context, timeout time.Duration) (follow.Update, string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // cancels the remaining reads
	platformResults := make(chan readResult, 1)
	go func() {
		u, err := s.platform.ReadAll(ctx, timeout)
		platformResults <- readResult{u, err, platformName}
	}()
	headStart := time.NewTimer(time.Duration(float64(timeout) * platformHeadStart))
	defer headStart.Stop()
	platformResult := readResult{err: errNoSource}
	select {
	case platformResult = <-platformResults:
		s.config.OnRead(platformName, platformResult.err)
		if platformResult.err == nil {
			return platformResult.update, platformName, nil
		}
		platformResults = nil
	case <-headStart.C:
	}
	peerResults := s.hedgedReads(ctx, hedgeDelay, func(ctx context.Context, i Instance) (follow.Update, error) {
		c := client{instance: i, configVersion: noVersion}
		defer c.close()
		return c.read(ctx, follow.Position{})
	})
	for platformResults != nil || peerResults != nil {
		select {
		case result := <-platformResults:
			s.config.OnRead(platformName, result.err)
			platformResults = nil
			if result.err == nil {
				return result.update, platformName, nil
			}
			platformResult = result
		case result, ok := <-peerResults:
			if !ok {
				peerResults = nil
				continue
			}
			if result.err == nil && s.lostPosition.Revision != 0 && result.update.Position().Compare(s.lostPosition) <= 0 {
				result.err = errStale
			}
			s.config.OnRead("instance", result.err)
			if result.err == nil {
				return result.update, result.source, nil
			}
		}
	}
	return follow.Update{}, "", platformResult.err
}

// readResult is the result of one of several concurrent reads.
type readResult struct {
	update follow.Update
	err    error
	source string
}

// hedgedReads reads from the instances of the same data centre and then from the seeds
// in random order. The next read starts when the previous one has failed or has not
// completed within delay. The channel is closed after the last result, or when ctx ends.
func (s *Source) hedgedReads(ctx context.Context, delay time.Duration, read func(context.Context, Instance) (follow.Update, error)) <-chan readResult {
	candidates := s.startCandidates()
	results := make(chan readResult, len(candidates))
	go func() {
		var reads sync.WaitGroup
		defer func() { reads.Wait(); close(results) }()
		for _, i := range candidates {
			failed := make(chan struct{})
			reads.Go(func() {
				u, err := read(ctx, i)
				results <- readResult{u, err, string(i.ID)}
				if err != nil {
					close(failed)
				}
			})
			select {
			case <-failed:
			case <-time.After(delay):
			case <-ctx.Done():
				return
			}
		}
	}()
	return results
}

// noVersion returns the configuration version of an instance that has none yet.
func noVersion() uint64 { return 0 }

// startCandidates returns the instances whose state may be read at start-up.
func (s *Source) startCandidates() []Instance {
	s.mu.Lock()
	candidates := slices.Clone(s.ranking.Holders)
	s.mu.Unlock()
	for _, i := range s.sources() {
		if !slices.Contains(candidates, i) {
			candidates = append(candidates, i)
		}
	}
	seeds := slices.Clone(s.config.Seeds)
	rand.Shuffle(len(seeds), func(a, b int) { seeds[a], seeds[b] = seeds[b], seeds[a] })
	for _, seed := range seeds {
		if at, err := netip.ParseAddrPort(seed); err == nil && at != s.config.Self.Address {
			candidates = append(candidates, Instance{ID: ids.Instance("seed " + seed), Address: at})
		}
	}
	return candidates
}
