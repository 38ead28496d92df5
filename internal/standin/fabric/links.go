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
	// partitionPollInterval is the interval at which a blocked link checks whether
	// its data centres are connected again.
	partitionPollInterval = 20 * time.Millisecond
	// linkQueueLength limits the number of delayed chunks of a link direction.
	linkQueueLength = 256
	linkChunkSize   = 16 << 10
)

// Link is a proxied TCP address at which other instances reach the peer listener
// of an instance in DataCentre, so that the fabric can delay and block traffic
// between data centres. The data centre at the other end of a connection is
// determined from its source IP address, which is that of the dialling instance.
type Link struct {
	Listen     netip.AddrPort
	Target     netip.AddrPort
	DataCentre string
}

// delayedChunk is a part of a stream and the time at which to deliver it.
type delayedChunk struct {
	data []byte
	due  time.Time
}

// serveLink accepts connections to a link until ctx is cancelled.
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

// proxyLink copies data between an accepted connection and the target of the link.
func (f *Fabric) proxyLink(ctx context.Context, from net.Conn, l Link) {
	defer func() { _ = from.Close() }()
	source, _ := netip.ParseAddrPort(from.RemoteAddr().String())
	f.mu.Lock()
	sourceDC := f.instanceByIP[source.Addr().Unmap()].DataCentre
	f.mu.Unlock()
	if !f.waitUntilOpen(ctx, sourceDC, l.DataCentre) || !f.waitUntilOpen(ctx, l.DataCentre, sourceDC) {
		return
	}
	to, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", l.Target.String())
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	done := make(chan struct{}, 2)
	copyTo := func(dst, src net.Conn, fromDC, toDC string) {
		f.copyWithDelay(ctx, dst, src, fromDC, toDC)
		done <- struct{}{}
	}
	go copyTo(to, from, sourceDC, l.DataCentre)
	go copyTo(from, to, l.DataCentre, sourceDC)
	select {
	case <-done:
	case <-f.resetSignal(sourceDC, l.DataCentre):
	case <-ctx.Done():
	}
}

// resetSignal returns a channel that is closed when the connections between the
// two data centres are to be closed. It returns nil if a and b are the same data
// centre, or if a is not known.
func (f *Fabric) resetSignal(a, b string) <-chan struct{} {
	if a == b || a == "" {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.linkReset
}

// copyWithDelay copies data from src in data centre fromDC to dst in toDC with the
// link delay. While that direction is blocked, nothing is copied and the
// connection stays open, as when all TCP segments are lost.
func (f *Fabric) copyWithDelay(ctx context.Context, dst io.Writer, src io.Reader, fromDC, toDC string) {
	queue := make(chan delayedChunk, linkQueueLength)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, linkChunkSize)
			n, err := src.Read(buf)
			if n > 0 {
				queue <- delayedChunk{data: buf[:n], due: time.Now().Add(f.linkDelay(fromDC, toDC))}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range queue {
		time.Sleep(time.Until(c.due))
		if !f.waitUntilOpen(ctx, fromDC, toDC) {
			break
		}
		if _, err := dst.Write(c.data); err != nil {
			break
		}
	}
	go func() {
		for range queue { // drains the queue so that the reader does not block until its connection is closed
		}
	}()
}

func (f *Fabric) linkDelay(fromDC, toDC string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fromDC == toDC || fromDC == "" {
		return 0
	}
	return time.Duration(f.faults.LinkDelayMS * float64(time.Millisecond))
}

// waitUntilOpen waits until no fault blocks traffic from fromDC to toDC. It
// returns false if ctx is cancelled.
func (f *Fabric) waitUntilOpen(ctx context.Context, fromDC, toDC string) bool {
	for {
		f.mu.Lock()
		blocked := fromDC != toDC && fromDC != "" &&
			(slices.Contains(f.faults.PartitionedDataCentres, fromDC) || slices.Contains(f.faults.PartitionedDataCentres, toDC) ||
				slices.Contains(f.faults.OutboundBlockedDataCentres, fromDC))
		f.mu.Unlock()
		if !blocked {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(partitionPollInterval):
		}
	}
}
