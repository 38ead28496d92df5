package experiment

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/config"
)

// policy is a named scheduling policy. newFactory is called once for each run.
type policy struct {
	name       string
	newFactory func() nodeFactory
}

// Names of the policies that goals apply to: the production core, and the model
// of its scheduling with the production packages spread and share.
const (
	coreName   = "core"
	designName = "model of the design"
)

func policies() []policy {
	return []policy{
		{"random", func() nodeFactory { return newBaseline(pickRandom) }},
		{"round robin", func() nodeFactory { return newBaseline(pickRoundRobin) }},
		{"least outstanding", func() nodeFactory { return newBaseline(pickLeastOutstanding) }},
		{"two choices", func() nodeFactory { return newBaseline(pickTwoChoices(new(loadHistory))) }},
		{designName, func() nodeFactory { return newDesignNode }},
		{coreName, func() nodeFactory { return newCoreNode }},
	}
}

// testConfig returns the configuration of the experiments: the service without
// targets, and the profile with the given partners.
func testConfig(partners ...config.Partner) *config.Resolved {
	return &config.Resolved{
		Service: config.Service{Name: serviceName, Port: 5683, Profile: "model"},
		Profile: config.Profile{
			Name:   "model",
			Spread: config.Spread{LongShare: 0.6, LongFactor: 8, SlowStart: 2 * time.Second},
			Protect: config.Protect{
				Deadline: deadline, QueueTime: 250 * time.Millisecond, QueueLength: 500, RetryRatio: 0.1,
				MaxFeeds: 100, Idempotent: []string{"GET"},
				RetryAfterMin: time.Second, RetryAfterMax: 60 * time.Second,
			},
			Partners: partners,
		},
		Revision: 1,
	}
}
