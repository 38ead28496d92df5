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
	buffers     []*messageBuffer
	usedBuffers int
	tokens      []*[admission.TokenSize]byte
	usedTokens  int
}

// messageBuffer is a peer message together with the memory of its parts.
type messageBuffer struct {
	message      peerwire.Message
	load         peerwire.Load
	relay        peerwire.Relay
	slotFree     peerwire.SlotFree
	ackRoute     peerwire.AckRoute
	endpointText [64]byte
	traceBytes   [8]byte
}

func (a *arena) reset() { a.usedBuffers, a.usedTokens = 0, 0 }

func (a *arena) newToken() *[admission.TokenSize]byte {
	if a.usedTokens == len(a.tokens) {
		a.tokens = append(a.tokens, new([admission.TokenSize]byte))
	}
	a.usedTokens++
	return a.tokens[a.usedTokens-1]
}

// newPeerMessage returns a message without a body that carries the load of this
// instance for s. s may be nil; the message then carries no load.
func (c *Core) newPeerMessage(s *service) *messageBuffer {
	a := &c.arena
	if a.usedBuffers == len(a.buffers) {
		a.buffers = append(a.buffers, new(messageBuffer))
	}
	b := a.buffers[a.usedBuffers]
	a.usedBuffers++
	b.message = peerwire.Message{From: c.self.ID, Incarnation: c.self.Incarnation}
	if s != nil && c.fillLoad(s, &b.load) {
		b.message.Load = &b.load
	}
	return b
}

func (c *Core) sendPeerMessage(to ids.Instance, b *messageBuffer) {
	e := c.emit(ToPeer)
	e.Instance, e.PeerMessage = to, &b.message
}

// formatEndpoint returns the text form of e, stored in b. Like all memory that
// an effect refers to, it is valid until the next call of the core.
func (b *messageBuffer) formatEndpoint(e ids.Endpoint) string {
	text := e.AppendTo(b.endpointText[:0])
	return unsafe.String(unsafe.SliceData(text), len(text))
}
