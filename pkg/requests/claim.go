package requests

import (
	"context"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/requests/keys"
)

// claim records the intent of a request with an idempotency key. The record must be written before the deadline.
func (s *Service) claim(ctx context.Context, req structs.Request, deadline time.Time) (keys.Claim, structs.Reply, bool) {
	remaining := deadline.Sub(s.cfg.Now())
	if remaining <= 0 {
		return keys.Claim{}, notRunReply(structs.ReasonDeadline), false
	}
	ctx, span := s.tracer.Start(ctx, "requests.claim")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	return s.cfg.Keys.Claim(ctx, req)
}
