package flow

import (
	"net/netip"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"github.com/rotisserie/eris"
)

// Errors returned for invalid handover records.
var (
	ErrToken   = eris.New("feed handover: token longer than 8 bytes")
	ErrRequest = eris.New("feed handover: registration request missing")
)

// HandoverRecord returns the record that hands f over to another instance.
func (f *Feed) HandoverRecord() *peerwire.FeedMove {
	return &peerwire.FeedMove{
		Service:  f.Service,
		Caller:   f.Caller.String(),
		Token:    tokenBytes(f.Key.Token),
		Request:  f.Request,
		Sequence: f.Sequence,
		NextID:   f.flow.nextID,
		Target:   f.Active.Target,
	}
}

// HandoverReply returns the reply to the old home of the feed with key k. refused
// means that the handover was rejected.
func HandoverReply(k Key, refused bool) *peerwire.FeedMoved {
	return &peerwire.FeedMoved{Service: k.Service, Caller: k.Caller.String(), Token: tokenBytes(k.Token), Refused: refused}
}

// ParseKey returns the key of a feed from the fields of a handover record.
func ParseKey(service ids.Service, caller string, token []byte) (Key, error) {
	e, err := netip.ParseAddrPort(caller)
	if err != nil {
		return Key{}, eris.Wrap(err, "feed handover: invalid caller address")
	}
	k := Key{FlowKey: ids.FlowKey{Caller: e, Service: service}}
	if len(token) > len(k.Token.Bytes) {
		return Key{}, ErrToken
	}
	k.Token.Len = uint8(copy(k.Token.Bytes[:], token))
	return k, nil
}

// AcceptHandover adds the feed that m hands over, and reports whether it is new. The
// feed may exist already if two instances held it; its Observe sequence is then
// raised above that of the other instance.
func (t *Table) AcceptHandover(now ids.Time, m *peerwire.FeedMove) (f *Feed, created bool, err error) {
	k, err := ParseKey(m.Service, m.Caller, m.Token)
	if err != nil {
		return nil, false, err
	}
	if len(m.Request) == 0 {
		return nil, false, ErrRequest
	}
	sequence := (m.Sequence + SequenceGap) & sequenceMask
	if f = t.feeds[k]; f != nil {
		if isNewerSequence(f.Sequence, sequence) {
			f.Sequence = sequence
		}
		return f, false, nil
	}
	firstOfFlow := !t.HasFlow(k.FlowKey)
	f = t.Add(now, k, m.Request)
	f.Sequence = sequence
	if firstOfFlow {
		// The old home may continue to use its sequence of message ids until it
		// receives FeedMoved.
		f.flow.nextID = (m.NextID + SequenceGap) & idMask
	}
	return f, true, nil
}

func tokenBytes(t message.Token) []byte { return append([]byte(nil), t.Bytes[:t.Len]...) }
