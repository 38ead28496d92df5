package spread

import (
	"math/bits"
	"time"
)

// Defaults for a profile that leaves the values out.
const (
	defaultLongFactor = 8
	defaultLongShare  = 0.6
	// initialRunTime stands for the run time of short requests until one has
	// been seen.
	initialRunTime = 20 * time.Millisecond
)

// UntrackedKey is the key of requests whose run time says nothing about others.
// They are short.
const UntrackedKey uint64 = 0

const (
	predictorSets   = 128 // times predictorWays keys with a history
	predictorWays   = 4
	timeoutsForLong = 3
	// slotWindow is long, since a few long requests hold much of the slot time.
	overallMeanWindow = 256
	// medianLearned is the number of run times before the median is trusted.
	minMedianSamples = 8
	// medianWindow halves the weight of older run times, so that the median
	// follows a change of the service.
	medianWindow = 1024
	// Run times are counted in buckets of 1/4 octave from 16 µs, which bounds
	// the error of the median to 10%.
	medianBuckets  = 96
	medianBaseBits = 14 // 2^14 ns
)

// history is the moving average of the run time of one key.
type history struct {
	key      uint64
	mean     time.Duration
	lastUsed uint32 // clock of the last use, for eviction
	timeouts uint32 // since the last success
}

// predictor learns the run times of one service.
type predictor struct {
	sets        [predictorSets][predictorWays]history
	clock       uint32
	counts      [medianBuckets]uint32
	samples     uint32
	median      time.Duration // cached median
	sinceMedian uint32        // run times since mid was computed
	shortMean   time.Duration
	overallMean time.Duration // of all requests
	longFactor  float64
}

func newPredictor() predictor {
	return predictor{shortMean: initialRunTime, overallMean: initialRunTime, longFactor: defaultLongFactor}
}

func (p *predictor) shortRunTime() time.Duration { return p.shortMean }

// threshold returns the run time from which a request is long, 0 while too
// little is known.
func (p *predictor) longThreshold() time.Duration {
	if p.samples < minMedianSamples {
		return 0
	}
	return time.Duration(p.longFactor * float64(p.median))
}

func (p *predictor) classify(key uint64) Class {
	if t := p.longThreshold(); t > 0 && p.expected(key) > t {
		return Long
	}
	return Short
}

// expected returns the mean run time of requests with key, 0 when unknown.
func (p *predictor) expected(key uint64) time.Duration {
	if key == UntrackedKey {
		return 0
	}
	set := &p.sets[key%predictorSets]
	for i := range set {
		if set[i].key == key {
			return set[i].mean
		}
	}
	return 0
}

// adopt takes the run time of a request with a key that has no history here
// from another owner.
func (p *predictor) importRunTime(key uint64, run time.Duration) {
	if key == UntrackedKey || run <= 0 || p.expected(key) > 0 {
		return
	}
	p.historyFor(key).mean = run
}

// learn takes the run time of a request into account. A timeout says as much
// about a dead target as about the request: only a row of them without a
// success makes the request long.
func (p *predictor) record(key uint64, run time.Duration, c Class, o Outcome) {
	if key == UntrackedKey || run <= 0 || o != Success && o != Timeout {
		return
	}
	h := p.historyFor(key)
	if o == Timeout {
		if h.timeouts++; h.timeouts >= timeoutsForLong {
			h.mean = max(h.mean, run)
		}
		return
	}
	h.timeouts = 0
	if h.mean == 0 {
		h.mean = run
	} else {
		h.mean += (run - h.mean) / 4
	}
	p.addToMedian(run)
	p.overallMean += (run - p.overallMean) / overallMeanWindow
	if c == Short {
		p.shortMean += (run - p.shortMean) / 16
	}
}

// find returns the history of key; a new key replaces the least recently used
// one of its set.
func (p *predictor) historyFor(key uint64) *history {
	p.clock++
	set := &p.sets[key%predictorSets]
	oldest := &set[0]
	for i := range set {
		h := &set[i]
		if h.key == key && h.lastUsed > 0 {
			h.lastUsed = p.clock
			return h
		}
		if h.lastUsed < oldest.lastUsed {
			oldest = h
		}
	}
	*oldest = history{key: key, lastUsed: p.clock}
	return oldest
}

// bucket returns the index of the quarter octave that holds d.
func bucket(d time.Duration) int {
	v := uint64(max(d, 1<<medianBaseBits))
	exp := bits.Len64(v) - 1
	quarter := v >> (exp - 2) & 3
	return min((exp-medianBaseBits)*4+int(quarter), medianBuckets-1)
}

// bucketMiddle returns the middle of bucket i.
func bucketMiddle(i int) time.Duration {
	exp, quarter := i/4+medianBaseBits, i%4
	return time.Duration(uint64(9+2*quarter) << (exp - 3))
}

// count adds a run time to the median. The cached median is computed again
// after an eighth of the values has changed.
func (p *predictor) addToMedian(run time.Duration) {
	p.counts[bucket(run)]++
	p.samples++
	p.sinceMedian++
	if p.samples >= medianWindow {
		p.samples = 0
		for i := range p.counts {
			p.counts[i] /= 2
			p.samples += p.counts[i]
		}
	}
	if p.sinceMedian*8 < p.samples && p.samples > minMedianSamples {
		return
	}
	p.sinceMedian = 0
	seen := uint32(0)
	for i, n := range p.counts {
		if seen += n; seen*2 >= p.samples {
			p.median = bucketMiddle(i)
			return
		}
	}
}
