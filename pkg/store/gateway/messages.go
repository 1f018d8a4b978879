// Package gateway defines the messages of etcd's JSON gateway that the store client and the fake store use. As in the
// JSON mapping of Protocol Buffers, []byte is encoded in base64 and int64 as a string.
package gateway

// Header is part of every response.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is one stored entry.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads one key or, if RangeEnd is set, the keys from Key up to and excluding RangeEnd.
type RangeRequest struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	MinModRevision int64  `json:"min_mod_revision,string,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header *Header    `json:"header"`
	Kvs    []KeyValue `json:"kvs"`
}

// Compare is one condition of a transaction.
type Compare struct {
	Key            []byte `json:"key"`
	Target         string `json:"target"`
	Result         string `json:"result"`
	CreateRevision *int64 `json:"create_revision,string,omitempty"`
	ModRevision    *int64 `json:"mod_revision,string,omitempty"`
}

// Put writes one key.
type Put struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// Delete removes one key.
type Delete struct {
	Key []byte `json:"key"`
}

// Op is one operation of a transaction; exactly one field is set.
type Op struct {
	Range  *RangeRequest `json:"request_range,omitempty"`
	Put    *Put          `json:"request_put,omitempty"`
	Delete *Delete       `json:"request_delete_range,omitempty"`
}

// TxnRequest runs Success if all comparisons hold, else Failure.
type TxnRequest struct {
	Compare []Compare `json:"compare,omitempty"`
	Success []Op      `json:"success,omitempty"`
	Failure []Op      `json:"failure,omitempty"`
}

// OpResponse is the result of one operation; Range is set for reads only.
type OpResponse struct {
	Range *RangeResponse `json:"response_range"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    *Header      `json:"header"`
	Succeeded bool         `json:"succeeded"`
	Responses []OpResponse `json:"responses"`
}

// GrantRequest creates a lease.
type GrantRequest struct {
	TTL int64 `json:"TTL,string"` // seconds
}

// LeaseRequest renews or revokes a lease.
type LeaseRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseResponse is the response to a grant or a renewal.
type LeaseResponse struct {
	Header *Header `json:"header"`
	ID     int64   `json:"ID,string"`
	TTL    int64   `json:"TTL,string"` // seconds; 0 or less if the lease does not exist
}

// KeepAliveResponse is one message of the keep-alive stream.
type KeepAliveResponse struct {
	Result *LeaseResponse `json:"result"`
	Error  *Error         `json:"error"`
}

// Error is a gRPC error as encoded by the gateway.
type Error struct {
	Code     int    `json:"code"`
	GRPCCode int    `json:"grpc_code"` // code of errors in streams
	Message  string `json:"message"`
}

// Paths of the gateway. All are called with POST.
const (
	RangePath     = "/v3/kv/range"
	TxnPath       = "/v3/kv/txn"
	GrantPath     = "/v3/lease/grant"
	KeepAlivePath = "/v3/lease/keepalive"
	RevokePath    = "/v3/lease/revoke"
)

// gRPC status codes that are certain to have no effect: the server validated the request and rejected it.
const (
	CodeInvalidArgument    = 3
	CodeNotFound           = 5
	CodeFailedPrecondition = 9
	CodeOutOfRange         = 11
)

// RevokeResponse is the response to the revocation of a lease.
type RevokeResponse struct {
	Header *Header `json:"header"`
}
