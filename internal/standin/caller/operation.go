package caller

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/standin/wire"
)

const (
	// maxComebacks is the number of times a caller comes back after a 5.03.
	maxRetries = 4
	// maxEchoes is the number of admission tokens a request may be given.
	maxEchoChallenges = 6
	// certificateFactor lengthens the deadline of certificates, for which some
	// delay is acceptable.
	certificateDeadlineFactor = 3
	// answerGrace is added to the deadline before a request is sent again.
	responseGrace = time.Second
)

// operation is one thing a caller wants done.
type operation struct {
	class   string
	service string
	path    string
	post    bool
	large   bool // many blocks, long to produce
}

// perform carries out an operation and counts its result. It sends the same
// request again when no response arrives, follows 4.01 with the Echo option,
// comes back after a 5.03, and never sends a new request after a 5.04.
func (c *Generator) perform(ctx context.Context, conn *callerConn, op operation, number uint64) {
	began := time.Now()
	c.stats.updateClass(op.class, func(k *wire.ClassCounts) { k.Started++ })
	id := wire.ID{Service: op.service, Caller: conn.caller, Operation: number}
	for id.Attempt = 1; ; id.Attempt++ {
		a, err := c.runAttempt(ctx, conn, op, id)
		switch {
		case err != nil:
			c.recordFailure(op, id, began, wire.KindLost, err.Error())
		case a.code == codes.Content || a.code == codes.Changed:
			if _, err := wire.Verify(a.body, op.service, id.String()); err != nil {
				c.recordFailure(op, id, began, wire.KindWrongContent, err.Error())
				break
			}
			c.stats.updateClass(op.class, func(k *wire.ClassCounts) { k.OK++ })
			c.stats.recordLatency(op.class, time.Since(began))
		case a.code == codes.ServiceUnavailable && id.Attempt <= maxRetries:
			c.recordRefusal(id, a)
			c.stats.updateClass(op.class, func(k *wire.ClassCounts) { k.Retries++ })
			if sleep(ctx, a.maxAge) {
				continue
			}
			c.recordFailure(op, id, began, wire.KindRefused, "run ended")
		case a.code == codes.ServiceUnavailable || a.code == codes.Unauthorized:
			c.recordRefusal(id, a)
			c.recordFailure(op, id, began, wire.KindRefused, a.code.String())
		case a.code == codes.GatewayTimeout:
			c.recordFailure(op, id, began, wire.KindUnknown, string(a.body)+"; "+c.queryOutcome(ctx, conn, op, id))
		default:
			c.recordFailure(op, id, began, wire.KindFailed, a.code.String())
		}
		return
	}
}

func (c *Generator) recordFailure(op operation, id wire.ID, began time.Time, kind, detail string) {
	c.stats.updateClass(op.class, func(k *wire.ClassCounts) {
		switch kind {
		case wire.KindLost:
			k.Lost++
		case wire.KindWrongContent:
			k.WrongContent++
		case wire.KindRefused:
			k.Refused++
		case wire.KindUnknown:
			k.Unknown++
		default:
			k.Failed++
		}
	})
	c.stats.addFailure(wire.Failure{
		ID: id.String(), Class: op.class, Kind: kind, Detail: detail,
		Start: began.UnixMilli(), End: time.Now().UnixMilli(),
	})
}

// notRun records a refusal that says that the request has not run: 4.01, or
// 5.03 with that payload. Any other 5.03 says only when to come back.
func (c *Generator) recordRefusal(id wire.ID, a response) {
	c.stats.addRefusal(id.String(), a.code == codes.Unauthorized || string(a.body) == "not run")
}

// attempt sends one request until it has a final answer, and fetches all blocks
// of the answer. The request is lost when the answer is not complete by its
// deadline plus the CoAP transmission span.
func (c *Generator) runAttempt(ctx context.Context, conn *callerConn, op operation, id wire.ID) (response, error) {
	deadline := c.opt.Deadline
	if op.class == Certificate || op.class == LargeCertificate {
		deadline *= certificateDeadlineFactor
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+c.opt.maxTransmitSpan())
	defer cancel()
	q := request{code: codes.GET, path: op.path, id: id.String()}
	if op.post {
		q.code = codes.POST
	}
	whole, err := c.sendWithRetries(ctx, conn, op, &q)
	for err == nil && whole.more {
		q.block++
		var a response
		a, err = c.sendWithRetries(ctx, conn, op, &q)
		switch {
		case err != nil:
		case a.code == codes.ServiceUnavailable:
			// Nothing ran for this block; the blocks before it stay valid.
			c.stats.updateClass(op.class, func(k *wire.ClassCounts) { k.Retries++ })
			q.block--
			if !sleep(ctx, a.maxAge) {
				err = eris.Wrapf(ctx.Err(), "block %d refused", q.block+1)
			}
		case a.code != codes.Content || !bytes.Equal(a.etag, whole.etag):
			return a, nil // the content does not pass the verification
		default:
			whole.body = append(whole.body, a.body...)
			whole.more = a.more
		}
	}
	return whole, err
}

// persist sends q until it has a final answer: again after a time-out, with the
// same admission token if it has one, and with the Echo option after 4.01.
func (c *Generator) sendWithRetries(ctx context.Context, conn *callerConn, op operation, q *request) (response, error) {
	for echoes := 0; ; {
		once, stop := context.WithTimeout(ctx, c.opt.Deadline+responseGrace)
		a, err := conn.roundTrip(once, *q)
		stop()
		switch {
		case err != nil && ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded):
			c.stats.updateClass(op.class, func(k *wire.ClassCounts) { k.Resends++ })
		case err != nil:
			return a, err
		case a.code == codes.Unauthorized && len(a.echo) > 0 && echoes < maxEchoChallenges:
			c.stats.updateClass(op.class, func(k *wire.ClassCounts) { k.EchoChallenges++ })
			q.echo = a.echo
			echoes++
		default:
			return a, nil
		}
	}
}

// outcome asks the service whether an operation was executed.
func (c *Generator) queryOutcome(ctx context.Context, conn *callerConn, op operation, id wire.ID) string {
	ask := operation{class: OutcomeQuery, service: op.service, path: "/outcome"}
	asked := wire.ID{Service: op.service, Caller: conn.caller + "-q", Operation: id.Operation, Attempt: 1}
	ctx, cancel := context.WithTimeout(ctx, c.opt.Deadline+c.opt.maxTransmitSpan())
	defer cancel()
	c.stats.updateClass(ask.class, func(k *wire.ClassCounts) { k.Started++ })
	a, err := conn.roundTrip(ctx, request{code: codes.GET, path: ask.path, id: asked.String(), outcomeOf: id.OperationID()})
	if err != nil || a.code != codes.Content {
		c.stats.updateClass(ask.class, func(k *wire.ClassCounts) { k.Failed++ })
		return "not told"
	}
	state, err := wire.Verify(a.body, op.service, asked.String())
	if err != nil {
		c.recordFailure(ask, asked, time.Now(), wire.KindWrongContent, err.Error())
		return "not told"
	}
	c.stats.updateClass(ask.class, func(k *wire.ClassCounts) { k.OK++ })
	return state
}

// sleep reports whether d passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
