// Package keys stores the records of idempotency keys. A record is written before a request is dispatched (the intent)
// and completed with the outcome of the request, so that a repeat through any entry host gets the same outcome and no
// request runs twice.
package keys

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"time"

	"fulmarcourse.example/core/structs"
)

// State is the state of a record.
type State string

// States of a record. Only a not-run request may be claimed again.
const (
	Intent   State = "intent" // claimed; the request may be running
	Answered State = "answered"
	NotRun   State = "not-run" // the request has not run and will not run
	Unknown  State = "unknown" // the request may have run
)

// MaxStoredBody is the largest answer body that is stored, in bytes. The store limits values to 1 MB, and a
// transaction contains several records.
const MaxStoredBody = 64 << 10

// Record is the stored value of one key.
type Record struct {
	State       State          `json:"state"`
	RequestID   string         `json:"request_id"`
	BodyDigest  string         `json:"body_digest"` // hexadecimal SHA-256 of the request body
	Status      int            `json:"status,omitempty"`
	Body        []byte         `json:"body,omitempty"`
	BodyOmitted bool           `json:"left,omitempty"` // the answer body is larger than MaxStoredBody and is not stored
	Runner      structs.HostID `json:"runner,omitempty"`
	Reason      string         `json:"reason,omitempty"`
	Nonce       string         `json:"nonce"`       // unique per claim
	Holder      structs.HostID `json:"holder"`      // entry host that made the claim
	Incarnation string         `json:"incarnation"` // identifies the process of the holder
	Expires     time.Time      `json:"expires"`     // intents only: the holder does not complete the record later
}

// storeKey returns the store key of a request's record. The parts are length-prefixed, so that different requests
// never share a key.
func storeKey(prefix string, req structs.Request) string {
	hash := sha256.New()
	for _, part := range []string{string(req.Service), string(req.Kind), req.Key} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	return prefix + hex.EncodeToString(hash.Sum(nil))
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// complete returns the record with the outcome of its request.
func (r Record) complete(reply structs.Reply) Record {
	r.Expires = time.Time{}
	r.Reason, r.Runner = reply.Reason, reply.Runner
	switch reply.Outcome {
	case structs.Answered:
		r.State, r.Status = Answered, reply.Status
		if len(reply.Body) > MaxStoredBody {
			r.BodyOmitted = true
		} else {
			r.Body = reply.Body
		}
	case structs.NotRun:
		r.State = NotRun
	default:
		r.State = Unknown
	}
	return r
}

// reply returns the recorded outcome. It must be called only for answered and unknown records.
func (r Record) reply() structs.Reply {
	switch {
	case r.State == Answered && r.BodyOmitted:
		return unknownReply(structs.ReasonAnswerNotKept)
	case r.State == Answered:
		return structs.Reply{Outcome: structs.Answered, Status: r.Status, Body: r.Body, Runner: r.Runner}
	}
	return structs.Reply{Outcome: structs.OutcomeUnknown, Reason: r.Reason, Runner: r.Runner}
}

func (r Record) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // no field of Record can fail to encode
	}
	return data
}

func decode(data []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(data, &r)
	return r, err
}

func notRunReply(reason string) structs.Reply {
	return structs.Reply{Outcome: structs.NotRun, Reason: reason}
}

func unknownReply(reason string) structs.Reply {
	return structs.Reply{Outcome: structs.OutcomeUnknown, Reason: reason}
}
