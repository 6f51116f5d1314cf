package wire

// What proxies say to each other of money keys.

// ClaimKey is one caller's key within its tenant and service.
type ClaimKey struct {
	Tenant  string
	Service string
	Key     string
}

// ClaimStage is how far the holder of a claim came.
type ClaimStage int

// Stages of a claim: its task runs, ran and its answer is known, or ended with an unknown outcome.
const (
	ClaimRunning ClaimStage = iota + 1
	ClaimCompleted
	ClaimUnknown
)

// ClaimRecord is what keepers remember of a key.
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

// ClaimRequest asks a keeper to hold a key for one task; Instead names a claim that
// its holder said it gave back.
type ClaimRequest struct {
	Record   ClaimRecord `msgpack:"Claimed"`
	Replaces string      `msgpack:"Instead"`
	Table    TableVersion
}

// ClaimResponse counts without the cores only when the keeper's memory is whole.
type ClaimResponse struct {
	Granted  bool
	Complete bool        `msgpack:"Whole"`
	Existing ClaimRecord `msgpack:"Held"`
}

// CompleteClaimRequest tells keepers how a claimed task ended; Free gives the key back.
type CompleteClaimRequest struct {
	Record  ClaimRecord `msgpack:"Claimed"`
	Release bool        `msgpack:"Free"`
}

// CompleteClaimResponse confirms a Settle.
type CompleteClaimResponse struct{}

// QueryHolderRequest asks a claim's holder what became of it; another process that has the
// holder's name and address since does not know.
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

// MergeClaimsRequest gives a keeper claims that it may lack.
type MergeClaimsRequest struct {
	Claims []ClaimRecord
}

// MergeClaimsResponse confirms a Retell.
type MergeClaimsResponse struct{}

// FetchClaimsRequest asks a keeper or a core for what it remembers, a page at a time. Members is
// the membership by which the asker counts cores: a core keeps nothing under an older
// one with other voters once it has answered.
type FetchClaimsRequest struct {
	After      uint64
	Membership AcceptedValue `msgpack:"Members"`
}

// FetchClaimsResponse is one page of claims; Done tells that it is the last one.
// Members is the membership of the answering core where it knows another one than the
// asker, and Core is its ID in it.
type FetchClaimsResponse struct {
	Membership AcceptedValue `msgpack:"Members"`
	Core       int
	Joined     bool `msgpack:"Grown"`
	Complete   bool `msgpack:"Whole"`
	Claims     []ClaimRecord
	Last       uint64
	Done       bool
}

// RecordClaimsRequest asks a core to claim keys, and to keep what was claimed without it and
// what became of claims; all of it lasts once it answers. Members is the membership
// by which the asker counts the answers; an asker that knows none leaves that to the
// core's own.
type RecordClaimsRequest struct {
	Membership AcceptedValue `msgpack:"Members"`
	Claims     []ClaimRequest
	Merged     []ClaimRecord          `msgpack:"Retold"`
	Completed  []CompleteClaimRequest `msgpack:"Settles"`
}

// RecordClaimsResponse answers each claim; a core that is not whole may have lost some. Members
// is the membership that the core kept them under where that is another one than the
// asker's, and Core is its ID in it. Refused is true where nothing was kept, since this
// core is none of the voters or their membership just changed.
type RecordClaimsResponse struct {
	Membership AcceptedValue `msgpack:"Members"`
	Core       int
	Refused    bool
	Complete   bool            `msgpack:"Whole"`
	Results    []ClaimResponse `msgpack:"Told"`
}

// MaxClaimsPerMessage is how much one message may hold of each.
const MaxClaimsPerMessage = 1024

func (claimed *ClaimRecord) check() error {
	if claimed.Key.Key == "" || claimed.ID == "" || claimed.Holder == "" {
		return Errorf(BadMessage, "claim without key, id or holder")
	}
	if len(claimed.Key.Key) > 200 || len(claimed.Body) > 1<<16 {
		return Errorf(BadMessage, "claim of a key with %d letters and %d bytes", len(claimed.Key.Key), len(claimed.Body))
	}
	if claimed.Stage < ClaimRunning || claimed.Stage > ClaimUnknown {
		return Errorf(BadMessage, "claim stage %d", claimed.Stage)
	}
	return nil
}

// Check refuses a claim with missing or oversized fields.
func (message *ClaimRequest) Check() error { return message.Record.check() }

// Check refuses a claim with missing or oversized fields.
func (message *CompleteClaimRequest) Check() error { return message.Record.check() }

// Check refuses the message where one of its claims is refused.
func (message *MergeClaimsRequest) Check() error {
	return checkAll(message.Claims, (*ClaimRecord).check)
}

// Check refuses more than KeepMost entries of a sort, and any entry that is refused by itself.
func (message *RecordClaimsRequest) Check() error {
	if len(message.Claims) > MaxClaimsPerMessage || len(message.Merged) > MaxClaimsPerMessage || len(message.Completed) > MaxClaimsPerMessage {
		return Errorf(BadMessage, "%d claims, %d retold, %d settled", len(message.Claims), len(message.Merged), len(message.Completed))
	}
	for _, err := range []error{checkAll(message.Claims, (*ClaimRequest).Check), checkAll(message.Merged, (*ClaimRecord).check), checkAll(message.Completed, (*CompleteClaimRequest).Check)} {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkAll[T any](all []T, check func(*T) error) error {
	for index := range all {
		if err := check(&all[index]); err != nil {
			return err
		}
	}
	return nil
}
