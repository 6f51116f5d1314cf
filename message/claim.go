package message

import "orchidjunction/rpc"

// MaxClaimsPerMessage is how many entries of each kind one message may hold.
const MaxClaimsPerMessage = 1024

const (
	maxKeyLength   = 200
	maxRecordBytes = 1 << 16
)

// ClaimKey is a caller's idempotency key within its tenant and service.
type ClaimKey struct {
	Tenant  string
	Service string
	Key     string
}

// ClaimStage is how far the request of a claim has come.
type ClaimStage int

// The stages: the request runs, ran and its response is known, or ended with an unknown
// outcome.
const (
	ClaimRunning ClaimStage = iota + 1
	ClaimCompleted
	ClaimUnknown
)

// ClaimRecord is what replicas remember of a key. ID is that of the request which claimed
// it, Digest that of the request's content, and Holder the proxy that sends it. Status,
// Header and Body are the recorded response.
type ClaimRecord struct {
	Key    ClaimKey
	ID     string
	Digest string
	Holder string
	Stage  ClaimStage
	AgeMs  int64
	Status int
	Header map[string]string
	Body   []byte
}

func (record *ClaimRecord) check() error {
	if record.Key.Key == "" || record.ID == "" || record.Holder == "" {
		return rpc.Errorf(rpc.BadMessage, "claim without key, id or holder")
	}
	if len(record.Key.Key) > maxKeyLength || len(record.Body) > maxRecordBytes {
		return rpc.Errorf(rpc.BadMessage, "claim of a key with %d letters and %d bytes", len(record.Key.Key), len(record.Body))
	}
	if record.Stage < ClaimRunning || record.Stage > ClaimUnknown {
		return rpc.Errorf(rpc.BadMessage, "claim stage %d", record.Stage)
	}
	return nil
}

// ClaimRequest asks a replica to record a claim for one request. Replaces names a claim
// whose holder said that it gave the key back.
type ClaimRequest struct {
	Record   ClaimRecord `msgpack:"Claimed"`
	Replaces string      `msgpack:"Instead"`
	Table    TableVersion
}

// ClaimResponse says whether the claim was granted, and else which claim has the key. It
// counts without the cores only if Complete: the replica's memory lacks nothing.
type ClaimResponse struct {
	Granted  bool
	Complete bool        `msgpack:"Whole"`
	Existing ClaimRecord `msgpack:"Held"`
}

// CompleteClaimRequest tells replicas how a claimed request ended; Release gives the key
// back, since the request did not run.
type CompleteClaimRequest struct {
	Record  ClaimRecord `msgpack:"Claimed"`
	Release bool        `msgpack:"Free"`
}

// CompleteClaimResponse confirms a CompleteClaimRequest.
type CompleteClaimResponse struct{}

// QueryHolderRequest asks a claim's holder what became of it. Another process that has
// the holder's name and address since does not know.
type QueryHolderRequest struct {
	Holder string
	Key    ClaimKey
	ID     string
}

// QueryHolderResponse is what the holder knows of its claim.
type QueryHolderResponse struct {
	Known  bool
	Record ClaimRecord `msgpack:"Held"`
}

// MergeClaimsRequest brings a replica claims that it may lack.
type MergeClaimsRequest struct {
	Claims []ClaimRecord
}

// MergeClaimsResponse confirms a MergeClaimsRequest.
type MergeClaimsResponse struct{}

// FetchClaimsRequest asks a replica or a core for its claims, a page at a time, after a
// sequence number. Membership is the one by which the sender counts cores: once a core
// has answered, it records nothing under an older one with other voters.
type FetchClaimsRequest struct {
	After      uint64
	Membership AcceptedValue `msgpack:"Members"`
}

// FetchClaimsResponse is one page of claims; Done says that it is the last one.
// Membership is that of the answering core if it knows another one than the sender, and
// Core is its ID in it.
type FetchClaimsResponse struct {
	Membership AcceptedValue `msgpack:"Members"`
	Core       int
	Joined     bool `msgpack:"Grown"`
	Complete   bool `msgpack:"Whole"`
	Claims     []ClaimRecord
	Last       uint64
	Done       bool
}

// RecordClaimsRequest asks a core to claim keys, and to record claims made without it
// and what became of claims; all of it is durable once the core answers. Membership is
// the one by which the sender counts the answers; a sender that knows none leaves that
// to the core's own.
type RecordClaimsRequest struct {
	Membership AcceptedValue `msgpack:"Members"`
	Claims     []ClaimRequest
	Merged     []ClaimRecord          `msgpack:"Retold"`
	Completed  []CompleteClaimRequest `msgpack:"Settles"`
}

// RecordClaimsResponse answers each claim; a core that is not Complete may have lost
// some. Membership is the one that the core recorded them under if that is not the
// sender's, and Core is its ID in it. Refused is true if nothing was recorded, since
// this core is no voter or the membership just changed.
type RecordClaimsResponse struct {
	Membership AcceptedValue `msgpack:"Members"`
	Core       int
	Refused    bool
	Complete   bool            `msgpack:"Whole"`
	Results    []ClaimResponse `msgpack:"Told"`
}

// Check refuses a claim with missing or oversized fields.
func (request *ClaimRequest) Check() error { return request.Record.check() }

// Check refuses a claim with missing or oversized fields.
func (request *CompleteClaimRequest) Check() error { return request.Record.check() }

// Check refuses the message if one of its claims is invalid.
func (request *MergeClaimsRequest) Check() error {
	return checkAll(request.Claims, (*ClaimRecord).check)
}

// Check refuses more than MaxClaimsPerMessage entries of a kind, and an invalid entry.
func (request *RecordClaimsRequest) Check() error {
	claims, merged, completed := len(request.Claims), len(request.Merged), len(request.Completed)
	if max(claims, merged, completed) > MaxClaimsPerMessage {
		return rpc.Errorf(rpc.BadMessage, "%d claims, %d merged, %d completed", claims, merged, completed)
	}
	if err := checkAll(request.Claims, (*ClaimRequest).Check); err != nil {
		return err
	}
	if err := checkAll(request.Merged, (*ClaimRecord).check); err != nil {
		return err
	}
	return checkAll(request.Completed, (*CompleteClaimRequest).Check)
}

// checkAll returns the first error that check finds in a list.
func checkAll[Item any](items []Item, check func(*Item) error) error {
	for index := range items {
		if err := check(&items[index]); err != nil {
			return err
		}
	}
	return nil
}
