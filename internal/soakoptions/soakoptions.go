// Package soakoptions reads the environment variables that configure the soak
// tests of packages soak and e2e: SOAK_SEEDS=1-50 sets the seeds, SOAK_TIME=60s the
// duration of fault injection and SOAK_INSTANCES=20 the number of instances in each
// data centre.
package soakoptions

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Seeds returns the seeds of SOAK_SEEDS. Without that variable, it returns those of
// the file testdata/seeds.txt, which has a seed at the start of each line, followed
// by a comment.
func Seeds(t testing.TB) (seeds []uint64) {
	t.Helper()
	if text := os.Getenv("SOAK_SEEDS"); text != "" {
		firstText, lastText, found := strings.Cut(text, "-")
		if !found {
			lastText = firstText
		}
		for seed, end := parseNumber(t, firstText), parseNumber(t, lastText); seed <= end; seed++ {
			seeds = append(seeds, seed)
		}
		return seeds
	}
	data, err := os.ReadFile("testdata/seeds.txt")
	assert.NilError(t, err)
	for line := range strings.Lines(string(data)) {
		word, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		if word != "" && !strings.HasPrefix(word, "#") {
			seeds = append(seeds, parseNumber(t, word))
		}
	}
	return seeds
}

func parseNumber(t testing.TB, text string) uint64 {
	t.Helper()
	n, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return n
}

// Time returns the duration in SOAK_TIME, or defaultValue if it is not set.
func Time(t testing.TB, defaultValue time.Duration) time.Duration {
	t.Helper()
	text := os.Getenv("SOAK_TIME")
	if text == "" {
		return defaultValue
	}
	duration, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return duration
}

// Instances returns the number in SOAK_INSTANCES, or defaultValue if it is not set.
func Instances(t testing.TB, defaultValue int) int {
	t.Helper()
	text := os.Getenv("SOAK_INSTANCES")
	if text == "" {
		return defaultValue
	}
	return int(parseNumber(t, text))
}
