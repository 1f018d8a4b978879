package requests

import (
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
)

// requestToWire returns the message of one attempt. The deadline is sent as the remaining time, rounded down to
// milliseconds, because the clocks of hosts differ.
func requestToWire(target Target, attemptID string, req structs.Request) *peerpb.DispatchRequest {
	return &peerpb.DispatchRequest{
		Shard:       &peerpb.Shard{Datacentre: string(target.Shard.Datacentre), Index: int32(target.Shard.Index)},
		AttemptId:   attemptID,
		RequestId:   req.ID,
		Service:     string(req.Service),
		Kind:        string(req.Kind),
		Idempotent:  req.Idempotent,
		RemainingMs: req.Remaining.Milliseconds(),
		Body:        req.Body,
	}
}

func requestFromWire(m *peerpb.DispatchRequest) structs.Request {
	return structs.Request{
		ID:         m.RequestId,
		Service:    structs.ServiceName(m.Service),
		Kind:       structs.KindName(m.Kind),
		Idempotent: m.Idempotent,
		Remaining:  time.Duration(m.RemainingMs) * time.Millisecond,
		Body:       m.Body,
	}
}

func shardFromWire(m *peerpb.Shard) structs.ShardID {
	return structs.ShardID{Datacentre: structs.DatacentreID(m.GetDatacentre()), Index: int(m.GetIndex())}
}

func replyToWire(attemptID string, reply structs.Reply) *peerpb.DispatchReply {
	outcome := peerpb.Outcome_OUTCOME_UNKNOWN
	switch reply.Outcome {
	case structs.Answered:
		outcome = peerpb.Outcome_OUTCOME_ANSWERED
	case structs.NotRun:
		outcome = peerpb.Outcome_OUTCOME_NOT_RUN
	}
	return &peerpb.DispatchReply{
		AttemptId:  attemptID,
		Outcome:    outcome,
		Status:     int32(reply.Status),
		Body:       reply.Body,
		Reason:     reply.Reason,
		Runner:     string(reply.Runner),
		WrongOwner: reply.Outcome == structs.NotRun && reply.Reason == structs.ReasonWrongOwner,
	}
}

// replyFromWire returns the reply of a message. Any outcome other than answered and not-run becomes unknown.
func replyFromWire(m *peerpb.DispatchReply) structs.Reply {
	reply := structs.Reply{
		Outcome: structs.OutcomeUnknown, Status: int(m.Status), Body: m.Body, Reason: m.Reason,
		Runner: structs.HostID(m.Runner),
	}
	switch m.Outcome {
	case peerpb.Outcome_OUTCOME_ANSWERED:
		reply.Outcome = structs.Answered
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		reply.Outcome = structs.NotRun
		if m.WrongOwner {
			reply.Reason = structs.ReasonWrongOwner
		}
	}
	return reply
}
