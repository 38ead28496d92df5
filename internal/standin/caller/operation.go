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
	// maxRetries limits the new attempts of an operation after a 5.03.
	maxRetries = 4
	// maxEchoChallenges limits how often one request is sent again because of a
	// 4.01 response with an admission token.
	maxEchoChallenges = 6
	// certificateDeadlineFactor extends the deadline of certificate requests, for
	// which some delay is acceptable.
	certificateDeadlineFactor = 3
	// responseGrace is the time after the deadline at which a request without a
	// response is sent again.
	responseGrace = time.Second
)

// operation describes one operation of a caller, which can take several attempts.
type operation struct {
	class   string
	service string
	path    string
	post    bool
	large   bool // content of many blocks that takes long to produce
}

// perform carries out an operation and counts its result. It sends the same
// request again if no response arrives, answers a 4.01 with the Echo option,
// retries after a 5.03 and sends no new request after a 5.04.
func (g *Generator) perform(ctx context.Context, conn *callerConn, op operation, number uint64) {
	began := time.Now()
	g.stats.updateClass(op.class, func(k *wire.ClassCounts) { k.Started++ })
	id := wire.ID{Service: op.service, Caller: conn.caller, Operation: number}
	for id.Attempt = 1; ; id.Attempt++ {
		resp, err := g.runAttempt(ctx, conn, op, id)
		switch {
		case err != nil:
			g.recordFailure(op, id, began, wire.KindLost, err.Error())
		case resp.code == codes.Content || resp.code == codes.Changed:
			if _, err := wire.Verify(resp.body, op.service, id.String()); err != nil {
				g.recordFailure(op, id, began, wire.KindWrongContent, err.Error())
				break
			}
			g.stats.updateClass(op.class, func(k *wire.ClassCounts) { k.OK++ })
			g.stats.recordLatency(op.class, time.Since(began))
		case resp.code == codes.ServiceUnavailable && id.Attempt <= maxRetries:
			g.recordRefusal(id, resp)
			g.stats.updateClass(op.class, func(k *wire.ClassCounts) { k.Retries++ })
			if sleep(ctx, resp.maxAge) {
				continue
			}
			g.recordFailure(op, id, began, wire.KindRefused, "run ended")
		case resp.code == codes.ServiceUnavailable || resp.code == codes.Unauthorized:
			g.recordRefusal(id, resp)
			g.recordFailure(op, id, began, wire.KindRefused, resp.code.String())
		case resp.code == codes.GatewayTimeout:
			g.recordFailure(op, id, began, wire.KindUnknown, string(resp.body)+"; "+g.queryOutcome(ctx, conn, op, id))
		default:
			g.recordFailure(op, id, began, wire.KindFailed, resp.code.String())
		}
		return
	}
}

func (g *Generator) recordFailure(op operation, id wire.ID, began time.Time, kind, detail string) {
	g.stats.updateClass(op.class, func(k *wire.ClassCounts) {
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
	g.stats.addFailure(wire.Failure{
		ID: id.String(), Class: op.class, Kind: kind, Detail: detail,
		Start: began.UnixMilli(), End: time.Now().UnixMilli(),
	})
}

// recordRefusal records a refusal. A 4.01, or a 5.03 with the payload "not run",
// states that the request was not executed; any other 5.03 only tells when to
// retry.
func (g *Generator) recordRefusal(id wire.ID, resp response) {
	g.stats.addRefusal(id.String(), resp.code == codes.Unauthorized || string(resp.body) == "not run", resp.copied)
}

// runAttempt sends one request until it gets a final response, and fetches all
// blocks of the response. It fails if the response is not complete by the deadline
// plus MAX_TRANSMIT_SPAN.
func (g *Generator) runAttempt(ctx context.Context, conn *callerConn, op operation, id wire.ID) (response, error) {
	deadline := g.opt.Deadline
	if op.class == Certificate || op.class == LargeCertificate {
		deadline *= certificateDeadlineFactor
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+g.opt.maxTransmitSpan())
	defer cancel()
	req := request{code: codes.GET, path: op.path, id: id.String()}
	if op.post {
		req.code = codes.POST
	}
	result, err := g.sendWithRetries(ctx, conn, op, &req)
	for err == nil && result.more {
		req.block++
		var resp response
		resp, err = g.sendWithRetries(ctx, conn, op, &req)
		switch {
		case err != nil:
		case resp.code == codes.ServiceUnavailable:
			// This block was not served; the blocks before it remain valid.
			g.stats.updateClass(op.class, func(k *wire.ClassCounts) { k.Retries++ })
			req.block--
			if !sleep(ctx, resp.maxAge) {
				err = eris.Wrapf(ctx.Err(), "block %d refused", req.block+1)
			}
		case resp.code != codes.Content || !bytes.Equal(resp.etag, result.etag):
			return resp, nil // Verify rejects this content
		default:
			result.body = append(result.body, resp.body...)
			result.more = resp.more
		}
	}
	return result, err
}

// sendWithRetries sends req until it gets a final response: after a timeout it
// sends req again with the same admission token, if any, and after a 4.01 with the
// new token in the Echo option.
func (g *Generator) sendWithRetries(ctx context.Context, conn *callerConn, op operation, req *request) (response, error) {
	copied := false
	for echoes := 0; ; {
		sendCtx, stop := context.WithTimeout(ctx, g.opt.Deadline+responseGrace)
		resp, err := conn.roundTrip(sendCtx, *req)
		stop()
		copied = copied || resp.copied || err != nil
		resp.copied = copied
		switch {
		case err != nil && ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded):
			g.stats.updateClass(op.class, func(k *wire.ClassCounts) { k.Resends++ })
		case err != nil:
			return resp, err
		case resp.code == codes.Unauthorized && len(resp.echo) > 0 && echoes < maxEchoChallenges:
			g.stats.updateClass(op.class, func(k *wire.ClassCounts) { k.EchoChallenges++ })
			req.echo = resp.echo
			echoes++
		default:
			return resp, nil
		}
	}
}

// queryOutcome sends an outcome query, which asks the service whether an operation
// was executed. It returns the state from the response, or "not told".
func (g *Generator) queryOutcome(ctx context.Context, conn *callerConn, op operation, id wire.ID) string {
	query := operation{class: OutcomeQuery, service: op.service, path: "/outcome"}
	queryID := wire.ID{Service: op.service, Caller: conn.caller + "-q", Operation: id.Operation, Attempt: 1}
	ctx, cancel := context.WithTimeout(ctx, g.opt.Deadline+g.opt.maxTransmitSpan())
	defer cancel()
	g.stats.updateClass(query.class, func(k *wire.ClassCounts) { k.Started++ })
	resp, err := conn.roundTrip(ctx, request{code: codes.GET, path: query.path, id: queryID.String(), outcomeOf: id.OperationID()})
	if err != nil || resp.code != codes.Content {
		g.stats.updateClass(query.class, func(k *wire.ClassCounts) { k.Failed++ })
		return "not told"
	}
	state, err := wire.Verify(resp.body, op.service, queryID.String())
	if err != nil {
		g.recordFailure(query, queryID, time.Now(), wire.KindWrongContent, err.Error())
		return "not told"
	}
	g.stats.updateClass(query.class, func(k *wire.ClassCounts) { k.OK++ })
	return state
}

// sleep waits for d. It returns false if ctx is cancelled first.
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
