package admission

import (
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"gotest.tools/v3/assert"
)

const second = ids.Time(time.Second)

func keyring(t testing.TB, sign uint8) *Keyring {
	k, err := NewKeyring(sign, map[uint8][]byte{sign: []byte("0123456789abcdef")})
	assert.NilError(t, err)
	return k
}

func token(n byte, issued ids.Time) Token {
	return Token{KeyID: 1, Incarnation: 7, IssuedMS: uint64(issued / 1e6), Nonce: Nonce{n}}
}

// Guards against a token that is accepted for another service, after a change of any byte,
// or with a retired key.
func TestParseAcceptsOnlyOwnTokens(t *testing.T) {
	k := keyring(t, 1)
	var b [TokenSize]byte
	want := token(3, 1e15)
	k.Mint(&b, want, "counter")
	got, v := k.Parse(b[:], "counter")
	assert.Equal(t, v, Valid)
	assert.Equal(t, got, want)
	_, v = k.Parse(b[:], "slip")
	assert.Equal(t, v, NotIssued)
	for i := 1; i < TokenSize; i++ {
		b[i] ^= 1
		_, v = k.Parse(b[:], "counter")
		assert.Equal(t, v, NotIssued, "byte %d", i)
		b[i] ^= 1
	}
	_, v = k.Parse(b[:39], "counter")
	assert.Equal(t, v, NotIssued)
	_, v = keyring(t, 2).Parse(b[:], "counter")
	assert.Equal(t, v, UnknownKey)
}

// Guards against a second execution, a wrong NotRun decision, and a response to a
// different request that reuses the token.
func TestAdmitDecidesByAge(t *testing.T) {
	tab := NewTable(7)
	now := 1000 * second
	_, d := tab.Admit(now, token(1, now), 11)
	assert.Equal(t, d, Admit)
	e, d := tab.Admit(now+9*second, token(1, now), 11)
	assert.Equal(t, d, Duplicate)
	assert.Equal(t, e.State, Running)
	_, d = tab.Admit(now, token(1, now), 12)
	assert.Equal(t, d, NotRun)
	for age, want := range map[ids.Time]Decision{10: Admit, 11: NotRun, 240: NotRun, 241: OutcomeUnknown, -29: Admit, -31: OutcomeUnknown} {
		_, d = NewTable(7).Admit(now, token(2, now-age*second), 11)
		assert.Equal(t, d, want, "age %d s", age)
	}
}

// Guards against an eviction while a missing entry still proves that the request has not
// run, with an issuer clock 29 s ahead, close to MaxClockSkew.
func TestEvictionLeavesNoWindowForSecondExecution(t *testing.T) {
	tab := NewTable(7)
	now := 1000 * second
	tok := token(1, now+29*second)
	_, d := tab.Admit(now, tok, 11)
	assert.Equal(t, d, Admit)
	for age := ids.Time(0); age < 400; age++ {
		tab.Evict(now+age*second, 100)
		_, d = tab.Admit(now+age*second, tok, 11)
		assert.Assert(t, d == Duplicate || d == OutcomeUnknown, "age %d: %d", age, d)
	}
	assert.Equal(t, tab.Len(), 0)
}

// Guards against a successor that loses the outcome of a request, runs a request with a
// token of its predecessor, or decides on such tokens before all parts have arrived.
func TestHandoverKeepsOutcomes(t *testing.T) {
	now := 1000 * second
	old, next := NewTable(7), NewTable(9)
	for n := range byte(4) {
		_, d := old.Admit(now, token(n, now), uint64(n))
		assert.Equal(t, d, Admit)
	}
	big := make([]byte, MaxPartBytes)
	old.Finish(ID{7, Nonce{0}}, Answered, big, 0)
	old.Finish(ID{7, Nonce{1}}, Answered, big, 0)
	old.Finish(ID{7, Nonce{2}}, Refused, nil, 5)
	old.Close()
	_, d := old.Admit(now, token(9, now), 1)
	assert.Equal(t, d, NotRun)

	parts := old.Export(now + second)
	assert.Equal(t, len(parts), 3)
	for i, p := range parts {
		assert.Assert(t, !next.AuthoritativeFor(7))
		done, err := next.Import(now+second-ids.Time(time.Hour), p)
		assert.NilError(t, err)
		assert.Equal(t, done, i == 2)
	}
	assert.Assert(t, next.AuthoritativeFor(7))
	later := now - ids.Time(time.Hour) + 2*second // by the successor's clock, which is an hour behind
	for n, want := range []State{Answered, Answered, Refused, Unknown} {
		e, d := next.Admit(later, token(byte(n), now), uint64(n))
		assert.Equal(t, d, Duplicate)
		assert.Equal(t, e.State, want)
	}
	_, d = next.Admit(later, token(9, now), 1)
	assert.Equal(t, d, NotRun)
	parts[0].Entries[0].Nonce = nil
	_, err := NewTable(9).Import(now, parts[0])
	assert.ErrorIs(t, err, ErrMalformedEntry)
	parts[1].Clocks = nil
	_, err = NewTable(9).Import(now, parts[1])
	assert.ErrorIs(t, err, ErrMalformedEntry)
}

// Guards against a wrong NotRun decision after two handovers between instances with
// different clocks. The age of a token must be computed with the clock of its incarnation.
func TestChainedHandoverKeepsClocks(t *testing.T) {
	first, middle, third := NewTable(7), NewTable(8), NewTable(9)
	now := 1000 * second
	behind, ahead := now-100*second, now+100*second // the same point in time by the other clocks
	first.Close()
	done, err := middle.Import(behind, first.Export(now)[0])
	assert.NilError(t, err)
	assert.Assert(t, done)
	middle.Close()
	done, err = third.Import(ahead, middle.Export(behind)[0])
	assert.NilError(t, err)
	assert.Assert(t, done)
	for age, want := range map[ids.Time]Decision{1: NotRun, 239: NotRun, 241: OutcomeUnknown} {
		_, d := third.Admit(ahead, token(1, now-age*second), 11)
		assert.Equal(t, d, want, "age %d s", age)
	}
}

// Guards against stored responses that exceed the memory limit.
func TestResponsesAreBounded(t *testing.T) {
	tab := NewTable(7)
	big := make([]byte, DefaultMaxBytes/2+1)
	for n := range byte(2) {
		tab.Admit(second, token(n, second), 1)
		tab.Finish(ID{7, Nonce{n}}, Answered, big, 0)
	}
	e, _ := tab.Admit(second, token(1, second), 1)
	assert.Equal(t, e.State, Unknown)
}

// Guards against more retries than the budget allows.
func TestRetryBudget(t *testing.T) {
	b := RetryBudget{Ratio: 0.1}
	taken := 0
	for range 1000 {
		b.Deposit()
		if b.TryWithdraw() {
			taken++
		}
	}
	assert.Assert(t, taken >= 90 && taken <= 100, taken)
}

// Guards against queueing a request that cannot be served in time.
func TestLimiter(t *testing.T) {
	l := Limiter{MaxQueueTime: time.Second, Deadline: 2 * time.Second, MaxLength: 100}
	assert.Assert(t, l.CanQueue(9, 100*time.Millisecond, 1))
	assert.Assert(t, !l.CanQueue(11, 100*time.Millisecond, 1))
	assert.Assert(t, l.CanQueue(11, 100*time.Millisecond, 2))
	assert.Assert(t, !l.CanQueue(0, 3*time.Second, 1))
	assert.Assert(t, !l.CanQueue(100, time.Millisecond, 4))
	assert.Assert(t, !l.CanQueue(0, time.Millisecond, 0))
}

func BenchmarkMint(b *testing.B) {
	k := keyring(b, 1)
	var dst [TokenSize]byte
	b.ReportAllocs()
	for b.Loop() {
		k.Mint(&dst, Token{Incarnation: 7, IssuedMS: 5}, "counter")
	}
}

func BenchmarkParse(b *testing.B) {
	k := keyring(b, 1)
	var dst [TokenSize]byte
	k.Mint(&dst, Token{Incarnation: 7, IssuedMS: 5}, "counter")
	b.ReportAllocs()
	for b.Loop() {
		k.Parse(dst[:], "counter")
	}
}

// Guards against limits that are not applied: at 1,000 admissions per second a table with
// the default limits is full after 65 s.
func TestLimits(t *testing.T) {
	const rate, seconds = 1000, 300
	admitted := func(tab *Table) (n int) {
		for i := range rate * seconds {
			now := 1000*second + ids.Time(i)*second/rate
			tok := Token{KeyID: 1, Incarnation: 7, IssuedMS: uint64(now / 1e6), Nonce: Nonce{byte(i), byte(i >> 8), byte(i >> 16)}}
			if _, d := tab.Admit(now, tok, 1); d == Admit {
				n++
			}
		}
		return n
	}
	assert.Equal(t, admitted(NewTable(7)), DefaultMaxEntries)
	tab := NewTable(7)
	tab.SetLimits(Limits{Entries: rate * seconds, Bytes: DefaultMaxBytes})
	assert.Equal(t, admitted(tab), rate*seconds)
	assert.Assert(t, tab.MintingSuspended())
}
