// Package overload decides which new work of a service is rejected while its backend
// servers can't answer everything in time: the least urgent first, and as much of it as
// brings the response times back within the goals of the callers. It performs no I/O and
// reads no clock.
package overload

import (
	"math"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

const (
	// targetRatio is the mean ratio of response time to goal that is kept. Response times
	// in a queue spread widely: when their mean is at half of the goal, one in twenty
	// misses it.
	targetRatio = 0.5
	// averageTime is the time constant of the mean ratio. It spans several run times of a
	// request and is shorter than a crest.
	averageTime = 200 * time.Millisecond
	// minWeight is the weight of a response among many others, maxWeight that of one after a
	// pause: a single response says little.
	minWeight = 0.02
	maxWeight = 0.1
	// fullLoad is the number of active requests per slot below which there is room: one waits
	// for each that runs.
	fullLoad = 2
	// idleLoad is the number of active requests per slot up to which they hardly queue.
	idleLoad = 0.7
	// adjustInterval is the interval at which the rejected share is adjusted, and
	// adjustStep the largest change of it.
	adjustInterval = 100 * time.Millisecond
	adjustStep     = 0.3
	// relief is the factor of the rejected share in each interval in which the goals are
	// met. Below minPressure nothing is rejected.
	relief      = 0.6
	minPressure = 0.01
	// maxRejectedShare is the largest share of a class that is rejected, so that less
	// urgent work is never shut out.
	maxRejectedShare = 0.9
)

// Controller decides on the new work of one service. Its zero value rejects nothing.
type Controller struct {
	ratio      float64 // moving average of response time by goal
	idleRatio  float64 // the same, over the responses while no queue was expected
	observedAt ids.Time
	load       float64 // active requests per slot
	adjustedAt ids.Time
	// pressure is the sum of the rejected shares of all classes, the least urgent first.
	pressure float64
}

// Observe records the response time of a request with a goal.
func (c *Controller) Observe(now ids.Time, took, goal time.Duration) {
	if goal <= 0 {
		return
	}
	ratio := float64(took) / float64(goal)
	weight := 1 - math.Exp(-float64(now.Sub(c.observedAt))/float64(averageTime))
	c.ratio += min(max(weight, minWeight), maxWeight) * (ratio - c.ratio)
	if c.load < idleLoad {
		c.idleRatio += minWeight * (ratio - c.idleRatio)
	}
	c.observedAt = now
}

// Rejects reports whether a request of a class is rejected. Class 0 is the least urgent of
// classes. load is the number of active requests per slot, and draw a number from 0 to 1 that
// spreads the rejections evenly.
func (c *Controller) Rejects(now ids.Time, class, classes int, load, draw float64) bool {
	c.load = load
	c.adjust(now, classes)
	return draw < c.RejectedShare(class)
}

// RejectedShare returns the share of a class that is rejected.
func (c *Controller) RejectedShare(class int) float64 {
	return min(max(c.pressure-maxRejectedShare*float64(class), 0), maxRejectedShare)
}

// adjust moves the rejected share towards the one that keeps targetRatio. While there is
// room, and without responses for a while, the share falls.
func (c *Controller) adjust(now ids.Time, classes int) {
	if c.adjustedAt == 0 {
		c.adjustedAt = now
	}
	steps := int(now.Sub(c.adjustedAt) / adjustInterval)
	if steps == 0 {
		return
	}
	c.adjustedAt = c.adjustedAt.Add(time.Duration(steps) * adjustInterval)
	// Servers with full queues reject requests at once, which looks like a fast response, but
	// the time of a queue follows from its length.
	excess := max(c.ratio, c.load*c.idleRatio)/targetRatio - 1
	if c.load < fullLoad || now.Sub(c.observedAt) > 2*averageTime {
		excess = -1
	}
	if excess <= 0 {
		c.pressure *= math.Pow(relief, float64(steps))
		if c.pressure < minPressure {
			c.pressure = 0
		}
		return
	}
	c.pressure = min(c.pressure+float64(steps)*adjustStep*min(excess, 1), maxRejectedShare*float64(classes))
}
