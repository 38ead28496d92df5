package fanout

import (
	"context"
	"fmt"
	"testing"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/follow"
)

// Guards against an update that is changed by its compression, and against one that breaks
// off or takes more memory than any other message.
func TestCompressedUpdate(t *testing.T) {
	u := follow.Update{Complete: true, Revision: 9}
	for range 500 {
		u.Targets = append(u.Targets, target("some-target", 5, false))
	}
	plain, err := encode(&u, false)
	assert.NilError(t, err)
	small, err := encode(&u, true)
	assert.NilError(t, err)
	assert.Assert(t, len(small) < len(plain)/4, "%d of %d bytes", len(small), len(plain))
	for _, message := range [][]byte{plain, small} {
		var got follow.Update
		assert.NilError(t, decode(message, &got))
		assert.DeepEqual(t, got, u)
	}

	var got follow.Update
	content, err := deflate(make([]byte, maxMessageBytes+1))
	assert.NilError(t, err)
	for text, compressed := range map[string][]byte{"exceeds": content, "decompress": content[:len(content)/2]} {
		message, err := cbor.Marshal(&follow.Update{Compressed: compressed})
		assert.NilError(t, err)
		assert.ErrorContains(t, decode(message, &got), text)
	}
}

// Guards against a compressed update for an instance of a former release, which would take
// it for one without content.
func TestFormerReleaseGetsUncompressedUpdates(t *testing.T) {
	n := newNode(t, "n", &platformStub{})
	u := follow.Update{Complete: true, Revision: 9}
	for i := range 500 {
		u.Targets = append(u.Targets, target(fmt.Sprint("some-target-", i), 5, false))
	}
	n.state.Apply(&u)
	ws, _, err := websocket.Dial(context.Background(), n.server.URL+updatesPath+"?era=0&after=0&version=0", nil)
	assert.NilError(t, err)
	defer func() { _ = ws.CloseNow() }()
	ws.SetReadLimit(maxMessageBytes)
	_, message, err := ws.Read(context.Background())
	assert.NilError(t, err)
	var got follow.Update
	assert.NilError(t, cbor.Unmarshal(message, &got))
	assert.Equal(t, len(got.Targets), 500)
}
