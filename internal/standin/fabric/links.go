package fabric

import (
	"context"
	"io"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// gateCheck is the interval at which a stopped link looks whether the data
	// centres are connected again.
	partitionPollInterval = 20 * time.Millisecond
	// linkQueue bounds the chunks of a link that wait for their delay.
	linkQueueLength = 256
	linkChunkSize   = 16 << 10
)

// Link is the address at which other instances reach the peer listener of an
// instance, so that the fabric can delay and cut what crosses data centres.
// The source of a connection is known by its IP address, which is that of the
// dialling instance.
type Link struct {
	Listen     netip.AddrPort
	Target     netip.AddrPort
	DataCentre string
}

// chunk is a part of a stream and the time at which it is due.
type delayedChunk struct {
	data []byte
	due  time.Time
}

// carry accepts connections to a link until ctx ends.
func (f *Fabric) serveLink(ctx context.Context, l Link) error {
	ln, err := net.Listen("tcp4", l.Listen.String())
	if err != nil {
		return eris.Wrapf(err, "listen for the link to %s", l.Target)
	}
	go func() {
		<-ctx.Done()
		_ = ln.Close()
	}()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go f.proxyLink(ctx, c, l)
		}
	}()
	return nil
}

// join connects an accepted connection with the target of the link.
func (f *Fabric) proxyLink(ctx context.Context, from net.Conn, l Link) {
	defer func() { _ = from.Close() }()
	source, _ := netip.ParseAddrPort(from.RemoteAddr().String())
	f.mu.Lock()
	dc := f.instanceByIP[source.Addr().Unmap()].DataCentre
	f.mu.Unlock()
	if !f.waitUntilOpen(ctx, dc, l.DataCentre) || !f.waitUntilOpen(ctx, l.DataCentre, dc) {
		return
	}
	to, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", l.Target.String())
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	done := make(chan struct{}, 2)
	copyTo := func(dst, src net.Conn, a, b string) {
		f.copyWithDelay(ctx, dst, src, a, b)
		done <- struct{}{}
	}
	go copyTo(to, from, dc, l.DataCentre)
	go copyTo(from, to, l.DataCentre, dc)
	select {
	case <-done:
	case <-f.resetSignal(dc, l.DataCentre):
	case <-ctx.Done():
	}
}

// broken returns a channel that is closed when the connections between the data
// centres are broken. It is nil within a data centre.
func (f *Fabric) resetSignal(a, b string) <-chan struct{} {
	if a == b || a == "" {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.linkReset
}

// stream copies src in data centre a to dst in b with the delay between them.
// While that way is cut nothing moves and the connection stays open, as it is
// with lost segments.
func (f *Fabric) copyWithDelay(ctx context.Context, dst io.Writer, src io.Reader, a, b string) {
	queue := make(chan delayedChunk, linkQueueLength)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, linkChunkSize)
			n, err := src.Read(buf)
			if n > 0 {
				queue <- delayedChunk{data: buf[:n], due: time.Now().Add(f.linkDelay(a, b))}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range queue {
		time.Sleep(time.Until(c.due))
		if !f.waitUntilOpen(ctx, a, b) {
			break
		}
		if _, err := dst.Write(c.data); err != nil {
			break
		}
	}
	go func() {
		for range queue { // unblocks the reader until its connection is closed
		}
	}()
}

func (f *Fabric) linkDelay(a, b string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a == b || a == "" {
		return 0
	}
	return time.Duration(f.faults.LinkDelayMS * float64(time.Millisecond))
}

// gate waits until the way from data centre a to b is open. It returns false
// when ctx ends.
func (f *Fabric) waitUntilOpen(ctx context.Context, a, b string) bool {
	for {
		f.mu.Lock()
		split := a != b && a != "" &&
			(slices.Contains(f.faults.PartitionedDataCentres, a) || slices.Contains(f.faults.PartitionedDataCentres, b) ||
				slices.Contains(f.faults.OutboundBlockedDataCentres, a))
		f.mu.Unlock()
		if !split {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(partitionPollInterval):
		}
	}
}
