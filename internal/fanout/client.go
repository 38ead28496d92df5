package fanout

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/follow"
	"arbutusdock.example/arbutusdock/internal/progress"
)

const (
	// dialTimeout bounds the connection set-up to an instance, including the
	// WebSocket handshake.
	dialTimeout = 400 * time.Millisecond
	// livenessTimeout is the time without a message after which the connection to
	// an instance is closed: two heartbeat intervals and some margin.
	livenessTimeout = time.Second
	// maxMessageBytes bounds the size of a message. It fits a configuration of
	// 29,000 routes of 250 bytes each.
	maxMessageBytes = 8 << 20
	// maxTargets bounds the number of targets in an update. It is ten times the
	// number of targets in the largest expected deployment.
	maxTargets = 300_000
)

// errTooManyTargets is returned for an update with more than maxTargets targets.
var errTooManyTargets = eris.New("update has too many targets")

// errDeltaBase is returned for a configuration delta whose base is not the current
// version of this instance.
var errDeltaBase = eris.New("base version of the configuration delta is not the current version")

// client reads updates from one instance.
type client struct {
	instance      Instance
	configVersion func() uint64 // returns the current version of the configuration
	// connectTimeout bounds the set-up of the TCP connection if it is not 0, in addition
	// to dialTimeout.
	connectTimeout time.Duration
	conn           *websocket.Conn
	formerRelease  bool            // the instance is of a former release
	position       follow.Position // of the last update read from conn
	senderClock    senderClock     // of the instance that sends to conn
}

// read returns the next update after a position. It connects if necessary.
func (c *client) read(ctx context.Context, after follow.Position) (follow.Update, error) {
	return c.query(ctx, after, false)
}

// readStarting is like read, for an instance that has just read the platform for the
// first time in an era.
func (c *client) readStarting(ctx context.Context, after follow.Position) (follow.Update, error) {
	return c.query(ctx, after, true)
}

func (c *client) query(ctx context.Context, after follow.Position, starting bool) (follow.Update, error) {
	if c.conn != nil && c.position != after {
		c.close() // updates from another source were applied in the meantime
	}
	if c.conn == nil {
		if err := c.dial(ctx, after, starting); err != nil {
			return follow.Update{}, err
		}
	}
	var u follow.Update
	var firstBegin time.Time // of the first message of the update
	for received := []*follow.Target(nil); ; received = u.Targets {
		data, begin, err := c.readMessage(ctx)
		if firstBegin.IsZero() {
			firstBegin = begin
		}
		if err != nil {
			c.close()
			return follow.Update{}, eris.Wrapf(err, "read from instance %s", c.instance.ID)
		}
		u = follow.Update{}
		if err := decode(data, &u); err != nil {
			c.close()
			return follow.Update{}, eris.Wrapf(err, "decode update of instance %s", c.instance.ID)
		}
		u.Targets = append(received, u.Targets...)
		if !u.More {
			break
		}
		if len(u.Targets) > maxTargets {
			c.close()
			return follow.Update{}, eris.Wrapf(errTooManyTargets, "read from instance %s", c.instance.ID)
		}
	}
	if d := u.ConfigDelta; d != nil && d.Base != c.configVersion() {
		c.close()
		return follow.Update{}, eris.Wrapf(errDeltaBase, "instance %s: base version %d", c.instance.ID, d.Base)
	}
	// One that has started from the state of a former release does not know the evacuations
	// either.
	u.FormerRelease = u.Complete && (c.formerRelease || u.Evacuations == nil)
	if u.Complete && u.Evacuations == nil && u.Config != nil {
		u.Config.Partial = true // the releases that know no evacuations lack fields of it too
	}
	u.Age += time.Since(firstBegin)
	sentAt := c.senderClock.localTime(time.Duration(u.SentAt)*time.Millisecond, firstBegin)
	if u.Lag != 0 {
		u.CurrentAt = sentAt.Add(-time.Duration(u.Lag) * time.Millisecond)
	}
	u.Path = append([]uint32{pathHash(c.instance.ID)}, u.Path...)
	c.position = u.Position()
	return u, nil
}

// readMessage reads the next message and returns the time at which it began. The message
// must begin within livenessTimeout; a large one may then take any time as long as the
// transfer makes progress. Otherwise the error is context.DeadlineExceeded.
func (c *client) readMessage(ctx context.Context) (data []byte, begin time.Time, err error) {
	ctx, monitor, stop := progress.Watch(ctx, livenessTimeout)
	defer stop()
	_, r, err := c.conn.Reader(ctx)
	if err != nil {
		return nil, begin, cmp.Or(context.Cause(ctx), err)
	}
	begin = time.Now()
	monitor.Begin(livenessTimeout)
	if data, err = io.ReadAll(monitor.Reader(r)); err != nil {
		return nil, begin, cmp.Or(context.Cause(ctx), err)
	}
	return data, begin, nil
}

func (c *client) dial(ctx context.Context, after follow.Position, starting bool) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c.senderClock = senderClock{dialedAt: time.Now()}
	query := url.Values{
		"era":     {strconv.FormatUint(after.Era, 10)},
		"after":   {strconv.FormatUint(after.Revision, 10)},
		"version": {strconv.FormatUint(c.configVersion(), 10)},
		// One of a former release sends uncompressed updates all the same.
		"compressed": {"true"},
	}
	if starting {
		query.Set("starting", "true")
	}
	options := &websocket.DialOptions{CompressionMode: websocket.CompressionDisabled}
	if c.connectTimeout != 0 {
		transport := &http.Transport{DialContext: (&net.Dialer{Timeout: c.connectTimeout}).DialContext, DisableKeepAlives: true}
		options.HTTPClient = &http.Client{Transport: transport}
	}
	base := "ws://" + c.instance.Address.String()
	conn, response, err := websocket.Dial(ctx, base+updatesPath+"?"+query.Encode(), options)
	c.formerRelease = false
	for _, path := range formerUpdatesPaths {
		if response == nil || response.StatusCode != http.StatusNotFound || after != (follow.Position{}) {
			break
		}
		// An instance of a former release can serve its full state, but no changes after
		// a position.
		c.formerRelease = true
		conn, response, err = websocket.Dial(ctx, base+path+"?"+query.Encode(), options)
	}
	if response != nil && response.StatusCode != http.StatusSwitchingProtocols {
		err = eris.Errorf("status %d", response.StatusCode)
	}
	if err != nil {
		return eris.Wrapf(err, "connect to instance %s at %s", c.instance.ID, c.instance.Address)
	}
	conn.SetReadLimit(maxMessageBytes)
	c.conn, c.position = conn, after
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.CloseNow() // the failed read has already reported the error
		c.conn = nil
	}
}
