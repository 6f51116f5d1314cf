package message

import "orchidjunction/rpc"

// MaxClaimsPerMessage is the maximum number of entries of each kind in one message.
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

// ClaimStage is the progress of a claimed request.
type ClaimStage int

// The stages: the request is running, has completed with a recorded response, or has ended with
// an unknown outcome.
const (
	ClaimRunning ClaimStage = iota + 1
	ClaimCompleted
	ClaimUnknown
)

// ClaimRecord is the replicated state of an idempotency key. ID identifies the request that
// claimed the key, Digest its content, and Holder the proxy that sends it. Status, Header and
// Body are the recorded response.
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
		return rpc.Errorf(rpc.BadMessage, "claim without key, ID or holder")
	}
	if len(record.Key.Key) > maxKeyLength || len(record.Body) > maxRecordBytes {
		return rpc.Errorf(rpc.BadMessage, "claim with a key of %d bytes and a body of %d bytes", len(record.Key.Key), len(record.Body))
	}
	if record.Stage < ClaimRunning || record.Stage > ClaimUnknown {
		return rpc.Errorf(rpc.BadMessage, "unknown claim stage %d", record.Stage)
	}
	return nil
}

// ClaimRequest asks a replica to record a claim for a request. Replaces is the ID of an earlier
// claim whose holder has reported that it released the key.
type ClaimRequest struct {
	Record   ClaimRecord `msgpack:"Claimed"`
	Replaces string      `msgpack:"Instead"`
	Table    TableVersion
}

// ClaimResponse reports whether the claim was granted, or otherwise which claim has the key. Without
// a majority of complete cores, a grant counts only if Complete: the replica lacks no earlier claim.
type ClaimResponse struct {
	Granted  bool
	Complete bool        `msgpack:"Whole"`
	Existing ClaimRecord `msgpack:"Held"`
}

// CompleteClaimRequest reports the outcome of a claimed request. Release frees the key because
// the request did not run.
type CompleteClaimRequest struct {
	Record  ClaimRecord `msgpack:"Claimed"`
	Release bool        `msgpack:"Free"`
}

// CompleteClaimResponse confirms a CompleteClaimRequest.
type CompleteClaimResponse struct{}

// QueryHolderRequest asks a claim's holder for its state. A later process with the same name and
// address does not know the claim.
type QueryHolderRequest struct {
	Holder string
	Key    ClaimKey
	ID     string
}

// QueryHolderResponse contains the claim if the holder knows it.
type QueryHolderResponse struct {
	Known  bool
	Record ClaimRecord `msgpack:"Held"`
}

// MergeClaimsRequest sends a replica claims that it may lack.
type MergeClaimsRequest struct {
	Claims []ClaimRecord
}

// MergeClaimsResponse confirms a MergeClaimsRequest.
type MergeClaimsResponse struct{}

// FetchClaimsRequest asks a replica or a core for one page of its claims, starting after a
// sequence number. Membership is the one by which the sender counts cores: once a core has
// responded, it records no claims under an older membership with other voters.
type FetchClaimsRequest struct {
	After      uint64
	Membership AcceptedValue `msgpack:"Members"`
}

// FetchClaimsResponse is a page of claims. Done marks the last page. Membership is set to that of
// the responding core if it differs from the sender's, and Core is the core's ID in it.
type FetchClaimsResponse struct {
	Membership AcceptedValue `msgpack:"Members"`
	Core       int
	Joined     bool `msgpack:"Grown"`
	Complete   bool `msgpack:"Whole"`
	Claims     []ClaimRecord
	Last       uint64
	Done       bool
}

// RecordClaimsRequest asks a core to claim keys, and to record claims made without it (Merged)
// and outcomes of claims (Completed). Everything is durable once the core responds. Membership
// is the one by which the sender counts responses; if it is unset, the core's own applies.
type RecordClaimsRequest struct {
	Membership AcceptedValue `msgpack:"Members"`
	Claims     []ClaimRequest
	Merged     []ClaimRecord          `msgpack:"Retold"`
	Completed  []CompleteClaimRequest `msgpack:"Settles"`
}

// RecordClaimsResponse contains a result for each claim. A core that is not Complete may have
// lost claims. Membership is set to the one under which the core recorded the claims if it
// differs from the sender's, and Core is the core's ID in it. Refused is true if nothing was
// recorded because the core is not a voter or the membership has just changed.
type RecordClaimsResponse struct {
	Membership AcceptedValue `msgpack:"Members"`
	Core       int
	Refused    bool
	Complete   bool            `msgpack:"Whole"`
	Results    []ClaimResponse `msgpack:"Told"`
}

// Check rejects a claim with missing or oversized fields.
func (request *ClaimRequest) Check() error { return request.Record.check() }

// Check rejects a claim with missing or oversized fields.
func (request *CompleteClaimRequest) Check() error { return request.Record.check() }

// Check rejects the message if any claim is invalid.
func (request *MergeClaimsRequest) Check() error {
	return checkAll(request.Claims, (*ClaimRecord).check)
}

// Check rejects more than MaxClaimsPerMessage entries of a kind, and invalid entries.
func (request *RecordClaimsRequest) Check() error {
	claims, merged, completed := len(request.Claims), len(request.Merged), len(request.Completed)
	if max(claims, merged, completed) > MaxClaimsPerMessage {
		return rpc.Errorf(rpc.BadMessage, "too many entries: %d claims, %d merged, %d completed", claims, merged, completed)
	}
	if err := checkAll(request.Claims, (*ClaimRequest).Check); err != nil {
		return err
	}
	if err := checkAll(request.Merged, (*ClaimRecord).check); err != nil {
		return err
	}
	return checkAll(request.Completed, (*CompleteClaimRequest).Check)
}

// checkAll returns the first error of check over a list of items.
func checkAll[Item any](items []Item, check func(*Item) error) error {
	for index := range items {
		if err := check(&items[index]); err != nil {
			return err
		}
	}
	return nil
}
