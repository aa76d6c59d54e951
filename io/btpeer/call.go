package btpeer

import (
	"context"
	"errors"
	"fmt"
	"io"
)

// Call sends one request and returns the one answer to it.
//
// The peer's handler must receive one message, send one and return; Answer makes such a
// handler. Errors are those of Open, Send and Receive. ErrLost is also returned if the
// handler ended without an answer.
func Call[Q any, R Validator](ctx context.Context, n *Node, to Endpoint, k Kind, request Q) (R, error) {
	var none R
	s, err := n.Open(ctx, to, k)
	if err != nil {
		return none, err
	}
	defer s.Close()
	// ErrFinished is no failure: a peer may answer before it has read the whole request.
	if err := Send(s, request); err != nil && !errors.Is(err, ErrFinished) {
		return none, err
	}
	if err := s.CloseWrite(); err != nil {
		return none, err
	}
	response, err := Receive[R](s)
	if err == io.EOF {
		return none, fmt.Errorf("%w: %s from %s: no answer", ErrLost, k, to)
	}
	if err != nil {
		return none, err
	}
	// The answer is valid even if the end of the stream is lost.
	_ = s.Wait()
	return response, nil
}

// Answer returns a handler for a kind that peers use through Call. It receives one
// request, passes it to the function and sends the response.
func Answer[Q Validator, R any](answer func(ctx context.Context, from Identity, request Q) (R, error)) Handler {
	return func(ctx context.Context, from Identity, s *Stream) error {
		request, err := Receive[Q](s)
		if err != nil {
			return err
		}
		response, err := answer(ctx, from, request)
		if err != nil {
			return err
		}
		return Send(s, response)
	}
}
