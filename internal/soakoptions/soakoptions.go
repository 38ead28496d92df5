// Package soakoptions reads what the soaks of both kinds of traffic are told by
// the environment: SOAK_SEEDS=1-50 for seeds, SOAK_TIME=60s for the time of
// faults, SOAK_INSTANCES=20 for the instances in each data centre.
package soakoptions

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Seeds returns the seeds of SOAK_SEEDS, or without it those of the file
// testdata/seeds.txt: a seed at the start of each line, and a comment.
func Seeds(t testing.TB) (seeds []uint64) {
	t.Helper()
	if text := os.Getenv("SOAK_SEEDS"); text != "" {
		first, last, found := strings.Cut(text, "-")
		if !found {
			last = first
		}
		for seed, end := number(t, first), number(t, last); seed <= end; seed++ {
			seeds = append(seeds, seed)
		}
		return seeds
	}
	data, err := os.ReadFile("testdata/seeds.txt")
	assert.NilError(t, err)
	for line := range strings.Lines(string(data)) {
		word, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		if word != "" && !strings.HasPrefix(word, "#") {
			seeds = append(seeds, number(t, word))
		}
	}
	return seeds
}

func number(t testing.TB, text string) uint64 {
	t.Helper()
	n, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return n
}

// Time returns SOAK_TIME, or otherwise.
func Time(t testing.TB, otherwise time.Duration) time.Duration {
	t.Helper()
	text := os.Getenv("SOAK_TIME")
	if text == "" {
		return otherwise
	}
	length, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return length
}

// Instances returns SOAK_INSTANCES, or otherwise.
func Instances(t testing.TB, otherwise int) int {
	t.Helper()
	text := os.Getenv("SOAK_INSTANCES")
	if text == "" {
		return otherwise
	}
	return int(number(t, text))
}
