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
	ClaimRan
	ClaimUnknown
)

// Claimed is what keepers remember of a key.
type Claimed struct {
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

// Claim asks a keeper to hold a key for one task; Instead names a claim that
// its holder said it gave back.
type Claim struct {
	Claimed Claimed
	Instead string
	Table   TableMark
}

// ClaimTold counts without the cores only when the keeper's memory is whole.
type ClaimTold struct {
	Granted bool
	Whole   bool
	Held    Claimed
}

// Settle tells keepers how a claimed task ended; Free gives the key back.
type Settle struct {
	Claimed Claimed
	Free    bool
}

// SettleTold confirms a Settle.
type SettleTold struct{}

// Holds asks a claim's holder what became of it; another process that has the
// holder's name and address since does not know.
type Holds struct {
	Holder string
	Key    ClaimKey
	ID     string
}

// HoldsTold is what the holder knows of its claim.
type HoldsTold struct {
	Known bool
	Held  Claimed
}

// Retell gives a keeper claims that it may lack.
type Retell struct {
	Claims []Claimed
}

// RetellTold confirms a Retell.
type RetellTold struct{}

// Pull asks a keeper or a core for what it remembers, a page at a time. Members is
// the membership by which the asker counts cores: a core keeps nothing under an older
// one with other voters once it has answered.
type Pull struct {
	After   uint64
	Members Accepted
}

// PullTold is one page of claims; Done tells that it is the last one.
// Members is the membership of the answering core where it knows another one than the
// asker, and Core is its ID in it.
type PullTold struct {
	Members Accepted
	Core    int
	Grown   bool
	Whole   bool
	Claims  []Claimed
	Last    uint64
	Done    bool
}

// Keep asks a core to claim keys, and to keep what was claimed without it and
// what became of claims; all of it lasts once it answers. Members is the membership
// by which the asker counts the answers; an asker that knows none leaves that to the
// core's own.
type Keep struct {
	Members Accepted
	Claims  []Claim
	Retold  []Claimed
	Settles []Settle
}

// KeepTold answers each claim; a core that is not whole may have lost some. Members
// is the membership that the core kept them under where that is another one than the
// asker's, and Core is its ID in it. Refused is true where nothing was kept, since this
// core is none of the voters or their membership just changed.
type KeepTold struct {
	Members Accepted
	Core    int
	Refused bool
	Whole   bool
	Told    []ClaimTold
}

// KeepMost is how much one message may hold of each.
const KeepMost = 1024

func (claimed *Claimed) check() error {
	if claimed.Key.Key == "" || claimed.ID == "" || claimed.Holder == "" {
		return New(BadMessage, "claim without key, id or holder")
	}
	if len(claimed.Key.Key) > 200 || len(claimed.Body) > 1<<16 {
		return New(BadMessage, "claim of a key with %d letters and %d bytes", len(claimed.Key.Key), len(claimed.Body))
	}
	if claimed.Stage < ClaimRunning || claimed.Stage > ClaimUnknown {
		return New(BadMessage, "claim stage %d", claimed.Stage)
	}
	return nil
}

// Check refuses a claim with missing or oversized fields.
func (message *Claim) Check() error { return message.Claimed.check() }

// Check refuses a claim with missing or oversized fields.
func (message *Settle) Check() error { return message.Claimed.check() }

// Check refuses the message where one of its claims is refused.
func (message *Retell) Check() error { return checkAll(message.Claims, (*Claimed).check) }

// Check refuses more than KeepMost entries of a sort, and any entry that is refused by itself.
func (message *Keep) Check() error {
	if len(message.Claims) > KeepMost || len(message.Retold) > KeepMost || len(message.Settles) > KeepMost {
		return New(BadMessage, "%d claims, %d retold, %d settled", len(message.Claims), len(message.Retold), len(message.Settles))
	}
	for _, mishap := range []error{checkAll(message.Claims, (*Claim).Check), checkAll(message.Retold, (*Claimed).check), checkAll(message.Settles, (*Settle).Check)} {
		if mishap != nil {
			return mishap
		}
	}
	return nil
}

func checkAll[T any](all []T, check func(*T) error) error {
	for index := range all {
		if mishap := check(&all[index]); mishap != nil {
			return mishap
		}
	}
	return nil
}
