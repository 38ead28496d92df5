package fanout

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/follow"
)

// compressionThreshold is the size in bytes from which an encoded update is compressed for
// a follower that accepts it. 1,400 new routes for six followers took a link of 10 Mbit/s
// for 0.8 s, in which no packet of a caller was forwarded.
const compressionThreshold = 4 << 10

// compressor is used for one update at a time: a writer takes 0.8 MB.
var compressor struct {
	mu     sync.Mutex
	writer sync.Pool // of *flate.Writer, so that its memory is released between updates
}

// encode returns the message for an update. If compressed is set and the update is large,
// the message contains only follow.Update.Compressed.
func encode(u *follow.Update, compressed bool) ([]byte, error) {
	data, err := cbor.Marshal(u)
	if err != nil || !compressed || len(data) < compressionThreshold {
		return data, err
	}
	if data, err = deflate(data); err != nil {
		return nil, err
	}
	return cbor.Marshal(&follow.Update{Compressed: data})
}

func deflate(data []byte) ([]byte, error) {
	compressor.mu.Lock()
	defer compressor.mu.Unlock()
	var out bytes.Buffer
	w, ok := compressor.writer.Get().(*flate.Writer)
	if !ok {
		var err error
		if w, err = flate.NewWriter(&out, flate.BestSpeed); err != nil {
			return nil, err
		}
	}
	defer compressor.writer.Put(w)
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	err := w.Close()
	return out.Bytes(), err
}

// decode decodes a message into u. The content of a compressed one is bounded by
// maxMessageBytes like that of any other.
func decode(message []byte, u *follow.Update) error {
	if err := cbor.Unmarshal(message, u); err != nil || u.Compressed == nil {
		return err
	}
	r := flate.NewReader(bytes.NewReader(u.Compressed))
	data, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	switch {
	case err != nil:
		return eris.Wrap(err, "decompress")
	case len(data) > maxMessageBytes:
		return eris.Errorf("content exceeds %d bytes", maxMessageBytes)
	}
	*u = follow.Update{}
	return cbor.Unmarshal(data, u)
}
