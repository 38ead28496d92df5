package spread

import (
	"math/bits"
	"time"
)

// Default values for settings that the profile omits.
const (
	defaultLongFactor = 8
	defaultLongShare  = 0.6
	// initialRunTime is the initial value of the mean run times.
	initialRunTime = 20 * time.Millisecond
)

// UntrackedKey is the key of requests whose run times are not recorded, because they do
// not predict those of other requests. Such requests are classified as short.
const UntrackedKey uint64 = 0

const (
	predictorSets   = 128 // number of sets; each holds the history of predictorWays keys
	predictorWays   = 4
	timeoutsForLong = 3 // timeouts without a success after which a key is classified as long
	// overallMeanWindow is the window of the mean over all requests. It is large
	// because a few long requests hold much of the slot time.
	overallMeanWindow = 256
	// minMedianSamples is the number of run times from which the median is used.
	minMedianSamples = 8
	// medianWindow is the number of run times after which the weight of all recorded
	// ones is halved, so that the median follows changes of the service.
	medianWindow = 1024
	// Run times are counted in a histogram with 4 buckets per power of two, starting
	// at 16 µs. This limits the error of the median to 10%.
	medianBuckets  = 96
	medianBaseBits = 14 // the first bucket starts at 2^14 ns
)

// history holds the moving average of the run times of one key.
type history struct {
	key      uint64
	mean     time.Duration
	lastUsed uint32 // predictor.clock at the last use, for eviction
	timeouts uint32 // timeouts since the last success
}

// predictor estimates the run times of the requests of one service. Histories of keys
// are kept in a set-associative cache with LRU eviction.
type predictor struct {
	sets        [predictorSets][predictorWays]history
	clock       uint32
	counts      [medianBuckets]uint32
	samples     uint32
	median      time.Duration // cached median of the run times
	sinceMedian uint32        // run times recorded since the median was computed
	shortMean   time.Duration
	overallMean time.Duration // moving average over short and long requests
	longFactor  float64
}

func newPredictor() predictor {
	return predictor{shortMean: initialRunTime, overallMean: initialRunTime, longFactor: defaultLongFactor}
}

func (p *predictor) shortRunTime() time.Duration { return p.shortMean }

// longThreshold returns the run time above which a request is long, 0 while fewer than
// minMedianSamples run times have been recorded.
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

// expected returns the mean run time of requests with the given key, 0 when unknown.
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

// importRunTime records a run time reported by another owner, if the key has no history
// here.
func (p *predictor) importRunTime(key uint64, runTime time.Duration) {
	if key == UntrackedKey || runTime <= 0 || p.expected(key) > 0 {
		return
	}
	p.historyFor(key).mean = runTime
}

// record records the run time of a request. A timeout may be caused by a dead target
// as well as by a long request, so a key is classified as long only after
// timeoutsForLong timeouts without a success between them.
func (p *predictor) record(key uint64, runTime time.Duration, c Class, o Outcome) {
	if key == UntrackedKey || runTime <= 0 || o != Success && o != Timeout {
		return
	}
	h := p.historyFor(key)
	if o == Timeout {
		if h.timeouts++; h.timeouts >= timeoutsForLong {
			h.mean = max(h.mean, runTime)
		}
		return
	}
	h.timeouts = 0
	if h.mean == 0 {
		h.mean = runTime
	} else {
		h.mean += (runTime - h.mean) / 4
	}
	p.addToMedian(runTime)
	p.overallMean += (runTime - p.overallMean) / overallMeanWindow
	if c == Short {
		p.shortMean += (runTime - p.shortMean) / 16
	}
}

// historyFor returns the history of key. A new key replaces the least recently used one
// of its set.
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

// bucket returns the index of the histogram bucket of d.
func bucket(d time.Duration) int {
	v := uint64(max(d, 1<<medianBaseBits))
	exp := bits.Len64(v) - 1
	quarter := v >> (exp - 2) & 3
	return min((exp-medianBaseBits)*4+int(quarter), medianBuckets-1)
}

// bucketMiddle returns the middle of histogram bucket i.
func bucketMiddle(i int) time.Duration {
	exp, quarter := i/4+medianBaseBits, i%4
	return time.Duration(uint64(9+2*quarter) << (exp - 3))
}

// addToMedian adds a run time to the histogram. The cached median is recomputed after
// an eighth of the values has changed.
func (p *predictor) addToMedian(runTime time.Duration) {
	p.counts[bucket(runTime)]++
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
