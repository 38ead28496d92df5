package spread

import "arbutusdock.example/arbutusdock/internal/ids"

// feedSample bounds the cost of placing a feed: a pool with more targets
// compares this many of them, starting at a different one each time.
const feedSample = 64

// OpenFeed places a feed on the usable target with the fewest feeds. avoid is
// chosen only when there is no other. ok is false when every target is
// leaving, suspected or holds as many feeds as the profile allows.
func (p *Pool) OpenFeed(now ids.Time, avoid ids.Target) (name ids.Target, endpoint ids.Endpoint, ok bool) {
	p.now = now
	best := p.pickFeedTarget(avoid, min(len(p.targets), feedSample))
	if best == nil && len(p.targets) > feedSample {
		best = p.pickFeedTarget(avoid, len(p.targets))
	}
	if best == nil && avoid != "" {
		best = p.pickFeedTarget("", len(p.targets))
	}
	if best == nil {
		return "", ids.Endpoint{}, false
	}
	best.feeds++
	p.feeds++
	return best.name, best.endpoint, true
}

// feedTarget compares n targets.
func (p *Pool) pickFeedTarget(avoid ids.Target, n int) *target {
	if len(p.targets) == 0 {
		return nil
	}
	p.feedOffset = (p.feedOffset + n) % len(p.targets)
	if n == len(p.targets) {
		p.feedOffset = (p.feedOffset + 1) % n
	}
	var best *target
	bestLoad := 0.0
	for k := range n {
		t := p.targets[(p.feedOffset+k)%len(p.targets)]
		if t == nil || t.owned == 0 || t.drainingOrGone() || t.name == avoid || t.unverified || t.suspected() && !p.panicMode {
			continue
		}
		if p.maxFeeds > 0 && t.feeds >= p.feedLimit(t) {
			continue
		}
		load := float64(t.feeds) / float64(t.owned)
		if t.usable == 0 {
			// Starting or pausing: take it for as full as the others, so that
			// it is not given every new feed at once.
			load = max(load, float64(p.feeds)/float64(max(p.panicTotal, 1)))
		}
		if best == nil || load < bestLoad {
			best, bestLoad = t, load
		}
	}
	return best
}

// feedLimit returns this owner's part of the feeds that a target may hold.
func (p *Pool) feedLimit(t *target) int {
	return max(1, (p.maxFeeds*t.owned+t.slots-1)/max(t.slots, 1))
}

// CloseFeed ends a feed on target. A Timeout or Failure counts against the
// target as a failed request does.
func (p *Pool) CloseFeed(name ids.Target, o Outcome) {
	i, ok := p.byName[name]
	if !ok {
		return
	}
	t := p.targets[i]
	if t.feeds > 0 {
		t.feeds--
		p.feeds--
	}
	if o == Timeout || o == Failure {
		p.recordFailure(p.now, i, &activeRequest{class: Short}, o)
	}
	p.freeIfUnused(i)
}
