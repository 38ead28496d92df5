package core

import (
	"unsafe"

	"arbutusdock.example/arbutusdock/internal/admission"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

// arena holds the peer messages and admission tokens that the effects of one
// call refer to. It is reused by the next call, so a decision does not
// allocate.
type arena struct {
	boxes  []*box
	used   int
	echoes []*[admission.TokenSize]byte
	echo   int
}

// box is a data message with room for its parts.
type box struct {
	message  peerwire.Message
	load     peerwire.Load
	relay    peerwire.Relay
	slotFree peerwire.SlotFree
	ackRoute peerwire.AckRoute
	caller   [64]byte
	trace    [8]byte
}

func (a *arena) reset() { a.used, a.echo = 0, 0 }

func (a *arena) token() *[admission.TokenSize]byte {
	if a.echo == len(a.echoes) {
		a.echoes = append(a.echoes, new([admission.TokenSize]byte))
	}
	a.echo++
	return a.echoes[a.echo-1]
}

// peer returns an empty data message about s, with the load of this instance.
func (c *Core) peer(s *service) *box {
	a := &c.arena
	if a.used == len(a.boxes) {
		a.boxes = append(a.boxes, new(box))
	}
	b := a.boxes[a.used]
	a.used++
	b.message = peerwire.Message{From: c.self.ID, Incarnation: c.self.Incarnation}
	if s != nil && c.load(s, &b.load) {
		b.message.Load = &b.load
	}
	return b
}

func (c *Core) send(to ids.Instance, b *box) {
	e := c.emit(ToPeer)
	e.Instance, e.PeerMessage = to, &b.message
}

// address returns the text of e in the memory of b. Like all memory that an
// effect refers to it is valid until the next call of the core.
func (b *box) address(e ids.Endpoint) string {
	text := e.AppendTo(b.caller[:0])
	return unsafe.String(unsafe.SliceData(text), len(text))
}
