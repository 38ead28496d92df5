package spread

import "arbutusdock.example/arbutusdock/internal/ids"

// feedSample is the maximum number of targets that are compared first when a feed is
// placed, to bound the cost in large pools. Each search starts at another target.
const feedSample = 64

// OpenFeed assigns a feed to the target with the fewest feeds per owned slot. avoid is
// selected only when there is no other target. ok is false when every target is
// draining, suspected or at the feed limit of the profile.
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

// pickFeedTarget returns the target with the fewest feeds per owned slot among the next
// n targets, other than avoid. It is nil when none of these accepts a feed.
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
			// The target is starting or paused. Assume at least the average load,
			// so that it does not get every new feed.
			load = max(load, float64(p.feeds)/float64(max(p.panicTotal, 1)))
		}
		if best == nil || load < bestLoad {
			best, bestLoad = t, load
		}
	}
	return best
}

// feedLimit returns the maximum number of feeds on t for this owner: its share of the
// limit of the profile, in proportion to its slots.
func (p *Pool) feedLimit(t *target) int {
	return max(1, (p.maxFeeds*t.owned+t.slots-1)/max(t.slots, 1))
}

// CloseFeed ends a feed on a target. A Timeout or Failure counts as a failed request to
// the target.
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
