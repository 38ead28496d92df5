// Package wire defines the formats that the stand-ins for callers and backend
// servers share: request ids, response contents that the receiver can verify,
// feed readings and counters.
package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// DeadlineOption is the number of the elective CoAP option that carries the
// remaining time of a request, in milliseconds. It is even because odd numbers
// denote critical options (RFC 7252 section 5.4.6), which a server that does not
// recognize them must reject with 4.02.
const DeadlineOption = 65000

// Errors returned by Verify and ParseReading.
var (
	// ErrMismatch means that the content belongs to another request, feed or service.
	ErrMismatch = eris.New("content belongs to another request, feed or service")
	// ErrIncomplete means that the content is truncated or altered.
	ErrIncomplete = eris.New("content incomplete or altered")
)

// ID identifies one attempt of one operation of a caller. Attempts of the same
// operation differ only in Attempt, so that executions can be counted per attempt
// and per operation.
type ID struct {
	Service   string
	Caller    string
	Operation uint64
	Attempt   int
}

func (id ID) String() string {
	return fmt.Sprintf("%s.%s.%d.%d", id.Service, id.Caller, id.Operation, id.Attempt)
}

// OperationID returns the id without the attempt number.
func (id ID) OperationID() string {
	return fmt.Sprintf("%s.%s.%d", id.Service, id.Caller, id.Operation)
}

// ParseID parses the result of ID.String.
func ParseID(s string) (ID, error) {
	f := strings.Split(s, ".")
	if len(f) != 4 {
		return ID{}, eris.Errorf("request id %q: want service.caller.operation.attempt", s)
	}
	op, err := strconv.ParseUint(f[2], 10, 64)
	if err != nil {
		return ID{}, eris.Wrapf(err, "request id %q: operation", s)
	}
	attempt, err := strconv.Atoi(f[3])
	if err != nil {
		return ID{}, eris.Wrapf(err, "request id %q: attempt", s)
	}
	return ID{Service: f[0], Caller: f[1], Operation: op, Attempt: attempt}, nil
}

// Content builds the payload of a response: a header line and size bytes that
// depend only on id, so that every backend server builds the same content. State
// is an arbitrary word without spaces that Verify returns to the receiver.
func Content(service, id, state string, size int) []byte {
	body := make([]byte, size)
	x := xxhash.Sum64String(id)
	for i := 0; i+8 <= size; i += 8 {
		x = x*6364136223846793005 + 1442695040888963407
		binary.LittleEndian.PutUint64(body[i:], x)
	}
	head := fmt.Sprintf("service=%s id=%s state=%s size=%d sum=%016x\n", service, id, state, size, xxhash.Sum64(body))
	return append([]byte(head), body...)
}

// Verify checks that content is complete and belongs to service and id, and
// returns the state from its header line.
func Verify(content []byte, service, id string) (state string, err error) {
	line, body, found := bytes.Cut(content, []byte{'\n'})
	if !found {
		return "", eris.Wrap(ErrIncomplete, "no header line")
	}
	h := parseFields(string(line))
	if h["service"] != service || h["id"] != id {
		return "", eris.Wrapf(ErrMismatch, "want service=%s id=%s, got %q", service, id, line)
	}
	if h["size"] != strconv.Itoa(len(body)) || h["sum"] != fmt.Sprintf("%016x", xxhash.Sum64(body)) {
		return "", eris.Wrapf(ErrIncomplete, "%d body bytes do not match size or checksum of header %q", len(body), line)
	}
	return h["state"], nil
}

// ETag returns the entity tag of content, which depends only on its bytes.
func ETag(content []byte) []byte {
	return binary.BigEndian.AppendUint64(nil, xxhash.Sum64(content))
}

// Reading builds the payload of one notification. Seq is the sequence number of
// the reading, which is the same on all backend servers.
func Reading(service, feed string, seq uint64) []byte {
	return fmt.Appendf(nil, "service=%s feed=%s seq=%d", service, feed, seq)
}

// ParseReading checks that payload is a reading of the feed and returns its
// sequence number.
func ParseReading(payload []byte, service, feed string) (seq uint64, err error) {
	h := parseFields(string(payload))
	if h["service"] != service || h["feed"] != feed {
		return 0, eris.Wrapf(ErrMismatch, "want service=%s feed=%s, got %q", service, feed, payload)
	}
	seq, err = strconv.ParseUint(h["seq"], 10, 64)
	if err != nil {
		return 0, eris.Wrapf(ErrIncomplete, "invalid sequence number in reading %q", payload)
	}
	return seq, nil
}

func parseFields(line string) map[string]string {
	m := make(map[string]string, 5)
	for _, f := range strings.Fields(line) {
		k, v, _ := strings.Cut(f, "=")
		m[k] = v
	}
	return m
}
