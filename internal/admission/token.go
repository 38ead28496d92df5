// Package admission decides whether a request may start. It implements the admission
// tokens and the admission table, which ensure that non-idempotent requests run at most
// once, the queue limit and the retry budget. It performs no I/O and reads no clock.
package admission

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"arbutusdock.example/arbutusdock/internal/ids"
	"github.com/rotisserie/eris"
)

const (
	// TokenSize is the length of an encoded token in bytes: key id 1, incarnation 8,
	// issue time 6, nonce 9, MAC 16. It equals the maximum length of an Echo option
	// (RFC 9175 section 2.2.1).
	TokenSize = 40
	// MinKeySize is the minimum length of a key in bytes.
	MinKeySize = 16

	bodySize  = 24
	nonceSize = 9
)

// Nonce distinguishes the tokens of one incarnation.
type Nonce [nonceSize]byte

// Token identifies the incarnation of the only instance that may dispatch a request.
type Token struct {
	KeyID       uint8
	Incarnation ids.Incarnation
	IssuedMS    uint64 // by the clock of that instance, milliseconds since the Unix epoch
	Nonce       Nonce
}

// Verdict is the result of checking an encoded token.
type Verdict uint8

// Verdicts of Keyring.Parse.
const (
	Valid      Verdict = iota
	NotIssued          // not issued by this system: no request with it has run
	UnknownKey         // the key may have been retired: unknown whether a request has run
)

// Keyring holds the keys shared by the instances. One key signs tokens; all keys verify
// them. A Keyring reuses its buffers and must not be used concurrently.
type Keyring struct {
	keys     [256]hash.Hash
	signKey  uint8
	body     [bodySize]byte
	macInput []byte
	sum      [sha256.Size]byte
}

// NewKeyring returns a keyring with the given keys that signs with the key with id sign.
func NewKeyring(sign uint8, keys map[uint8][]byte) (*Keyring, error) {
	k := &Keyring{signKey: sign}
	for id, key := range keys {
		if len(key) < MinKeySize {
			return nil, eris.Errorf("admission key %d: %d bytes, want at least %d", id, len(key), MinKeySize)
		}
		k.keys[id] = hmac.New(sha256.New, key)
	}
	if k.keys[sign] == nil {
		return nil, eris.Errorf("admission key %d: signing key is missing", sign)
	}
	return k, nil
}

// Mint writes the encoding of t for service to dst. The key id of t is ignored.
func (k *Keyring) Mint(dst *[TokenSize]byte, t Token, service ids.Service) {
	dst[0] = k.signKey
	binary.BigEndian.PutUint64(dst[1:9], uint64(t.Incarnation))
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], t.IssuedMS)
	copy(dst[9:15], ms[2:])
	copy(dst[15:bodySize], t.Nonce[:])
	copy(k.body[:], dst[:bodySize])
	copy(dst[bodySize:], k.mac(k.signKey, service))
}

// Parse decodes and verifies the token in echo, the Echo option value of a request to
// service.
func (k *Keyring) Parse(echo []byte, service ids.Service) (Token, Verdict) {
	if len(echo) != TokenSize {
		return Token{}, NotIssued
	}
	if k.keys[echo[0]] == nil {
		return Token{}, UnknownKey
	}
	copy(k.body[:], echo)
	if !hmac.Equal(k.mac(echo[0], service), echo[bodySize:]) {
		return Token{}, NotIssued
	}
	t := Token{KeyID: echo[0], Incarnation: ids.Incarnation(binary.BigEndian.Uint64(echo[1:9]))}
	var ms [8]byte
	copy(ms[2:], echo[9:15])
	t.IssuedMS = binary.BigEndian.Uint64(ms[:])
	copy(t.Nonce[:], echo[15:bodySize])
	return t, Valid
}

// mac returns the truncated HMAC-SHA-256 of k.body and the service name, under key id.
func (k *Keyring) mac(id uint8, service ids.Service) []byte {
	h := k.keys[id]
	h.Reset()
	k.macInput = append(append(k.macInput[:0], k.body[:]...), service...)
	_, _ = h.Write(k.macInput)
	return h.Sum(k.sum[:0])[:TokenSize-bodySize]
}
