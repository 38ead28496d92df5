package fanout

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/follow"
	"arbutusdock.example/arbutusdock/internal/progress"
)

const (
	// dialTimeout bounds the connection to an instance of the own data centre.
	dialTimeout = 400 * time.Millisecond
	// silence is the time without a message after which an instance is given
	// up: two heartbeats and some slack.
	silence = time.Second
	// maxMessage bounds a message, in bytes: a configuration of 29,000 routes and
	// 250 bytes each.
	maxMessage = 8 << 20
	// maxTargets bounds the targets of an update, ten times those of the largest
	// deployment in sight.
	maxTargets = 300_000
)

// errTooMany is the error of an update that does not end.
var errTooMany = eris.New("it has more targets than an update may have")

// errBase is the error of a difference from a version that this instance does not
// have.
var errBase = eris.New("its difference is from another version")

// client follows one instance.
type client struct {
	instance Instance
	version  func() uint64 // present version of the configuration
	conn     *websocket.Conn
	revision uint64 // up to which conn has delivered
}

// read returns the next update after a revision.
func (c *client) read(ctx context.Context, after uint64) (follow.Update, error) {
	if c.conn != nil && c.revision != after {
		c.close() // another source was followed in between
	}
	if c.conn == nil {
		if err := c.dial(ctx, after); err != nil {
			return follow.Update{}, err
		}
	}
	var u follow.Update
	for parts := []*follow.Target(nil); ; parts = u.Targets {
		data, err := c.message(ctx)
		if err != nil {
			c.close()
			return follow.Update{}, eris.Wrapf(err, "read from instance %s", c.instance.ID)
		}
		u = follow.Update{}
		if err := cbor.Unmarshal(data, &u); err != nil {
			c.close()
			return follow.Update{}, eris.Wrapf(err, "decode update of instance %s", c.instance.ID)
		}
		u.Targets = append(parts, u.Targets...)
		if !u.More {
			break
		}
		if len(u.Targets) > maxTargets {
			c.close()
			return follow.Update{}, eris.Wrapf(errTooMany, "read from instance %s", c.instance.ID)
		}
	}
	if d := u.ConfigDelta; d != nil && d.Base != c.version() {
		c.close()
		return follow.Update{}, eris.Wrapf(errBase, "instance %s: %d", c.instance.ID, d.Base)
	}
	c.revision = u.Revision
	return u, nil
}

// message reads the next message, which may be long: it begins within the time of
// silence, and takes as long as it makes progress; otherwise its error is
// context.DeadlineExceeded.
func (c *client) message(ctx context.Context) ([]byte, error) {
	ctx, monitor, stop := progress.Watch(ctx, silence)
	defer stop()
	_, r, err := c.conn.Reader(ctx)
	if err != nil {
		return nil, cmp.Or(context.Cause(ctx), err)
	}
	monitor.Begin(silence)
	data, err := io.ReadAll(monitor.Reader(r))
	if err != nil {
		return nil, cmp.Or(context.Cause(ctx), err)
	}
	return data, nil
}

func (c *client) dial(ctx context.Context, after uint64) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	url := "ws://" + c.instance.Address.String() + updatesPath +
		"?after=" + strconv.FormatUint(after, 10) + "&version=" + strconv.FormatUint(c.version(), 10)
	conn, response, err := websocket.Dial(ctx, url, &websocket.DialOptions{CompressionMode: websocket.CompressionDisabled})
	if response != nil && response.StatusCode != http.StatusSwitchingProtocols {
		err = eris.Errorf("status %d", response.StatusCode)
	}
	if err != nil {
		return eris.Wrapf(err, "connect to instance %s at %s", c.instance.ID, c.instance.Address)
	}
	conn.SetReadLimit(maxMessage)
	c.conn, c.revision = conn, after
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.CloseNow() // its error was reported by the read that failed
		c.conn = nil
	}
}
