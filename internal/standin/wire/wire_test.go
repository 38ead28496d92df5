package wire

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against Verify accepting the content of another request, or content
// that is truncated or altered.
func TestVerifyRejectsMismatchedAndIncompleteContent(t *testing.T) {
	id := ID{Service: "counter", Caller: "b1", Operation: 7, Attempt: 1}
	parsed, err := ParseID(id.String())
	assert.NilError(t, err)
	assert.Equal(t, parsed, id)
	other := id
	other.Attempt = 2

	c := Content("counter", id.String(), "ran", 2000)
	state, err := Verify(c, "counter", id.String())
	assert.NilError(t, err)
	assert.Equal(t, state, "ran")

	_, err = Verify(c, "counter", other.String())
	assert.Assert(t, errors.Is(err, ErrMismatch), "%v", err)
	_, err = Verify(c[:len(c)-1], "counter", id.String())
	assert.Assert(t, errors.Is(err, ErrIncomplete), "%v", err)
	c[len(c)-9] ^= 1
	_, err = Verify(c, "counter", id.String())
	assert.Assert(t, errors.Is(err, ErrIncomplete), "%v", err)
}

// Guards against ParseReading accepting readings of another feed.
func TestParseReadingRejectsOtherFeed(t *testing.T) {
	seq, err := ParseReading(Reading("alarm", "site-4", 12), "alarm", "site-4")
	assert.NilError(t, err)
	assert.Equal(t, seq, uint64(12))
	_, err = ParseReading(Reading("alarm", "site-4", 12), "alarm", "site-5")
	assert.Assert(t, errors.Is(err, ErrMismatch))
}
